#include "Services/Entry/backend_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kUseAwaitableTuple = asio::as_tuple(asio::use_awaitable);

BackendConnection::BackendConnection(const asio::any_io_executor& executor,
                                     std::string pool_key,
                                     std::function<void()> on_destroy)
    : socket_(executor),
      pool_key_(std::move(pool_key)),
      on_destroy_(std::move(on_destroy)) {}

BackendConnection::~BackendConnection() {
  Close();
  if (on_destroy_) on_destroy_();
}

asio::awaitable<boost::system::error_code> BackendConnection::Connect(
    const tcp::endpoint& endpoint) {
  const auto [error] =
      co_await socket_.async_connect(endpoint, kUseAwaitableTuple);
  if (error) co_return error;
  boost::system::error_code option_error;
  socket_.set_option(tcp::no_delay(true), option_error);
  socket_.non_blocking(true, option_error);
  is_connected_ = !option_error;
  co_return option_error;
}

asio::awaitable<boost::system::error_code> BackendConnection::Fill() {
  const asio::mutable_buffer space = input_.Prepare();
  if (space.size() == 0) co_return asio::error::no_buffer_space;
  const auto [error, count] =
      co_await socket_.async_read_some(space, kUseAwaitableTuple);
  input_.Commit(count);
  co_return error;
}

bool BackendConnection::is_reusable() {
  if (!is_connected_ || !socket_.is_open() || !input_.empty()) return false;
  char byte = 0;
  boost::system::error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

void BackendConnection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace dogwood
