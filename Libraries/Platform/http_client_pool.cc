#include "Libraries/Platform/http_client_pool.h"

namespace dogwood {

namespace asio = boost::asio;

HttpClientPool::HttpClientPool(asio::any_io_executor executor,
                               asio::ip::tcp::endpoint endpoint)
    : executor_(std::move(executor)), endpoint_(std::move(endpoint)) {}

asio::awaitable<Result<HttpResponse>> HttpClientPool::Send(HttpRequest request,
                                                           Duration timeout) {
  constexpr std::size_t kMostIdle = 8;
  HttpClient client(executor_, endpoint_);
  if (!idle_.empty()) {
    client = std::move(idle_.back());
    idle_.pop_back();
  }
  Result<HttpResponse> response =
      co_await client.Send(std::move(request), timeout);
  if (response && idle_.size() < kMostIdle) idle_.push_back(std::move(client));
  co_return response;
}

asio::awaitable<Result<HttpResponse>> HttpClientPool::Get(std::string target,
                                                          Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  HttpRequest request;
  request.target = target;
  HttpRequest again = request;
  Result<HttpResponse> response = co_await Send(std::move(request), timeout);
  if (!response && MonotonicNow() < deadline) {
    idle_.clear();
    const Duration left = deadline - MonotonicNow();
    response = co_await Send(std::move(again), left);
  }
  if (!response) {
    const bool is_late = MonotonicNow() >= deadline;
    co_return Fail(
        is_late ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable,
        response.error().message);
  }
  const unsigned status = response.value().status;
  if (status != 200 && status != 404) {
    co_return Fail(
        ErrorCode::kUnavailable,
        "the platform answered " + std::to_string(status) + " to " + target);
  }
  co_return response;
}

}  // namespace dogwood
