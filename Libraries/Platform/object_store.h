#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "Libraries/Core/core.h"

namespace dogwood {

class HttpClientPool;

// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

// The platform's object store. Used on the control thread.
class ObjectStore {
 public:
  ObjectStore(boost::asio::any_io_executor executor,
              boost::asio::ip::tcp::endpoint platform);
  ~ObjectStore();

  // Returns the SHA-256 of the bytes. Fails with kUnavailable when nothing was
  // stored and kOutcomeUnknown when the answer was lost; repeating is safe.
  boost::asio::awaitable<Result<std::string>> Put(std::string name,
                                                  std::string bytes,
                                                  Duration timeout);

  // An empty digest is not checked.
  // Fails with kNotFound, kUnavailable, kDeadlineExceeded, or kProtocol when
  // the bytes do not have the expected SHA-256.
  boost::asio::awaitable<Result<std::string>> Read(std::string name,
                                                   std::string expected_sha256,
                                                   Duration timeout);

 private:
  std::unique_ptr<HttpClientPool> clients_;
};

}  // namespace dogwood
