#ifndef CUMINROAD_FLEET_CALLER_H
#define CUMINROAD_FLEET_CALLER_H

#include <string>
#include <string_view>

namespace cuminroad {

/// The client that makes a request.
struct Caller {
  /// Name of the account whose key came with the request; "" if none.
  std::string Account;
  /// Whether jobs of other accounts are closed to the caller, as they are where
  /// the contracts have accounts.
  bool Restricted = false;

  /// \returns whether the caller may use a job of \p JobAccount, which is ""
  /// for a job without an account.
  bool mayAccess(std::string_view JobAccount) const {
    return !Restricted || JobAccount.empty() || JobAccount == Account;
  }
};

} // namespace cuminroad

#endif
