#include "cuminroad/pool/QuotaLedger.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace cuminroad {

namespace {

constexpr std::size_t Components = std::tuple_size_v<QuotaFractions>;
/// Gifts of less than this part of a quota, and needs that increase by less,
/// are not worth a write unless the smaller part suffices.
constexpr std::int64_t SmallestIncrease = WholeQuota / 256;
/// A need that has become smaller is written when it differs by this part, or
/// when the pool has enough now.
constexpr std::int64_t SmallestDecrease = WholeQuota / 16;
/// A row takes no further accounts from this size on. The store allows 49,152
/// bytes, and the accounts of a row are all that varies in it.
constexpr std::size_t MaxRowBytes = 40000;
/// Most bytes of a number, and of an entry without its names.
constexpr std::size_t NumberBytes = 9;
constexpr std::size_t EntryBytes = 16 + 7 * NumberBytes;

std::array<std::int64_t, Components> componentsOf(const Capacity &Amount) {
  return {Amount.MilliCores, Amount.MemoryMb, Amount.Accelerators};
}

/// A fraction is known to one millionth, so that those of all pools may add up
/// to a little less than the whole. For small quotas that would take a whole
/// unit, for example one of three accelerators, from one of the pools.
/// \returns what may be added to each fraction so that the limits of \p Pools
/// pools still add up to no more than \p Quota: their sum is below Quota + 1.
std::int64_t roundingOf(std::int64_t Quota, std::size_t Pools) {
  return static_cast<std::int64_t>(Pools) <
                 WholeQuota / std::max<std::int64_t>(Quota, 1)
             ? 1
             : 0;
}

std::int64_t limitOf(std::int64_t Fraction, std::int64_t Quota,
                     std::size_t Pools) {
  const std::int64_t Rounded = std::clamp<std::int64_t>(
      Fraction + roundingOf(Quota, Pools), 0, WholeQuota);
  // The product may exceed 64 bits.
  return Quota / WholeQuota * Rounded +
         Quota % WholeQuota * Rounded / WholeQuota;
}

/// \returns the smallest fraction whose limit is at least \p Amount, or the
/// whole quota if that is less.
std::int64_t fractionFor(std::int64_t Amount, std::int64_t Quota,
                         std::size_t Pools) {
  if (Amount <= 0)
    return 0;
  // The whole may be out of reach by a millionth that the parts of a small
  // quota don't need.
  Amount = std::min(Amount, Quota);
  const auto Exact =
      static_cast<std::int64_t>(static_cast<long double>(Amount) * WholeQuota /
                                static_cast<long double>(Quota));
  std::int64_t Out = std::max<std::int64_t>(Exact - 2, 0);
  while (Out < WholeQuota && limitOf(Out, Quota, Pools) < Amount)
    ++Out;
  return Out;
}

/// \returns the parts by which the needs are met as evenly as possible from
/// \p Whole: no part can grow without making a part smaller that is not larger.
std::vector<std::int64_t> maxMinParts(const std::vector<std::int64_t> &Needs,
                                      std::int64_t Whole) {
  std::vector<std::size_t> Order(Needs.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&Needs](std::size_t L, std::size_t R) {
    return Needs[L] < Needs[R];
  });
  std::vector<std::int64_t> Out(Needs.size());
  auto Remaining = static_cast<std::int64_t>(Needs.size());
  for (const std::size_t Index : Order) {
    Out[Index] = std::min(Needs[Index], Whole / Remaining--);
    Whole -= Out[Index];
  }
  return Out;
}

/// \returns the parts of one component; the oldest claim is met first.
std::vector<std::int64_t> partsOf(std::span<const QuotaEntry> Entries,
                                  std::size_t Component,
                                  std::optional<std::size_t> Claimant) {
  std::vector<std::int64_t> Needs;
  for (const QuotaEntry &Each : Entries)
    Needs.push_back(std::min(Each.Needed[Component], WholeQuota));
  std::vector<std::int64_t> Out = maxMinParts(Needs, WholeQuota);
  if (!Claimant)
    return Out;
  const std::int64_t Claim =
      std::min(Entries[*Claimant].Claim[Component], WholeQuota);
  if (Claim <= Out[*Claimant])
    return Out;
  const std::int64_t Beyond =
      std::max<std::int64_t>(Needs[*Claimant] - Claim, 0);
  Needs[*Claimant] = 0;
  Out = maxMinParts(Needs, WholeQuota - Claim);
  const std::int64_t Left =
      WholeQuota - Claim -
      std::accumulate(Out.begin(), Out.end(), std::int64_t{0});
  Out[*Claimant] = Claim + std::min(Beyond, Left);
  return Out;
}

