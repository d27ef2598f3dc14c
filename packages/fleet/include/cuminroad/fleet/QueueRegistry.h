#ifndef CUMINROAD_FLEET_QUEUEREGISTRY_H
#define CUMINROAD_FLEET_QUEUEREGISTRY_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/fleet/AccountKeyIndex.h"
#include "cuminroad/fleet/Caller.h"
#include "cuminroad/fleet/QueueConfig.h"

namespace cuminroad {

/// The contracts in force in this process. An older version never replaces a
/// newer one.
class QueueRegistry {
public:
  QueueRegistry() : Keys_(AccountKeyIndex::makeSalt()) {}

  /// Keeps only hashes of the accounts' keys.
  ///
  /// \returns whether \p Config is newer than the contracts in force.
  bool apply(QueueConfig Config);
  /// Records that the store had no newer contracts at \p Now.
  void confirm(TimePoint Now) { ConfirmedAt_ = Now; }
  /// \returns how long ago the store had no newer contracts.
  milliseconds age(TimePoint Now) const {
    return std::chrono::duration_cast<milliseconds>(Now - ConfirmedAt_);
  }
  bool loaded() const { return Config_.Version > 0; }
  const QueueConfig &config() const { return Config_; }
  /// \returns the route with the longest prefix of \p Path on \p Host, or null.
  /// The pointer is valid until the next apply().
  const QueueRoute *match(std::string_view Host, std::string_view Path) const;
  /// \returns the terms of a queue, or null. The pointer is valid until the
  /// next apply().
  const QueueTerms *terms(std::string_view Queue) const;
  /// \returns the terms of all queues.
  std::vector<QueueTerms> allTerms() const;
  /// \returns whether the contracts in force have client accounts.
  bool hasAccounts() const { return Config_.Accounts.has_value(); }
  /// \returns whom \p Key identifies, or nothing if the request must be
  /// refused.
  ///
  /// \param Key the key of the request; "" if there is none.
  std::optional<Caller> authenticate(const QueueRoute &Route,
                                     std::string_view Key) const;
  /// \returns the account with the name, or null. The pointer is valid until
  /// the next apply().
  const ClientAccount *account(std::string_view Name) const;
  /// \returns all client accounts, without their keys.
  std::vector<ClientAccount> allAccounts() const;

private:
  QueueConfig Config_;
  AccountKeyIndex Keys_;
  /// Positions in Config_.Accounts.
  std::map<std::string, std::size_t, std::less<>> AccountsByName_;
  TimePoint ConfirmedAt_{};
};

} // namespace cuminroad

#endif
