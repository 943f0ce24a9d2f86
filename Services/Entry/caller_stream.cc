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
    co_await arrival_.Wait();
    co_return error_;
  }
  if (is_gone_) co_return error_;
  const asio::mutable_buffer space = input_.Prepare();
  if (space.size() == 0) co_return asio::error::no_buffer_space;
  const auto [error, count] = co_await socket_.async_read_some(
      space, asio::as_tuple(asio::use_awaitable));
  input_.Commit(count);
  if (error && error != asio::error::operation_aborted) {
    is_gone_ = true;
    error_ = error;
  }
  co_return error;
}

void CallerStream::ReadAhead(std::shared_ptr<void> owner,
                             std::function<void()> on_gone) {
  if (is_gone_) {
    on_gone();
    return;
  }
  on_gone_ = std::move(on_gone);
  if (is_reading_ahead_) return;
  const asio::mutable_buffer space = input_.Prepare();
  if (space.size() == 0) return;
  is_reading_ahead_ = true;
  arrival_.Reset();
  socket_.async_read_some(
      space, [this, owner = std::move(owner)](
                 const boost::system::error_code& error, std::size_t count) {
        is_reading_ahead_ = false;
        input_.Commit(count);
        error_ = error;
        if (error) is_gone_ = true;
        const auto on_gone_now =
            error ? std::move(on_gone_) : std::function<void()>();
        if (on_gone_now) on_gone_now();
        arrival_.Notify();
      });
}

void CallerStream::CancelReading() {
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void CallerStream::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace dogwood
