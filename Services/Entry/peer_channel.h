#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Membership/member.h"

namespace dogwood {

// Messages between entry hosts and the view of who is there. Implemented by
// PeerExchange over nghttp2 and by fakes in tests. Used on the control thread.
class PeerChannel {
 public:
  using Handler = std::function<boost::asio::awaitable<Result<nlohmann::json>>(
      HostId from, nlohmann::json)>;
  using MemberListener = std::function<void(const std::vector<Member>&)>;
  using PiggybackSource = std::function<nlohmann::json()>;
  using PiggybackSink = std::function<void(HostId from, const nlohmann::json&)>;

  virtual ~PeerChannel() = default;

  // All other members, without this host.
  virtual std::vector<Member> members() const = 0;
  // Called after every change of the view, with all other members.
  virtual void AddMemberListener(MemberListener listener) = 0;
  // Time of the newest acknowledgement of this host's incarnation by any peer.
  virtual TimePoint newest_acknowledgement() const = 0;

  // Registers the handler of a message kind, for example "claim"; its value is
  // the response body.
  virtual void Handle(std::string kind, Handler handler) = 0;
  // Sends one message and waits for its response. Fails with kUnavailable when
  // it was not sent and kOutcomeUnknown when the response was lost.
  virtual boost::asio::awaitable<Result<nlohmann::json>> Call(
      HostId to, std::string kind, nlohmann::json body, Duration timeout) = 0;
  // Sends to every member without waiting; losses are not reported.
  virtual void Broadcast(std::string kind, nlohmann::json body) = 0;

  // Adds a small value to every ping and its acknowledgement, for example the
  // settings version.
  virtual void AddPiggyback(std::string name, PiggybackSource source,
                            PiggybackSink sink) = 0;
};

}  // namespace dogwood
