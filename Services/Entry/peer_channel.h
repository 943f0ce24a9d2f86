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

// Messaging between entry hosts and the membership view. Implemented by
// PeerNode over HTTP/2 and by fakes in tests. Used on the control thread.
class PeerChannel {
 public:
  using Handler = std::function<boost::asio::awaitable<Result<nlohmann::json>>(
      HostId from, nlohmann::json)>;
  using MemberListener = std::function<void(const std::vector<Member>&)>;
  using PiggybackSource = std::function<nlohmann::json()>;
  using PiggybackSink = std::function<void(HostId from, const nlohmann::json&)>;

  virtual ~PeerChannel() = default;

  // All members other than this host.
  virtual std::vector<Member> members() const = 0;
  // The listener is called after every change of the membership view, with the
  // same list as members().
  virtual void AddMemberListener(MemberListener listener) = 0;
  // Sending time of the latest message that a peer acknowledged while it held
  // this incarnation for a member.
  virtual TimePoint last_acknowledged_send_time() const = 0;

  // Registers the handler of a message kind, for example "claim". The handler
  // returns the response body.
  virtual void Handle(std::string kind, Handler handler) = 0;
  // Sends one message and waits for its response. Fails with kUnavailable when
  // the message was not sent and kOutcomeUnknown when the response was lost.
  virtual boost::asio::awaitable<Result<nlohmann::json>> Call(
      HostId to, std::string kind, nlohmann::json body, Duration timeout) = 0;
  // Sends a message to every member without waiting for responses. Lost
  // messages are not reported.
  virtual void Broadcast(std::string kind, nlohmann::json body) = 0;

  // Attaches a small value to every ping and acknowledgement, for example the
  // settings version. `source` supplies this host's value and `sink` receives
  // each peer's.
  virtual void AddPiggyback(std::string name, PiggybackSource source,
                            PiggybackSink sink) = 0;
};

}  // namespace dogwood