/// \returns the pool whose claim comes first, if any.
std::optional<std::size_t> oldestClaim(std::span<const QuotaEntry> Entries) {
  std::optional<std::size_t> Out;
  for (std::size_t Pool = 0; Pool < Entries.size(); ++Pool)
    if (Entries[Pool].Claim != QuotaFractions{} &&
        (!Out || Entries[Pool].ClaimedSinceMs < Entries[*Out].ClaimedSinceMs))
      Out = Pool;
  return Out;
}

} // namespace

bool QuotaLedger::setPools(std::vector<std::string> Pools) {
  Pools.push_back(Pool_);
  std::sort(Pools.begin(), Pools.end());
  Pools.erase(std::unique(Pools.begin(), Pools.end()), Pools.end());
  if (Pools == Pools_)
    return false;
  Pools_ = std::move(Pools);
  Rows_.clear();
  OwnRowsKnown_ = Pools_.size() == 1;
  for (auto &[Name, Each] : Accounts_) {
    Each.Entry = QuotaEntry{};
    Each.Ceiling.fill(WholeQuota);
  }
  return true;
}

void QuotaLedger::setAccounts(std::span<const ClientAccount> Accounts) {
  for (auto &[Name, Each] : Accounts_)
    Each.InForce = false;
  for (const ClientAccount &Terms : Accounts) {
    Account &Each = findOrCreate(Terms.Name);
    Each.Quota = Terms.MaxRunning;
    Each.InForce = true;
  }
}

QuotaLedger::Account &QuotaLedger::findOrCreate(const std::string &Name) {
  const auto Found = Accounts_.find(Name);
  if (Found != Accounts_.end())
    return Found->second;
  Account New;
  New.RowNumber = rowFor(Name);
  return Accounts_.emplace(Name, std::move(New)).first->second;
}

int QuotaLedger::rowFor(const std::string &Name) {
  std::size_t Bytes = Name.size() + EntryBytes;
  for (const std::string &Pool : Pools_)
    Bytes += Pool.size() + 8 + 3 * NumberBytes;
  std::size_t Row = 0;
  while (Row < RowBytes_.size() && RowBytes_[Row] + Bytes > MaxRowBytes)
    ++Row;
  RowBytes_.resize(std::max(RowBytes_.size(), Row + 1));
  RowBytes_[Row] += Bytes;
  return static_cast<int>(Row);
}

void QuotaLedger::ownRowsRead(std::span<const QuotaRow> Rows) {
  OwnRowsKnown_ = true;
  // An account keeps the row that it is in, so that what it has given is never
  // in none of the rows while they are written one after another.
  AccountMap Earlier = std::exchange(Accounts_, {});
  RowBytes_.assign(Rows.size(), 0);
  for (std::size_t Number = 0; Number < Rows.size(); ++Number) {
    if (Rows[Number].Pools != Pools_)
      continue;
    RowBytes_[Number] = encodeQuotaRow(Rows[Number]).size();
    for (const auto &[Name, Entry] : Rows[Number].Accounts) {
      Account &Each = Accounts_[Name];
      Each.RowNumber = static_cast<int>(Number);
      Each.Entry = Entry;
    }
  }
  for (const auto &[Name, Terms] : Earlier) {
    Account &Each = findOrCreate(Name);
    Each.Quota = Terms.Quota;
    Each.InForce = Terms.InForce;
  }
}

void QuotaLedger::rowRead(const std::string &From, const std::string &Key,
                          std::int64_t Version, const QuotaRow &Row) {
  if (From == Pool_)
    return;
  ReadRow &Known = Rows_[From][Key];
  if (Version > Known.Version)
    Known = ReadRow{Version, Row};
}

QuotaFractions QuotaLedger::given(const std::string &From,
                                  const std::string &To,
                                  std::string_view Account) const {
  QuotaFractions Out{};
  const auto AddFrom = [&](const QuotaEntry &Entry) {
    if (const auto Sum = Entry.Given.find(To); Sum != Entry.Given.end())
      for (std::size_t Index = 0; Index < Components; ++Index)
        Out[Index] += Sum->second[Index];
  };
  if (From == Pool_) {
    if (const auto Own = Accounts_.find(Account); Own != Accounts_.end())
      AddFrom(Own->second.Entry);
    return Out;
  }
  const auto Rows = Rows_.find(From);
  if (Rows == Rows_.end())
    return Out;
  for (const auto &[Key, Each] : Rows->second)
    if (Each.Row.Pools == Pools_)
      if (const auto Entry = Each.Row.Accounts.find(Account);
          Entry != Each.Row.Accounts.end())
        AddFrom(Entry->second);
  return Out;
}

const QuotaEntry &QuotaLedger::entryOf(const std::string &Pool,
                                       std::string_view Account) const {
  static const QuotaEntry Nothing;
  if (const auto Rows = Rows_.find(Pool); Rows != Rows_.end())
    for (const auto &[Key, Each] : Rows->second)
      if (Each.Row.Pools == Pools_)
        if (const auto Entry = Each.Row.Accounts.find(Account);
            Entry != Each.Row.Accounts.end())
          return Entry->second;
  return Nothing;
}

