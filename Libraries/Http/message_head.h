#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dogwood {

// Compares without ASCII case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Returns whether a comma-separated header value contains the token, compared
// without case.
bool ListHasToken(std::string_view list, std::string_view token);

// Returns whether HTTP defines the class of a status: 100 to 599.
constexpr bool IsValidStatus(int status) {
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  return status >= kFirstStatus && status <= kLastStatus;
}

// Start line and header fields of one HTTP/1.1 message. Clear() keeps the
// allocated memory, so that a connection parses later messages without
// allocating.
class MessageHead {
 public:
  struct Field {
    std::string_view name;
    std::string_view value;
  };

  void Clear();
  void AddField(std::string_view name, std::string_view value);

  // Returns the value of the first field with this name, or an empty view.
  std::string_view FieldValue(std::string_view name) const;
  bool has_field(std::string_view name) const;
  std::size_t field_count() const { return field_spans_.size(); }
  // The views are valid until the next Clear() or AddField().
  Field field(std::size_t index) const;
  // Returns whether a field applies to one connection only and must not be
  // forwarded, by its name or because a Connection field lists it.
  bool is_hop_by_hop(std::string_view name) const;
  // Total size of the names and values.
  std::size_t size_bytes() const { return field_text_.size(); }
  // Memory that the head takes, which for many short fields is a multiple of
  // their size.
  std::size_t memory_bytes() const {
    return field_text_.capacity() + method.capacity() + target.capacity() +
           field_spans_.capacity() * sizeof(FieldSpan);
  }

  std::string method;   // of a request
  std::string target;   // of a request
  unsigned status = 0;  // of a response
  int version = 11;     // 10 is HTTP/1.0, 11 is HTTP/1.1

 private:
  // Position of a field in field_text_, in bytes. The value follows the name.
  struct FieldSpan {
    std::uint32_t offset;
    std::uint32_t name_length;
    std::uint32_t value_length;
  };

  std::string field_text_;  // names and values of all fields
  // A Connection field has a value other than "keep-alive" or "close".
  bool has_listed_field_names_ = false;
  std::vector<FieldSpan> field_spans_;
};

}  // namespace dogwood
