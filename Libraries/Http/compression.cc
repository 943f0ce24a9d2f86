#include "Libraries/Http/compression.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace dogwood {

namespace zlib = boost::beast::zlib;

namespace {

constexpr int kCompressionLevel = 1;  // 1 is fastest, 9 compresses best
constexpr int kWindowBits = 15;       // log2 of the window size in bytes
constexpr int kMemoryLevel = 8;       // zlib's default
// First estimate of the decompressed size as a multiple of the compressed size,
// and the smallest output buffer. The buffer doubles when it is too small.
constexpr std::size_t kExpectedCompressionRatio = 8;
constexpr std::size_t kMinOutputBytes = 1024;

}  // namespace

std::string Compress(std::string_view bytes) {
  zlib::deflate_stream stream;
  stream.reset(kCompressionLevel, kWindowBits, kMemoryLevel,
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
                               std::size_t max_bytes) {
  zlib::inflate_stream stream;
  std::string bytes(
      std::min(std::max(kExpectedCompressionRatio * compressed.size(),
                        kMinOutputBytes),
               max_bytes),
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
    const bool is_output_full = progress.avail_out == 0;
    if (is_output_full && bytes.size() < max_bytes) {
      bytes.resize(std::min(2 * bytes.size(), max_bytes));
      continue;
    }
    if (error == zlib::error::need_buffers || !error) {
      return Fail(ErrorCode::kProtocol,
                  is_output_full
                      ? "deflate data expands to more than " +
                            std::to_string(max_bytes) + " bytes"
                      : "deflate data is truncated at " +
                            std::to_string(compressed.size()) + " bytes");
    }
    return Fail(ErrorCode::kProtocol,
                "deflate data is invalid: " + error.message());
  }
  bytes.resize(progress.total_out);
  return bytes;
}

}  // namespace dogwood
