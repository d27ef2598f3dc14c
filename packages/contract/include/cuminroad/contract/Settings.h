#ifndef CUMINROAD_CONTRACT_SETTINGS_H
#define CUMINROAD_CONTRACT_SETTINGS_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/base/Error.h"

namespace cuminroad {

/// An IP address and a port.
struct Endpoint {
  std::string Address;
  int Port = 0;

  /// \returns "address:port".
  std::string text() const;
};

/// How long things take and last.
struct Timings {
  /// A domain's ownership lapses this long after its last renewal was sent.
  milliseconds OwnerLease{2000};
  milliseconds OwnerRenewal{500};
  /// How often a standby reads the ownership row.
  milliseconds OwnerPoll{250};
  /// Tasks on a VM lapse this long after the last renewal was received.
  milliseconds TaskLease{30000};
  /// How long a VM may hold back its answer to a renewal.
  milliseconds TaskRenewal{12000};
  /// How often the configuration's head row is read.
  milliseconds ConfigPoll{1000};
  /// How often the platform's list of VMs is read.
  milliseconds VmListPoll{2000};
  /// How often a front door renews its grants.
  milliseconds GrantRenewal{1000};
  /// A front door's grants lapse this long after it asked for them.
  milliseconds GrantLease{4000};
  /// The longest deadline of a service request.
  milliseconds MaxRequestTime{30000};
  /// How long a stopping daemon goes on taking requests while not ready.
  milliseconds ShutdownLinger{500};
};

/// The settings of one daemon, fixed while the process lives.
struct Settings {
  std::string Name;
  std::string Domain;
  /// All failure domains, the same list in the settings of every daemon:
  /// customers' limits are shared out over it.
  std::vector<std::string> Domains;
  Endpoint Http;
  Endpoint Peer;
  std::string PlatformUrl;
  std::string OperatorToken;
  /// Address as listed -> address to connect to, for networks that translate
  /// addresses between failure domains.
  std::map<std::string, std::string> AddressMap;
  std::int64_t MaxBodyBytes = 1 << 20;
  std::int64_t EventsKept = 20000;
  Timings Times;

  /// \returns \p Url with its "address:port" replaced by the address map.
  std::string translateUrl(std::string_view Url) const;
};

/// Parses settings in JSON with comments; every field is checked.
/// \returns the settings, or every fault found, each with its path.
tl::expected<Settings, std::vector<Error>> parseSettings(std::string_view Text);

} // namespace cuminroad

#endif
