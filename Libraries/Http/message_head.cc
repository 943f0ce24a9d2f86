#include "Libraries/Http/message_head.h"

#include <algorithm>
#include <array>

namespace dogwood {
namespace {

char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

constexpr std::string_view kConnectionFieldName = "connection";

// Fields that apply to one connection only and are never forwarded.
constexpr std::array<std::string_view, 8> kHopByHopFieldNames = {
    "connection", "keep-alive", "proxy-connection",  "proxy-authenticate",
    "te",         "trailer",    "transfer-encoding", "upgrade"};

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(
             left.begin(), left.end(), right.begin(),
             [](char a, char b) { return ToLowerAscii(a) == ToLowerAscii(b); });
}

bool ListHasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    std::string_view element = list.substr(0, comma);
    while (!element.empty() &&
           (element.front() == ' ' || element.front() == '\t'))
      element.remove_prefix(1);
    while (!element.empty() &&
           (element.back() == ' ' || element.back() == '\t'))
      element.remove_suffix(1);
    if (EqualsIgnoringCase(element, token)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

void MessageHead::Clear() {
  field_text_.clear();
  has_listed_field_names_ = false;
  field_spans_.clear();
  method.clear();
  target.clear();
  status = 0;
  version = 11;
}

void MessageHead::AddField(std::string_view name, std::string_view value) {
  field_spans_.push_back({static_cast<std::uint32_t>(field_text_.size()),
                          static_cast<std::uint32_t>(name.size()),
                          static_cast<std::uint32_t>(value.size())});
  field_text_.append(name);
  field_text_.append(value);
  if (EqualsIgnoringCase(name, kConnectionFieldName) &&
      !EqualsIgnoringCase(value, "keep-alive") &&
      !EqualsIgnoringCase(value, "close")) {
    has_listed_field_names_ = true;
  }
}

MessageHead::Field MessageHead::field(std::size_t index) const {
  const FieldSpan& span = field_spans_[index];
  const std::string_view text(field_text_);
  return {text.substr(span.offset, span.name_length),
          text.substr(span.offset + span.name_length, span.value_length)};
}

std::string_view MessageHead::FieldValue(std::string_view name) const {
  for (std::size_t i = 0; i < field_spans_.size(); ++i) {
    if (field_spans_[i].name_length != name.size()) continue;
    const Field candidate = field(i);
    if (EqualsIgnoringCase(candidate.name, name)) return candidate.value;
  }
  return {};
}

bool MessageHead::has_field(std::string_view name) const {
  for (std::size_t i = 0; i < field_spans_.size(); ++i) {
    if (EqualsIgnoringCase(field(i).name, name)) return true;
  }
  return false;
}

bool MessageHead::is_hop_by_hop(std::string_view name) const {
  for (const std::string_view hop_by_hop_name : kHopByHopFieldNames) {
    if (EqualsIgnoringCase(name, hop_by_hop_name)) return true;
  }
  if (!has_listed_field_names_) return false;
  for (std::size_t i = 0; i < field_spans_.size(); ++i) {
    const Field candidate = field(i);
    if (EqualsIgnoringCase(candidate.name, kConnectionFieldName) &&
        ListHasToken(candidate.value, name)) {
      return true;
    }
  }
  return false;
}

}  // namespace dogwood
