#include "Libraries/Platform/http_object_store.h"

#include <openssl/evp.h>

#include <array>

#include "Libraries/Core/verify.h"
#include "Libraries/Platform/http_client_pool.h"

namespace dogwood {

namespace asio = boost::asio;

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  VERIFY(EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size,
                    EVP_sha256(), nullptr) == 1);
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string text;
  for (unsigned i = 0; i < size; ++i) {
    text += kHexDigits[digest[i] >> 4U];
    text += kHexDigits[digest[i] & 15U];
  }
  return text;
}

HttpObjectStore::HttpObjectStore(asio::any_io_executor executor,
                                 asio::ip::tcp::endpoint platform_endpoint)
    : client_pool_(std::make_unique<HttpClientPool>(
          std::move(executor), std::move(platform_endpoint))) {}
HttpObjectStore::~HttpObjectStore() = default;

asio::awaitable<Result<std::string>> HttpObjectStore::Put(std::string name,
                                                          std::string bytes,
                                                          Duration timeout) {
  std::string sha256 = Sha256Hex(bytes);
  HttpRequest request{
      "PUT", "/object/" + PercentEncode(name), {}, std::move(bytes)};
  const Result<HttpResponse> result =
      co_await client_pool_->Send(std::move(request), timeout);
  if (!result) co_return result.error();
  const HttpResponse& response = result.value();
  if (response.status == 200) co_return sha256;
  const bool is_rejected = response.status < 500 || response.status == 503;
  co_return Fail(
      is_rejected ? ErrorCode::kUnavailable : ErrorCode::kOutcomeUnknown,
      "put object " + name + ": the platform responded with status " +
          std::to_string(response.status));
}

asio::awaitable<Result<std::string>> HttpObjectStore::Read(
    std::string name, std::string expected_sha256, Duration timeout) {
  std::string target = "/object/" + PercentEncode(name);
  Result<HttpResponse> result =
      co_await client_pool_->SendGetWithRetry(std::move(target), timeout);
  if (!result) co_return result.error();
  HttpResponse& response = result.value();
  if (response.status == 404)
    co_return Fail(ErrorCode::kNotFound, "object " + name + " does not exist");
  const std::string actual_sha256 = Sha256Hex(response.body);
  if (!expected_sha256.empty() && actual_sha256 != expected_sha256) {
    co_return Fail(ErrorCode::kProtocol, "object " + name + " has SHA-256 " +
                                             actual_sha256 + ", expected " +
                                             expected_sha256);
  }
  co_return std::move(response.body);
}

}  // namespace dogwood
