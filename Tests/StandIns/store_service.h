#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Libraries/Http/http.h"

namespace dogwood {

// What is wrong with the stand-in of the platform's store.
enum class StoreFault {
  kNone,
  kRefuses,      // 503, nothing done
  kLosesAnswer,  // done, and the connection closes without an answer
  kSilent,       // nothing done, no answer
};

// Stand-in of the platform's store: speaks its protocol for rows. Runs on the
// thread of its io_context.
class StoreService {
 public:
  explicit StoreService(boost::asio::io_context& io);

  boost::asio::ip::tcp::endpoint endpoint() const {
    return server_->local_endpoint();
  }

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Changes up to now can no longer be asked for.
  void ForgetHistory() { history_from_ = version_; }
  void set_fault(StoreFault fault) { fault_ = fault; }
  int call_count() const { return calls_; }
  std::string ValueOf(const std::string& table, const std::string& key) const;

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
  };

  boost::asio::awaitable<HttpResponse> Answer(HttpRequest request);
  boost::asio::awaitable<HttpResponse> AnswerFeed(HttpRequest request);
  HttpResponse AnswerRows(const HttpRequest& request) const;
  HttpResponse AnswerTransaction(const HttpRequest& request);

  boost::asio::io_context& io_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 1;
  std::uint64_t history_from_ = 0;
  StoreFault fault_ = StoreFault::kNone;
  int calls_ = 0;
};

}  // namespace dogwood
