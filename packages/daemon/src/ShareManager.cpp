#include "cuminroad/daemon/ShareManager.h"

#include <algorithm>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

/// Written with each change of a share row, so that one read tells whether
/// anything changed.
constexpr const char *HeadKey = "share-head";
constexpr const char *RowPrefix = "share/";
constexpr milliseconds PollInterval{1000};
/// At most one row is written at a time and in each interval, which bounds the
/// write rate of all domains together.
constexpr milliseconds RebalanceInterval{500};

} // namespace

ShareManager::ShareManager(Table &Rows, Loop &ControlLoop,
                           ShareManagerContext Context,
                           const DomainUsage &Usage)
    : Rows_(Rows), ControlLoop_(ControlLoop), Context_(std::move(Context)),
      Usage_(Usage) {}

std::string ShareManager::rowKey(const std::string &Customer) const {
  return RowPrefix + Customer;
}

void ShareManager::start() {
  // An owner that was chosen without the table may use only its reserved share,
  // which no domain ever transfers; it needs no rows for that.
  if (!Context_.ChosenByTable)
    return;
  poll();
  rebalancePeriodically();
}

void ShareManager::setContracts(
    std::map<std::string, ContractTerms> Contracts) {
  Contracts_ = std::move(Contracts);
}

ContractTerms ShareManager::currentShare(const std::string &Customer,
                                         const ContractTerms &Terms) const {
  const auto Found = CachedRows_.find(Customer);
  const ShareRow Row = Found == CachedRows_.end()
                           ? evenShares(Terms, Customer, Context_.Domains)
                           : Found->second.Row;
  // Until the rows are read, parts may have been transferred: only the reserved
  // share, which is never transferred, can be relied on.
  if (!Loaded_) {
    const ShareAmount Least = componentMin(
        reservedShare(Terms, Customer, Context_.Domain, Context_.Domains),
        transferableLimits(termsForDomain(Row, Terms, Customer, Context_.Domain,
                                          Context_.Domains)));
    ContractTerms Out = Terms;
    Out.MaxCapacity = Least.Held;
    Out.MaxRequests = Least.Requests;
    return Out;
  }
  ContractTerms Out =
      termsForDomain(Row, Terms, Customer, Context_.Domain, Context_.Domains);
  const auto Pending = Transfers_.find(Customer);
  if (Pending == Transfers_.end())
    return Out;
  ShareAmount Left = transferableLimits(Out);
  Left -= Pending->second.Amount;
  Left = clampToZero(Left);
  Out.MaxCapacity = Left.Held;
  Out.MaxRequests = Left.Requests;
  return Out;
}

ContractTerms ShareManager::largestShare(const std::string &Customer,
                                         const ContractTerms &Terms) const {
  ContractTerms Out = Terms;
  for (const std::string &Domain : Context_.Domains) {
    if (Domain == Context_.Domain)
      continue;
    const ShareAmount Reserved =
        reservedShare(Terms, Customer, Domain, Context_.Domains);
    Out.MaxCapacity -= Reserved.Held;
    Out.MaxRequests -= Reserved.Requests;
  }
  return Out;
}

void ShareManager::poll() {
  if (Closed_)
    return;
  Rows_.read(HeadKey, [Self = shared_from_this()](Result<TableRow> Head) {
    if (Self->Closed_)
      return;
    if (Head && Head->Version != Self->HeadVersion_)
      Self->reload(Head->Version);
    Self->ControlLoop_.after(PollInterval, [Self] { Self->poll(); });
  });
}

void ShareManager::reload(std::int64_t Head) {
  Rows_.scan(RowPrefix, [Self = shared_from_this(),
                         Head](Result<std::vector<TableRow>> Rows) {
    if (Self->Closed_ || !Rows)
      return;
    for (const TableRow &Row : *Rows) {
      const std::string Customer =
          Row.Key.substr(std::string_view(RowPrefix).size());
      const auto Parsed = parseShareRow(Row.Value);
      // A scan that began before one of this manager's writes has an older
      // version of the row.
      CachedRow &Cached = Self->CachedRows_[Customer];
      if (Parsed && Row.Version > Cached.Version)
        Cached = CachedRow{*Parsed, Row.Version};
    }
    Self->HeadVersion_ = Head;
    Self->Loaded_ = true;
    if (Self->OnChanged)
      Self->OnChanged();
  });
}

void ShareManager::rebalancePeriodically() {
  if (Closed_)
    return;
  if (Loaded_)
    rebalanceAll();
  ControlLoop_.after(RebalanceInterval, [Self = shared_from_this()] {
    Self->rebalancePeriodically();
  });
}

void ShareManager::rebalanceAll() {
  // Begins after the customer whose row was written last, so that each customer
  // has its turn.
  auto Next = Contracts_.upper_bound(LastWrittenCustomer_);
  for (std::size_t Left = Contracts_.size(); Left > 0 && !Writing_; --Left) {
    if (Next == Contracts_.end())
      Next = Contracts_.begin();
    rebalanceCustomer(Next->first, Next->second);
    ++Next;
  }
}

void ShareManager::rebalanceCustomer(const std::string &Customer,
                                     const ContractTerms &Terms) {
  if (Transfers_.contains(Customer))
    return completeTransfer(Customer, Terms);
  const ShareAmount Demand = Usage_.demand(Customer);
  ShareAmount Shortfall = Demand;
  Shortfall -= transferableLimits(currentShare(Customer, Terms));
  Shortfall = clampToZero(Shortfall);
  if (!Shortfall.anyPositive())
    return startTransfer(Customer, Terms, Demand);
  if (requestMore(Customer, Terms, Shortfall))
    return;
  // Another domain requested first. It gets what is not in use here, although
  // this domain needs more as well.
  if (CachedRows_.at(Customer).Row.nextRecipient() != Context_.Domain)
    startTransfer(Customer, Terms, Usage_.maxUsage(Customer));
}

