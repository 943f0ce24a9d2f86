#include "Libraries/Http/compression.h"

#include <doctest/doctest.h>

#include <random>

namespace dogwood {
namespace {

constexpr std::size_t kMaxDecompressedBytes = std::size_t{4} << 20U;

std::string RouteEntriesJson(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += R"({"entry_kind":"routes","metadata":{"name":"r)" +
            std::to_string(i * 7919) + R"("},"spec":{"host":"a.example"}},)";
  }
  return text;
}

TEST_CASE("Decompression restores the compressed bytes exactly") {
  std::mt19937 generator(5);
  std::string random_bytes(5000, '\0');
  for (char& byte : random_bytes) byte = static_cast<char>(generator());
  for (const std::string& bytes :
       {std::string(), std::string("x"), random_bytes, RouteEntriesJson(2000),
        std::string(1000000, 'a')}) {
    const auto decompressed =
        Decompress(Compress(bytes), kMaxDecompressedBytes);
    REQUIRE(decompressed.has_value());
    CHECK(decompressed.value() == bytes);
  }
}

// Guards against a compression that leaves a configuration with many routes too
// large for a link of 10 Mbit/s between hosts.
TEST_CASE("A configuration shrinks by more than a factor of five") {
  const std::string text = RouteEntriesJson(1500);
  CHECK(Compress(text).size() * 5 < text.size());
}

// Guards against invalid data from another host that ends this process.
TEST_CASE("Truncated, invalid and oversized data is rejected") {
  const std::string compressed = Compress(RouteEntriesJson(100));
  CHECK(!Decompress(compressed.substr(0, compressed.size() / 2),
                    kMaxDecompressedBytes));
  CHECK(!Decompress("", kMaxDecompressedBytes));
  CHECK(!Decompress("\xff\xff\xff\xff", kMaxDecompressedBytes));
  CHECK(!Decompress(Compress(std::string(100000, 'a')), 50000));
}

}  // namespace
}  // namespace dogwood
