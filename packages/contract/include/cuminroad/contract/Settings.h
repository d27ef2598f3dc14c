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

/// Intervals, lease durations and limits on time, all in milliseconds.
struct Timings {
  /// The ownership of a failure domain lapses this long after its last renewal
  /// was sent.
  milliseconds OwnerLease{2000};
  /// Interval at which an owner renews its ownership.
  milliseconds OwnerRenewal{500};
  /// Interval at which a standby reads the ownership row.
  milliseconds OwnerPoll{250};
  /// The lease on the tasks of a VM lapses this long after the VM received the
  /// last renewal.
  milliseconds TaskLease{30000};
  /// How long a VM may delay its response to a renewal (long poll).
  milliseconds TaskRenewal{12000};
  /// Interval at which the head row of the configuration is read.
  milliseconds ConfigPoll{1000};
  /// Interval at which the platform's list of VMs is read.
  milliseconds VmListPoll{2000};
  /// Interval at which a request frontend renews its grants.
  milliseconds GrantRenewal{1000};
  /// The grants of a request frontend lapse this long after it requested them.
  milliseconds GrantLease{4000};
  /// Upper limit on the time until a service request's deadline.
  milliseconds MaxRequestTime{30000};
  /// How long a daemon that is shutting down still accepts requests while it
  /// reports that it is not ready.
  milliseconds ShutdownLinger{500};
};

/// The settings of one daemon, read once at its start.
struct Settings {
  std::string Name;
  std::string Domain;
  /// All failure domains. The list must be the same in the settings of every
  /// daemon, since customers' limits are divided among these domains.
  std::vector<std::string> Domains;
  Endpoint Http;
  Endpoint Peer;
  std::string PlatformUrl;
  std::string OperatorToken;
  /// Maps a listed "address:port" to the one to connect to, for networks that
  /// translate addresses between failure domains.
  std::map<std::string, std::string> AddressMap;
  /// Limit on the size of an HTTP request's body.
  std::int64_t MaxBodyBytes = 1 << 20;
  /// Number of events kept in memory.
  std::int64_t EventsKept = 20000;
  Timings Times;

  /// \returns \p Url with its "address:port" replaced as AddressMap says.
  std::string translateUrl(std::string_view Url) const;
};

/// Parses and validates settings in JSON with comments.
/// \returns the settings, or all errors, each with the path of its field.
tl::expected<Settings, std::vector<Error>> parseSettings(std::string_view Text);

} // namespace cuminroad

#endif
