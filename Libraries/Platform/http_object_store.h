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

// Returns the SHA-256 digest in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

// Client of the platform's object store. Must be used on the control thread.
class HttpObjectStore {
 public:
  HttpObjectStore(boost::asio::any_io_executor executor,
                  boost::asio::ip::tcp::endpoint platform_endpoint);
  ~HttpObjectStore();

  // Stores an object and returns the SHA-256 digest of its bytes. Fails with
  // kUnavailable when nothing was stored and with kOutcomeUnknown when the
  // response was lost or late or is an error of the platform. Idempotent.
  boost::asio::awaitable<Result<std::string>> Put(std::string name,
                                                  std::string bytes,
                                                  Duration timeout);

  // Returns the bytes of an object. Fails with kNotFound, kUnavailable,
  // kDeadlineExceeded, or with kProtocol when the digest differs from
  // `expected_sha256`; an empty `expected_sha256` is not checked.
  boost::asio::awaitable<Result<std::string>> Read(std::string name,
                                                   std::string expected_sha256,
                                                   Duration timeout);

 private:
  std::unique_ptr<HttpClientPool> client_pool_;
};

}  // namespace dogwood
