// Measures the processor time of the keys of client accounts, and prints a
// Markdown table: of bringing contracts into force, and of checking a key.

#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "cuminroad/fleet/QueueRegistry.h"

using namespace cuminroad;

namespace {

constexpr int Lookups = 1'000'000;
constexpr int Builds = 100;

double cpuNanoseconds() {
  return static_cast<double>(std::clock()) * 1e9 / CLOCKS_PER_SEC;
}

QueueConfig makeConfig(std::size_t Accounts, std::size_t KeysPerAccount) {
  QueueConfig Config;
  Config.Version = 1;
  Config.Accounts.emplace(Accounts);
  for (std::size_t Account = 0; Account < Accounts; ++Account) {
    AccountEntry &Entry = (*Config.Accounts)[Account];
    Entry.Account.Name = fmt::format("account-{}", Account);
    for (std::size_t Key = 0; Key < KeysPerAccount; ++Key)
      Entry.Keys.push_back(fmt::format("key-{:06}-{:010}", Account, Key));
  }
  return Config;
}

/// \returns the time of one check of a key, in nanoseconds.
double lookupTime(const QueueRegistry &Queues,
                  const std::vector<std::string> &Keys, bool Known) {
  const QueueRoute Route;
  int Accepted = 0;
  const double Begin = cpuNanoseconds();
  for (int Count = 0; Count < Lookups; ++Count)
    Accepted +=
        Queues
            .authenticate(Route,
                          Keys[static_cast<std::size_t>(Count) % Keys.size()])
            .has_value();
  const double Time = (cpuNanoseconds() - Begin) / Lookups;
  if (Accepted != (Known ? Lookups : 0))
    std::puts("wrong answers");
  return Time;
}

void measure(std::size_t Accounts, std::size_t KeysPerAccount) {
  const QueueConfig Config = makeConfig(Accounts, KeysPerAccount);
  std::vector<std::string> Known;
  std::vector<std::string> Unknown;
  for (const AccountEntry &Entry : *Config.Accounts)
    for (const std::string &Key : Entry.Keys) {
      Known.push_back(Key);
      Unknown.push_back("Key" + Key.substr(3));
    }
  const double Begin = cpuNanoseconds();
  for (int Count = 0; Count < Builds; ++Count) {
    QueueRegistry Queues;
    if (!checkAccounts(*Config.Accounts) || !Queues.apply(Config))
      std::puts("not applied");
  }
  const double BuildTime = (cpuNanoseconds() - Begin) / Builds;
  QueueRegistry Queues;
  Queues.apply(Config);
  std::puts(fmt::format("| {} | {} | {:.0f} | {:.0f} | {:.0f} |", Accounts,
                        Known.size(), BuildTime / 1e3,
                        lookupTime(Queues, Known, true),
                        lookupTime(Queues, Unknown, false))
                .c_str());
}

} // namespace

int main() {
  std::puts("| accounts | keys | check and apply, us | known key, ns | unknown "
            "key, ns |");
  std::puts("| --- | --- | --- | --- | --- |");
  measure(1, 1);
  measure(20, 2);
  measure(210, 2);
  measure(200, 50);
  measure(100'000, 1);
}
