#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dogwood {

bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Whether a comma-separated header value has the token, compared without case.
bool HasToken(std::string_view list, std::string_view token);

// Start line and fields of one HTTP/1.1 message. Clear keeps the memory, so
// that a connection parses its messages without allocating.
class MessageHead {
 public:
  struct Field {
    std::string_view name;
    std::string_view value;
  };

  void Clear();
  void AddField(std::string_view name, std::string_view value);

  // Value of the first field with this name, empty when absent.
  std::string_view ValueOf(std::string_view name) const;
  bool has(std::string_view name) const;
  std::size_t field_count() const { return spans_.size(); }
  // Valid until the next change of the head.
  Field field(std::size_t index) const;
  // Whether a field describes one connection only, by its name or because a
  // Connection field lists it, and is never forwarded.
  bool is_hop_by_hop(std::string_view name) const;
  std::size_t size_bytes() const { return text_.size(); }

  std::string method;   // requests
  std::string target;   // requests
  unsigned status = 0;  // responses
  int version = 11;     // 10 or 11

 private:
  struct Span {
    std::uint32_t offset;
    std::uint32_t name_length;
    std::uint32_t value_length;
  };

  std::string text_;
  bool lists_names_ = false;  // a Connection field has more than an option
  std::vector<Span> spans_;
};

}  // namespace dogwood
