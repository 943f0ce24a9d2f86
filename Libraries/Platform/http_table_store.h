#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "Libraries/Platform/table_store.h"

namespace dogwood {

class HttpClientPool;

// HTTP/1.1 client of the platform's table service (docs/design.md section 6).
class HttpTableStore : public TableStore {
 public:
  HttpTableStore(boost::asio::any_io_executor executor,
                 boost::asio::ip::tcp::endpoint platform_endpoint);
  ~HttpTableStore() override;

  boost::asio::awaitable<CommitResult> Commit(TableTransaction commit,
                                              Duration timeout) override;
  boost::asio::awaitable<Result<TableRow>> Read(std::string key,
                                                Duration timeout) override;
  boost::asio::awaitable<Result<std::vector<TableRow>>> Scan(
      std::string prefix, std::string after, std::size_t limit,
      Duration timeout) override;

 private:
  std::unique_ptr<HttpClientPool> client_pool_;
};

}  // namespace dogwood