bool ShareManager::requestMore(const std::string &Customer,
                               const ContractTerms &Terms,
                               const ShareAmount &Shortfall) {
  CachedRow Cached;
  if (const auto Found = CachedRows_.find(Customer); Found != CachedRows_.end())
    Cached = CachedRow{
        scaledToTerms(Found->second.Row, Terms, Customer, Context_.Domains),
        Found->second.Version};
  else
    Cached.Row = evenShares(Terms, Customer, Context_.Domains);
  // The request that was written before still stands.
  const auto Requested = Cached.Row.TransferRequests.find(Context_.Domain);
  if (Requested != Cached.Row.TransferRequests.end() &&
      componentMin(Requested->second.Amount, Shortfall) == Shortfall)
    return false;
  Cached.Row.requestTransfer(Context_.Domain, Shortfall);
  write(Customer, Cached.Row, Cached.Version, [] {});
  return true;
}

void ShareManager::startTransfer(const std::string &Customer,
                                 const ContractTerms &Terms,
                                 const ShareAmount &Demand) {
  const auto Found = CachedRows_.find(Customer);
  if (Found == CachedRows_.end() || !Usage_.usageFullyKnown())
    return;
  ShareRow Row =
      scaledToTerms(Found->second.Row, Terms, Customer, Context_.Domains);
  if (Row.nextRecipient() == Context_.Domain) {
    // This domain no longer needs what it requested.
    Row.TransferRequests.erase(Context_.Domain);
    return write(Customer, Row, Found->second.Version, [] {});
  }
  if (Row.TransferRequests.empty())
    return;
  const ShareAmount Share = transferableLimits(currentShare(Customer, Terms));
  ShareAmount Surplus = Share;
  Surplus -= Demand;
  const ShareAmount Reserved =
      reservedShare(Terms, Customer, Context_.Domain, Context_.Domains);
  ShareAmount AboveReserved = Share;
  AboveReserved -= Reserved;
  const std::string To = Row.nextRecipient();
  const ShareAmount Amount = clampToZero(componentMin(
      componentMin(Surplus, AboveReserved), Row.TransferRequests[To].Amount));
  if (!Amount.anyPositive())
    return;
  Transfers_[Customer] = Transfer{To, Amount};
  // From here on currentShare() is lower.
  if (OnChanged)
    OnChanged();
}

void ShareManager::completeTransfer(const std::string &Customer,
                                    const ContractTerms &Terms) {
  const Transfer Pending = Transfers_.at(Customer);
  const ShareAmount Left = transferableLimits(currentShare(Customer, Terms));
  const ShareAmount MaxUsage = Usage_.maxUsage(Customer);
  const bool NoLongerUsed =
      MaxUsage.Held.fitsIn(Left.Held) && MaxUsage.Requests <= Left.Requests;
  CachedRow &Cached = CachedRows_[Customer];
  // While the row has the version that an earlier write was to replace, the
  // write is repeated; only one of them can take effect.
  const bool IsSettled =
      Pending.UnsettledSince && Cached.Version > *Pending.UnsettledSince;
  if (IsSettled || !Cached.Row.TransferRequests.contains(Pending.To)) {
    Transfers_.erase(Customer);
    if (OnChanged)
      OnChanged();
    return;
  }
  if (!NoLongerUsed || !Usage_.usageFullyKnown())
    return;
  ShareRow Row = scaledToTerms(Cached.Row, Terms, Customer, Context_.Domains);
  // If the contract became smaller, the domain may have less than the amount to
  // be transferred.
  const ShareAmount OwnPart = Row.Parts[Context_.Domain];
  if (componentMin(OwnPart, Pending.Amount) != Pending.Amount) {
    Transfers_.erase(Customer);
    return;
  }
  Row.transfer(Context_.Domain, Pending.To, Pending.Amount);
  write(Customer, Row, Cached.Version, [this, Customer] {
    Transfers_.erase(Customer);
    if (OnChanged)
      OnChanged();
  });
}

void ShareManager::write(const std::string &Customer, ShareRow Row,
                         std::int64_t Version, std::function<void()> Done) {
  Writing_ = true;
  LastWrittenCustomer_ = Customer;
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{rowKey(Customer), Version},
                   {Context_.EpochKey, Context_.EpochVersion}};
  Change.Writes = {{rowKey(Customer), toJson(Row)},
                   {HeadKey, {{"by", Context_.Domain}}}};
  Rows_.commit(std::move(Change), [Self = shared_from_this(), Customer, Row,
                                   Version, Done = std::move(Done)](
                                      Result<CommitOutcome> Outcome) {
    if (Self->Closed_)
      return;
    Self->Writing_ = false;
    const bool IsUnknown =
        !Outcome && Outcome.error().Code == ErrorCode::WriteOutcomeUnknown;
    const bool IsCommitted = Outcome && Outcome->committed();
    if (IsCommitted)
      Self->CachedRows_[Customer] = CachedRow{Row, Outcome->Revision};
    else
      Self->HeadVersion_ = -1;
    const auto Pending = Self->Transfers_.find(Customer);
    if (Pending != Self->Transfers_.end()) {
      if (IsUnknown)
        Pending->second.UnsettledSince = Version;
      // The part may belong to the other domain already.
      if (Pending->second.UnsettledSince && !IsCommitted)
        return;
    }
    Done();
  });
}

} // namespace cuminroad
