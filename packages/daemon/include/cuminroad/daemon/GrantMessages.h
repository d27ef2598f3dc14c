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

/// Counts by VM, customer or service. Entries of 0 may be left out.
using CountByName = std::map<std::string, int>;

/// \returns the count of \p Name, 0 where there is none.
int countOf(const CountByName &Values, const std::string &Name);
/// \returns the entries of \p To that differ from \p From; 0 for those that it
/// has no more.
CountByName difference(const CountByName &From, const CountByName &To);
/// \returns \p Base changed by what difference() gave.
CountByName overlay(CountByName Base, const CountByName &Changes);

/// A front door tells its domain's owner what it may use at present and what it
/// wants. It is also the front door's heartbeat.
struct GrantRequest {
  std::string From;
  /// Random for each start of the process.
  std::string Incarnation;
  /// Rises with each request; an answer to an earlier one is not applied.
  std::int64_t Seq = 0;
  /// The version of the VM table that the front door has.
  std::int64_t VmTableVersion = 0;
  /// Requests in flight that the front door may have, by VM and by customer.
  /// Where Basis is not 0, only what differs from the answer to that request.
  CountByName VmCaps;
  CountByName CustomerCaps;
  std::int64_t BaseSeq = 0;
  /// Requests in flight and waiting, by service and by customer.
  CountByName ServiceDemand;
  CountByName CustomerDemand;
  /// VMs that refused work because they are leaving.
  std::vector<std::string> Leaving;
  /// Where the answer goes, "address:port".
  std::string ReplyTo;
  std::uint64_t Stamp = 0;
};

/// Where a VM's requests go.
struct GrantVm {
  std::string Id;
  std::string Service;
  std::string Url;
};

/// The owner's answer: what the front door may use from now on.
struct GrantReply {
  std::string Owner;
  std::int64_t Epoch = 0;
  /// Seq of the request that is answered.
  std::int64_t Seq = 0;
  /// The owner does not know the request's basis: it wants all caps.
  bool SendFullCaps = false;
  /// What differs from the caps that the request reported.
  CountByName VmCaps;
  CountByName CustomerCaps;
  std::int64_t VmTableVersion = 0;
  /// All VMs; only where the front door has another version of the table.
  std::optional<std::vector<GrantVm>> Vms;
  std::uint64_t Stamp = 0;
};

/// Asks a front door to send a GrantRequest now: the domain has a new owner, or
/// a VM is leaving.
struct GrantNotice {
  std::string Owner;
  std::int64_t Epoch = 0;
  /// The owner's peer address.
  std::string Address;
  /// The owner's address for HTTP.
  std::string Http;
  std::uint64_t Stamp = 0;
};

using PeerMessage = std::variant<GrantRequest, GrantReply, GrantNotice>;

/// \returns the message as MessagePack.
std::string encode(const PeerMessage &Message);
/// \returns the message, or MalformedInput.
Result<PeerMessage> decodePeerMessage(std::string_view Bytes);

} // namespace cuminroad

#endif
