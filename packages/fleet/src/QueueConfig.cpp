#include "cuminroad/fleet/QueueConfig.h"

#include <algorithm>
#include <string_view>

namespace cuminroad {

namespace {

bool isAmount(std::int64_t Amount) {
  return Amount == UnlimitedAmount ||
         (Amount >= 0 && Amount <= MaxAccountAmount);
}

bool isPlainText(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char Character) {
    return Character < ' ' || Character == 0x7f;
  });
}

/// \returns whether \p Key can be sent as the credentials of a request.
bool isKey(std::string_view Key) {
  return !Key.empty() && isPlainText(Key) &&
         Key.find(' ') == std::string_view::npos;
}

bool hasDuplicates(std::vector<std::string_view> Texts) {
  std::sort(Texts.begin(), Texts.end());
  return std::adjacent_find(Texts.begin(), Texts.end()) != Texts.end();
}

} // namespace

Result<void> checkAccounts(std::span<const AccountEntry> Accounts) {
  if (Accounts.size() > MaxAccounts)
    return failure(ErrorCode::ValueOutOfRange, "account count");
  std::vector<std::string_view> Names;
  std::vector<std::string_view> Keys;
  Names.reserve(Accounts.size());
  for (const AccountEntry &Entry : Accounts) {
    const ClientAccount &Account = Entry.Account;
    if (Account.Name.empty())
      return failure(ErrorCode::MissingField, "account name");
    if (!isPlainText(Account.Name))
      return failure(ErrorCode::ValueOutOfRange, "account name");
    // The comparison is false for a value that is no number as well.
    if (!(Account.Weight >= 0 && Account.Weight <= MaxAccountWeight))
      return failure(ErrorCode::ValueOutOfRange, "account weight");
    if (!isAmount(Account.MaxRunning.MilliCores) ||
        !isAmount(Account.MaxRunning.MemoryMb) ||
        !isAmount(Account.MaxRunning.Accelerators))
      return failure(ErrorCode::ValueOutOfRange, "account limit");
    Names.push_back(Account.Name);
    for (const std::string &Key : Entry.Keys) {
      if (!isKey(Key))
        return failure(ErrorCode::ValueOutOfRange, "account key");
      Keys.push_back(Key);
    }
  }
  if (hasDuplicates(std::move(Names)))
    return failure(ErrorCode::ValueOutOfRange, "account name: duplicate");
  if (hasDuplicates(std::move(Keys)))
    return failure(ErrorCode::ValueOutOfRange, "account key: duplicate");
  return {};
}

} // namespace cuminroad
