#include "Libraries/Http/compression.h"

#include <doctest/doctest.h>

#include <random>

namespace dogwood {
namespace {

constexpr std::size_t kMostBytes = std::size_t{4} << 20U;

std::string Routes(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += R"({"entry_kind":"routes","metadata":{"name":"r)" +
            std::to_string(i * 7919) + R"("},"spec":{"host":"a.example"}},)";
  }
  return text;
}

TEST_CASE("Compressed bytes return as they were") {
  std::mt19937 random(5);
  std::string noise(5000, '\0');
  for (char& byte : noise) byte = static_cast<char>(random());
  for (const std::string& bytes : {std::string(), std::string("x"), noise,
                                   Routes(2000), std::string(1000000, 'a')}) {
    const auto back = Decompress(Compress(bytes), kMostBytes);
    REQUIRE(back.has_value());
    CHECK(back.value() == bytes);
  }
}

// A configuration of many routes has to pass over a link of 10 Mbit/s.
TEST_CASE("A configuration becomes several times smaller") {
  const std::string text = Routes(1500);
  CHECK(Compress(text).size() * 5 < text.size());
}

// Guards against a host that is stopped by another host's broken bytes.
TEST_CASE("Cut, broken and oversized bytes are refused") {
  const std::string whole = Compress(Routes(100));
  CHECK(!Decompress(whole.substr(0, whole.size() / 2), kMostBytes));
  CHECK(!Decompress("", kMostBytes));
  CHECK(!Decompress("\xff\xff\xff\xff", kMostBytes));
  CHECK(!Decompress(Compress(std::string(100000, 'a')), 50000));
}

}  // namespace
}  // namespace dogwood
