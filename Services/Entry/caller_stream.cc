#include "Services/Entry/caller_stream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dogwood {

namespace asio = boost::asio;

CallerStream::CallerStream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

asio::awaitable<boost::system::error_code> CallerStream::Fill() {
  if (is_reading_ahead_) {
    co_await read_completed_.Wait();
    co_return error_;
  }
  if (is_disconnected_) co_return error_;
  const asio::mutable_buffer space = input_.Prepare();
  if (space.size() == 0) co_return asio::error::no_buffer_space;
  const auto [error, count] = co_await socket_.async_read_some(
      space, asio::as_tuple(asio::use_awaitable));
  input_.Commit(count);
  if (error && error != asio::error::operation_aborted) {
    is_disconnected_ = true;
    error_ = error;
  }
  co_return error;
}

void CallerStream::StartReadAhead(std::shared_ptr<void> owner,
                                  std::function<void()> on_disconnect) {
  if (is_disconnected_) {
    on_disconnect();
    return;
  }
  on_disconnect_ = std::move(on_disconnect);
  if (is_reading_ahead_) return;
  const asio::mutable_buffer space = input_.Prepare();
  if (space.size() == 0) return;
  is_reading_ahead_ = true;
  read_completed_.Reset();
  socket_.async_read_some(
      space, [this, owner = std::move(owner)](
                 const boost::system::error_code& error, std::size_t count) {
        is_reading_ahead_ = false;
        input_.Commit(count);
        error_ = error;
        if (error) is_disconnected_ = true;
        const auto callback =
            error ? std::move(on_disconnect_) : std::function<void()>();
        if (callback) callback();
        read_completed_.Notify();
      });
}

void CallerStream::CancelRead() {
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void CallerStream::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace dogwood
