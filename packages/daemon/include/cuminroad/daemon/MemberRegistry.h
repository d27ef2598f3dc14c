#ifndef CUMINROAD_DAEMON_MEMBERREGISTRY_H
#define CUMINROAD_DAEMON_MEMBERREGISTRY_H

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cuminroad/daemon/Identity.h"

namespace cuminroad {

/// The daemons that are registered as members, as last read from the table.
/// Written on the control thread, read on any.
class MemberRegistry {
public:
  /// Replaces all members at once.
  void publish(std::map<std::string, Identity> Members) {
    const std::lock_guard Lock(Mutex_);
    Members_ = std::move(Members);
  }
  std::optional<Identity> find(const std::string &Name) const {
    const std::lock_guard Lock(Mutex_);
    const auto Found = Members_.find(Name);
    if (Found == Members_.end())
      return std::nullopt;
    return Found->second;
  }
  std::vector<Identity> inDomain(const std::string &Domain) const {
    const std::lock_guard Lock(Mutex_);
    std::vector<Identity> Out;
    for (const auto &[Name, Member] : Members_)
      if (Member.Domain == Domain)
        Out.push_back(Member);
    return Out;
  }
  std::vector<Identity> all() const {
    const std::lock_guard Lock(Mutex_);
    std::vector<Identity> Out;
    for (const auto &[Name, Member] : Members_)
      Out.push_back(Member);
    return Out;
  }

private:
  mutable std::mutex Mutex_;
  std::map<std::string, Identity> Members_;
};

} // namespace cuminroad

#endif
