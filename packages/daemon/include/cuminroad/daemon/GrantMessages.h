#ifndef CUMINROAD_DAEMON_GRANTMESSAGES_H
#define CUMINROAD_DAEMON_GRANTMESSAGES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cuminroad/base/Error.h"

namespace cuminroad {

/// Counts by the name of a VM, customer or service. Entries of 0 may be
/// omitted.
using CountByName = std::map<std::string, int>;

/// \returns the count of \p Name, or 0 if it has no entry.
int countOf(const CountByName &Values, const std::string &Name);
/// \returns the entries of \p To that differ from \p From, and 0 for those that
/// are only in \p From.
CountByName difference(const CountByName &From, const CountByName &To);
/// \returns \p Base with the result of difference() applied to it.
CountByName overlay(CountByName Base, const CountByName &Changes);

/// Reports to the domain's owner which caps a frontend has at present and how
/// much it needs. It also serves as the frontend's heartbeat.
struct GrantRequest {
  /// Name of the daemon that sends it.
  std::string From;
  /// Random for each start of the process.
  std::string Incarnation;
  /// Increases with each request; a reply to an earlier one is not applied.
  std::int64_t Seq = 0;
  /// The version of the VM table that the frontend has.
  std::int64_t VmTableVersion = 0;
  /// How many requests the frontend may have in flight, by VM and by customer.
  /// If BaseSeq is not 0, only the differences from the caps that the reply to
  /// that request granted.
  CountByName VmCaps;
  CountByName CustomerCaps;
  /// Seq of the request whose reply the caps refer to; 0 if they are complete.
  std::int64_t BaseSeq = 0;
  /// Requests in flight and waiting, by service and by customer.
  CountByName ServiceDemand;
  CountByName CustomerDemand;
  /// VMs that refused work because they are leaving.
  std::vector<std::string> Leaving;
  /// Address for the reply, "address:port".
  std::string ReplyTo;
  /// Timestamp of the sender's hybrid logical clock, as in the other messages.
  std::uint64_t Stamp = 0;
};

/// A VM and the address for its requests.
struct GrantVm {
  std::string Id;
  std::string Service;
  /// Base URL of its HTTP server.
  std::string Url;
};

/// The owner's reply: the caps that the frontend may use from now on.
struct GrantReply {
  /// Name of the owner's daemon.
  std::string Owner;
  std::int64_t Epoch = 0;
  /// Seq of the request that this replies to.
  std::int64_t Seq = 0;
  /// The owner does not know the reply that BaseSeq refers to, and needs a
  /// request with all caps. Such a reply grants nothing.
  bool SendFullCaps = false;
  /// Differences from the caps that the request reported.
  CountByName VmCaps;
  CountByName CustomerCaps;
  std::int64_t VmTableVersion = 0;
  /// All VMs; set only if the frontend has another version of the table.
  std::optional<std::vector<GrantVm>> Vms;
  std::uint64_t Stamp = 0;
};

/// Asks a frontend to send a GrantRequest now: the domain has a new owner, a VM
/// is leaving, or another frontend needs or has released capacity.
struct GrantNotice {
  /// Name of the owner's daemon.
  std::string Owner;
  std::int64_t Epoch = 0;
  /// The owner's "address:port" for messages between daemons.
  std::string Address;
  /// The owner's "address:port" for HTTP.
  std::string Http;
  std::uint64_t Stamp = 0;
};

using PeerMessage = std::variant<GrantRequest, GrantReply, GrantNotice>;

/// \returns the message, encoded as MessagePack.
std::string encode(const PeerMessage &Message);
/// \returns the decoded message, or MalformedInput.
Result<PeerMessage> decodePeerMessage(std::string_view Bytes);

} // namespace cuminroad

#endif