QuotaFractions QuotaLedger::fractionOf(const std::string &Pool,
                                       std::string_view Account) const {
  // What can't be divided goes to the first pools.
  const auto Count = static_cast<std::int64_t>(Pools_.size());
  const auto Position =
      std::lower_bound(Pools_.begin(), Pools_.end(), Pool) - Pools_.begin();
  QuotaFractions Out;
  Out.fill(WholeQuota / Count + (Position < WholeQuota % Count ? 1 : 0));
  for (const std::string &Other : Pools_) {
    if (Other == Pool)
      continue;
    const QuotaFractions Sent = given(Pool, Other, Account);
    const QuotaFractions Received = given(Other, Pool, Account);
    for (std::size_t Index = 0; Index < Components; ++Index)
      Out[Index] += Received[Index] - Sent[Index];
  }
  // A row from which a part came that was given away again may not be read yet.
  for (std::int64_t &Each : Out)
    Each = std::clamp<std::int64_t>(Each, 0, WholeQuota);
  return Out;
}

QuotaFractions QuotaLedger::fraction(std::string_view Account) const {
  if (!OwnRowsKnown_)
    return {};
  return fractionOf(Pool_, Account);
}

Capacity QuotaLedger::limit(std::string_view Name) const {
  const auto Found = Accounts_.find(Name);
  if (Found == Accounts_.end())
    return UnlimitedCapacity;
  const Account &Each = Found->second;
  const QuotaFractions Own = fraction(Name);
  const auto Quota = componentsOf(Each.Quota);
  std::array<std::int64_t, Components> Out{};
  for (std::size_t Index = 0; Index < Components; ++Index) {
    if (Quota[Index] >= UnlimitedAmount)
      Out[Index] = UnlimitedAmount;
    else if (OwnRowsKnown_)
      Out[Index] = limitOf(std::min(Own[Index], Each.Ceiling[Index]),
                           Quota[Index], Pools_.size());
  }
  return Capacity{Out[0], Out[1], Out[2]};
}

std::vector<std::pair<std::string, Capacity>> QuotaLedger::limits() const {
  std::vector<std::pair<std::string, Capacity>> Out;
  Out.reserve(Accounts_.size());
  for (const auto &[Name, Each] : Accounts_)
    Out.emplace_back(Name, limit(Name));
  return Out;
}

bool QuotaLedger::needsExchange() const {
  return Pools_.size() > 1 &&
         std::any_of(Accounts_.begin(), Accounts_.end(), [](const auto &Entry) {
           const auto Quota = componentsOf(Entry.second.Quota);
           return std::any_of(
               Quota.begin(), Quota.end(),
               [](std::int64_t Each) { return Each < UnlimitedAmount; });
         });
}

std::size_t QuotaLedger::ownIndex() const {
  return static_cast<std::size_t>(
      std::find(Pools_.begin(), Pools_.end(), Pool_) - Pools_.begin());
}

std::vector<QuotaEntry> QuotaLedger::entries(std::string_view Name,
                                             const QuotaEntry &Wanted) const {
  std::vector<QuotaEntry> Out;
  for (const std::string &Pool : Pools_)
    Out.push_back(Pool == Pool_ ? Wanted : entryOf(Pool, Name));
  return Out;
}

