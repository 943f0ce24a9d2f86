#include "Libraries/Http/message_head.h"

#include <algorithm>
#include <array>

namespace dogwood {
namespace {

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                        : letter;
}

constexpr std::string_view kConnection = "connection";

constexpr std::array<std::string_view, 8> kHopByHopNames = {
    "connection", "keep-alive", "proxy-connection",  "proxy-authenticate",
    "te",         "trailer",    "transfer-encoding", "upgrade"};

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
      item.remove_prefix(1);
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
      item.remove_suffix(1);
    if (EqualsIgnoringCase(item, token)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

void MessageHead::Clear() {
  text_.clear();
  lists_names_ = false;
  spans_.clear();
  method.clear();
  target.clear();
  status = 0;
  version = 11;
}

void MessageHead::AddField(std::string_view name, std::string_view value) {
  spans_.push_back({static_cast<std::uint32_t>(text_.size()),
                    static_cast<std::uint32_t>(name.size()),
                    static_cast<std::uint32_t>(value.size())});
  text_.append(name);
  text_.append(value);
  if (EqualsIgnoringCase(name, kConnection) &&
      !EqualsIgnoringCase(value, "keep-alive") &&
      !EqualsIgnoringCase(value, "close")) {
    lists_names_ = true;
  }
}

MessageHead::Field MessageHead::field(std::size_t index) const {
  const Span& span = spans_[index];
  const std::string_view text(text_);
  return {text.substr(span.offset, span.name_length),
          text.substr(span.offset + span.name_length, span.value_length)};
}

std::string_view MessageHead::ValueOf(std::string_view name) const {
  for (std::size_t i = 0; i < spans_.size(); ++i) {
    if (spans_[i].name_length != name.size()) continue;
    const Field candidate = field(i);
    if (EqualsIgnoringCase(candidate.name, name)) return candidate.value;
  }
  return {};
}

bool MessageHead::has(std::string_view name) const {
  for (std::size_t i = 0; i < spans_.size(); ++i) {
    if (EqualsIgnoringCase(field(i).name, name)) return true;
  }
  return false;
}

bool MessageHead::is_hop_by_hop(std::string_view name) const {
  for (const std::string_view hop : kHopByHopNames) {
    if (EqualsIgnoringCase(name, hop)) return true;
  }
  if (!lists_names_) return false;
  for (std::size_t i = 0; i < spans_.size(); ++i) {
    const Field candidate = field(i);
    if (EqualsIgnoringCase(candidate.name, kConnection) &&
        HasToken(candidate.value, name)) {
      return true;
    }
  }
  return false;
}

}  // namespace dogwood
