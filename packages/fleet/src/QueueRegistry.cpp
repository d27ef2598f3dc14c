#include "cuminroad/fleet/QueueRegistry.h"

namespace cuminroad {

bool QueueRegistry::apply(QueueConfig Config) {
  if (Config.Version <= Config_.Version)
    return false;
  Config_ = std::move(Config);
  AccountsByName_.clear();
  if (!Config_.Accounts) {
    Keys_.build({});
    return true;
  }
  Keys_.build(*Config_.Accounts);
  for (AccountEntry &Entry : *Config_.Accounts) {
    AccountsByName_.emplace(Entry.Account.Name, AccountsByName_.size());
    Entry.Keys = {};
  }
  return true;
}

std::optional<Caller> QueueRegistry::authenticate(const QueueRoute &Route,
                                                  std::string_view Key) const {
  if (!Config_.Accounts)
    return Caller{};
  if (const auto Position = Keys_.find(Key))
    return Caller{(*Config_.Accounts)[*Position].Account.Name, true};
  return Route.AllowAnonymous ? std::optional(Caller{"", true}) : std::nullopt;
}

const QueueRoute *QueueRegistry::match(std::string_view Host,
                                       std::string_view Path) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const QueueRoute *Best = nullptr;
  for (const QueueRoute &Route : Config_.Routes)
    if (Route.Host == Name && Path.starts_with(Route.PathPrefix) &&
        (Best == nullptr || Route.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Route;
  return Best;
}

const QueueTerms *QueueRegistry::terms(std::string_view Queue) const {
  for (const QueueRoute &Route : Config_.Routes)
    if (Route.Terms.Name == Queue)
      return &Route.Terms;
  return nullptr;
}

std::vector<QueueTerms> QueueRegistry::allTerms() const {
  std::vector<QueueTerms> Out;
  Out.reserve(Config_.Routes.size());
  for (const QueueRoute &Route : Config_.Routes)
    Out.push_back(Route.Terms);
  return Out;
}

const ClientAccount *QueueRegistry::account(std::string_view Name) const {
  const auto Found = AccountsByName_.find(Name);
  return Found == AccountsByName_.end()
             ? nullptr
             : &(*Config_.Accounts)[Found->second].Account;
}

std::vector<ClientAccount> QueueRegistry::allAccounts() const {
  std::vector<ClientAccount> Out;
  if (!Config_.Accounts)
    return Out;
  Out.reserve(Config_.Accounts->size());
  for (const AccountEntry &Entry : *Config_.Accounts)
    Out.push_back(Entry.Account);
  return Out;
}

} // namespace cuminroad