bool QuotaLedger::updateAccount(const std::string &Name, Account &Terms,
                                const AccountLoad &Load,
                                milliseconds StoreTime) {
  const auto Quota = componentsOf(Terms.Quota);
  const auto Used = componentsOf(Load.Used);
  const auto Needed = componentsOf(Load.Needed);
  const auto Claim = componentsOf(Load.Claim);
  QuotaFractions InUse{};
  QuotaEntry Wanted;
  for (std::size_t Index = 0; Index < Components; ++Index) {
    Terms.Ceiling[Index] = WholeQuota;
    if (Quota[Index] >= UnlimitedAmount || Quota[Index] <= 0)
      continue;
    const auto Fraction = [&](std::int64_t Amount) {
      return fractionFor(Amount, Quota[Index], Pools_.size());
    };
    InUse[Index] = Fraction(Used[Index]);
    Wanted.Needed[Index] = std::max(InUse[Index], Fraction(Needed[Index]));
    Wanted.Claim[Index] = Fraction(Claim[Index]);
  }
  const std::size_t Own = ownIndex();
  std::vector<QuotaEntry> Entries = entries(Name, Wanted);
  // Parts that are equal where all need much suffice for most steps.
  bool Claims = false;
  for (std::size_t Index = 0; Index < Components; ++Index)
    Claims = Claims ||
             Wanted.Claim[Index] > partsOf(Entries, Index, std::nullopt)[Own];
  if (!Claims)
    Wanted.Claim = QuotaFractions{};
  else
    Wanted.ClaimedSinceMs = Terms.Entry.Claim == QuotaFractions{}
                                ? StoreTime.count()
                                : Terms.Entry.ClaimedSinceMs;
  Entries[Own] = Wanted;
  const std::optional<std::size_t> Claimant = oldestClaim(Entries);
  std::vector<QuotaFractions> Fractions;
  for (const std::string &Pool : Pools_)
    Fractions.push_back(fractionOf(Pool, Name));
  const QuotaFractions Before = Fractions[Own];
  bool MustWrite = (Wanted.Claim == QuotaFractions{}) !=
                   (Terms.Entry.Claim == QuotaFractions{});
  for (std::size_t Index = 0; Index < Components; ++Index) {
    if (Quota[Index] >= UnlimitedAmount || Quota[Index] <= 0)
      continue;
    const std::vector<std::int64_t> Parts = partsOf(Entries, Index, Claimant);
    if (updateComponent(Index, Terms, InUse[Index], Parts, Fractions))
      MustWrite = true;
    const std::int64_t Unit =
        std::max(WholeQuota / Quota[Index], SmallestIncrease);
    const std::int64_t Written = Terms.Entry.Needed[Index];
    const std::int64_t Now = Wanted.Needed[Index];
    const bool Asks = Now > Fractions[Own][Index];
    const bool Asked = Written > Before[Index];
    if ((Asks && (!Asked || Now - Written >= Unit)) ||
        (Asked && (!Asks || Written - Now >= SmallestDecrease)))
      MustWrite = true;
  }
  if (!MustWrite)
    return false;
  Terms.Entry.Needed = Wanted.Needed;
  Terms.Entry.Claim = Wanted.Claim;
  Terms.Entry.ClaimedSinceMs = Wanted.ClaimedSinceMs;
  return true;
}

bool QuotaLedger::updateComponent(std::size_t Component, Account &Terms,
                                  std::int64_t InUse,
                                  std::span<const std::int64_t> Parts,
                                  std::vector<QuotaFractions> &Fractions) {
  const std::size_t Own = ownIndex();
  const bool Scarce =
      std::accumulate(Parts.begin(), Parts.end(), std::int64_t{0}) >=
      WholeQuota - static_cast<std::int64_t>(Parts.size());
  bool Gave = false;
  std::int64_t StillMissing = 0;
  for (std::size_t Pool = 0; Pool < Parts.size(); ++Pool) {
    const std::int64_t Missing = Parts[Pool] - Fractions[Pool][Component];
    if (Pool == Own || Missing <= 0)
      continue;
    StillMissing += Missing;
    const std::int64_t Gift = std::min(
        Fractions[Own][Component] - std::max(InUse, Parts[Own]), Missing);
    // Of the last part that is missing, several pools may have a piece each.
    if (Gift <= 0 || (Gift < SmallestIncrease && Missing > SmallestIncrease))
      continue;
    Terms.Entry.Given[Pools_[Pool]][Component] += Gift;
    Fractions[Own][Component] -= Gift;
    Fractions[Pool][Component] += Gift;
    StillMissing -= Gift;
    Gave = true;
  }
  // What exceeds the own part and is in use is given once it no longer is, so
  // that it must not be used again.
  if (Scarce && StillMissing > 0)
    Terms.Ceiling[Component] =
        std::max(Parts[Own], Fractions[Own][Component] - StillMissing);
  return Gave;
}

std::vector<int> QuotaLedger::update(std::span<const AccountLoad> Loads,
                                     milliseconds StoreTime) {
  std::vector<int> Out;
  if (!OwnRowsKnown_ || Pools_.size() < 2)
    return Out;
  std::map<std::string_view, const AccountLoad *> ByName;
  for (const AccountLoad &Load : Loads)
    ByName[Load.Name] = &Load;
  const AccountLoad Nothing;
  for (auto &[Name, Terms] : Accounts_) {
    const auto Load = ByName.find(Name);
    if (updateAccount(Name, Terms,
                      Load == ByName.end() ? Nothing : *Load->second,
                      StoreTime))
      Out.push_back(Terms.RowNumber);
  }
  std::sort(Out.begin(), Out.end());
  Out.erase(std::unique(Out.begin(), Out.end()), Out.end());
  return Out;
}

QuotaRow QuotaLedger::row(int Number) const {
  QuotaRow Out;
  Out.Pools = Pools_;
  for (const auto &[Name, Each] : Accounts_)
    if (Each.RowNumber == Number && Each.Entry != QuotaEntry{})
      Out.Accounts.emplace(Name, Each.Entry);
  return Out;
}

} // namespace cuminroad
