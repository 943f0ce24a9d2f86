#include "Libraries/Http/compression.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace dogwood {

namespace zlib = boost::beast::zlib;

namespace {

constexpr int kFastestLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
// First guess of the room that decompressed bytes need.
constexpr std::size_t kUsualRatio = 8;
constexpr std::size_t kLeastRoom = 1024;

}  // namespace

std::string Compress(std::string_view bytes) {
  zlib::deflate_stream stream;
  stream.reset(kFastestLevel, kWindowBits, kMemoryLevel,
               zlib::Strategy::normal);
  std::string compressed(stream.upper_bound(bytes.size()), '\0');
  zlib::z_params progress;
  progress.next_in = bytes.data();
  progress.avail_in = bytes.size();
  progress.next_out = compressed.data();
  progress.avail_out = compressed.size();
  boost::system::error_code error;
  stream.write(progress, zlib::Flush::finish, error);
  VERIFY(error == zlib::error::end_of_stream);
  compressed.resize(progress.total_out);
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed,
                               std::size_t most_bytes) {
  zlib::inflate_stream stream;
  std::string bytes(
      std::min(std::max(kUsualRatio * compressed.size(), kLeastRoom),
               most_bytes),
      '\0');
  zlib::z_params progress;
  progress.next_in = compressed.data();
  progress.avail_in = compressed.size();
  for (;;) {
    progress.next_out = bytes.data() + progress.total_out;
    progress.avail_out = bytes.size() - progress.total_out;
    boost::system::error_code error;
    stream.write(progress, zlib::Flush::sync, error);
    if (error == zlib::error::end_of_stream) break;
    const bool is_full = progress.avail_out == 0;
    if (is_full && bytes.size() < most_bytes) {
      bytes.resize(std::min(2 * bytes.size(), most_bytes));
      continue;
    }
    if (error == zlib::error::need_buffers || !error) {
      return Fail(ErrorCode::kProtocol,
                  is_full ? "compressed bytes exceed the limit"
                          : "compressed bytes end early");
    }
    return Fail(ErrorCode::kProtocol, "compressed bytes: " + error.message());
  }
  bytes.resize(progress.total_out);
  return bytes;
}

}  // namespace dogwood
