#include "Tests/Soak/pipelining_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace dogwood {

namespace asio = boost::asio;

namespace {

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kInputBufferBytes = std::size_t{18} * 1024;

}  // namespace

PipeliningClient::PipeliningClient(const asio::any_io_executor& executor)
    : socket_(executor), timeout_(executor), input_(kInputBufferBytes) {}

asio::awaitable<bool> PipeliningClient::Connect(
    asio::ip::tcp::endpoint endpoint) {
  const auto [error] =
      co_await socket_.async_connect(endpoint, kUseAwaitableTuple);
  co_return !error;
}

asio::awaitable<bool> PipeliningClient::Send(std::string bytes) {
  const auto [error, count] = co_await asio::async_write(
      socket_, asio::buffer(bytes), kUseAwaitableTuple);
  co_return !error;
}

asio::awaitable<boost::system::error_code> PipeliningClient::Fill() {
  const auto [error, count] =
      co_await socket_.async_read_some(input_.Prepare(), kUseAwaitableTuple);
  if (!error) input_.Commit(count);
  co_return error;
}

asio::awaitable<std::optional<PipeliningClient::Response>>
PipeliningClient::Read(Duration timeout) {
  timeout_.expires_after(timeout);
  timeout_.async_wait([this](const boost::system::error_code& error) {
    boost::system::error_code ignored;
    if (!error) socket_.close(ignored);
  });
  std::optional<Response> response = co_await ReadResponse();
  timeout_.cancel();
  boost::system::error_code ignored;
  if (!response) socket_.close(ignored);
  co_return response;
}

asio::awaitable<std::optional<PipeliningClient::Response>>
PipeliningClient::ReadResponse() {
  parser_.Reset();
  bool needs_more = input_.empty();
  while (!parser_.is_head_complete()) {
    if (needs_more) {
      const auto error = co_await Fill();
      if (error) co_return std::nullopt;
    }
    const auto step = parser_.Feed(input_.data());
    input_.Consume(step.consumed_bytes);
    if (step.parse_error) co_return std::nullopt;
    needs_more = step.needs_more || input_.empty();
  }
  Response response;
  response.status = parser_.head().status;
  response.request_id = parser_.head().FieldValue("X-Request-Id");
  response.closes_connection = !parser_.is_keep_alive();
  BodyReader reader(*this, parser_);
  while (!parser_.is_complete()) {
    const auto piece = co_await reader.ReadSome();
    if (piece.has_failed()) co_return std::nullopt;
    for (std::size_t i = 0; i < piece.slice_count; ++i)
      response.body.append(piece.slices[i]);
  }
  reader.Release();
  co_return response;
}

}  // namespace dogwood
