#include "cuminroad/daemon/ShareManager.h"

#include <algorithm>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

constexpr const char *HeadKey = "share-head";
constexpr const char *RowPrefix = "share/";
constexpr milliseconds PollInterval{1000};
/// One row is written at a time, and at most one each interval, which bounds
/// the writes of all domains.
constexpr milliseconds ReviewInterval{500};

} // namespace

ShareManager::ShareManager(Table &Rows, Loop &ControlLoop, ShareScope Scope,
                           const ShareUse &Use)
    : Rows_(Rows), ControlLoop_(ControlLoop), Scope_(std::move(Scope)),
      Use_(Use) {}

std::string ShareManager::rowKey(const std::string &Customer) const {
  return RowPrefix + Customer;
}

void ShareManager::start() {
  // An owner that was chosen without the table has what no domain gives away.
  if (!Scope_.ByTable)
    return;
  poll();
  review();
}

void ShareManager::setContracts(
    std::map<std::string, ContractTerms> Contracts) {
  Contracts_ = std::move(Contracts);
}

ContractTerms ShareManager::share(const std::string &Customer,
                                  const ContractTerms &Terms) const {
  const auto Found = Kept_.find(Customer);
  const ShareRow Row = Found == Kept_.end()
                           ? evenShares(Terms, Customer, Scope_.Domains)
                           : Found->second.Row;
  // Until the rows are read, parts may have moved: only what no domain gives
  // away is certain.
  if (!Loaded_) {
    const ShareAmount Least =
        smaller(keptPart(Terms, Customer, Scope_.Domain, Scope_.Domains),
                limitOf(shareUnder(Row, Terms, Customer, Scope_.Domain,
                                   Scope_.Domains)));
    ContractTerms Out = Terms;
    Out.MaxHeld = Least.Held;
    Out.MaxRequests = Least.Requests;
    return Out;
  }
  ContractTerms Out =
      shareUnder(Row, Terms, Customer, Scope_.Domain, Scope_.Domains);
  const auto Given = Gifts_.find(Customer);
  if (Given == Gifts_.end())
    return Out;
  ShareAmount Left = limitOf(Out);
  Left -= Given->second.Amount;
  Left = clampToZero(Left);
  Out.MaxHeld = Left.Held;
  Out.MaxRequests = Left.Requests;
  return Out;
}

ContractTerms ShareManager::largestShare(const std::string &Customer,
                                         const ContractTerms &Terms) const {
  ContractTerms Out = Terms;
  for (const std::string &Domain : Scope_.Domains) {
    if (Domain == Scope_.Domain)
      continue;
    const ShareAmount Kept = keptPart(Terms, Customer, Domain, Scope_.Domains);
    Out.MaxHeld -= Kept.Held;
    Out.MaxRequests -= Kept.Requests;
  }
  return Out;
}

void ShareManager::poll() {
  if (Closed_)
    return;
  Rows_.read(HeadKey, [Self = shared_from_this()](Result<TableRow> Head) {
    if (Self->Closed_)
      return;
    if (Head && Head->Version != Self->Head_)
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
      // A scan that began before one of our own writes is older than it.
      Kept &Known = Self->Kept_[Customer];
      if (Parsed && Row.Version > Known.Version)
        Known = Kept{*Parsed, Row.Version};
    }
    Self->Head_ = Head;
    Self->Loaded_ = true;
    if (Self->OnChanged)
      Self->OnChanged();
  });
}

void ShareManager::review() {
  if (Closed_)
    return;
  if (Loaded_)
    reviewAll();
  ControlLoop_.after(ReviewInterval,
                     [Self = shared_from_this()] { Self->review(); });
}

void ShareManager::reviewAll() {
  // Begins behind the customer that was written last, so that each has a turn.
  auto Next = Contracts_.upper_bound(Cursor_);
  for (std::size_t Left = Contracts_.size(); Left > 0 && !Writing_; --Left) {
    if (Next == Contracts_.end())
      Next = Contracts_.begin();
    reviewOne(Next->first, Next->second);
    ++Next;
  }
}

void ShareManager::reviewOne(const std::string &Customer,
                             const ContractTerms &Terms) {
  if (Gifts_.contains(Customer))
    return deliver(Customer, Terms);
  const ShareAmount Demand = Use_.demand(Customer);
  ShareAmount Lack = Demand;
  Lack -= limitOf(share(Customer, Terms));
  Lack = clampToZero(Lack);
  if (!Lack.any())
    return offer(Customer, Terms, Demand);
  if (wantMore(Customer, Terms, Lack))
    return;
  // Another one wanted first: what is not in use goes to it, though this domain
  // waits for more as well.
  if (Kept_.at(Customer).Row.firstInLine() != Scope_.Domain)
    offer(Customer, Terms, Use_.bound(Customer));
}

bool ShareManager::wantMore(const std::string &Customer,
                            const ContractTerms &Terms,
                            const ShareAmount &Lack) {
  Kept Known;
  if (const auto Found = Kept_.find(Customer); Found != Kept_.end())
    Known = Kept{scaledTo(Found->second.Row, Terms, Customer, Scope_.Domains),
                 Found->second.Version};
  else
    Known.Row = evenShares(Terms, Customer, Scope_.Domains);
  // What was asked for and has not come yet is asked for once.
  const auto Asked = Known.Row.Wants.find(Scope_.Domain);
  if (Asked != Known.Row.Wants.end() &&
      smaller(Asked->second.Amount, Lack) == Lack)
    return false;
  Known.Row.want(Scope_.Domain, Lack);
  write(Customer, Known.Row, Known.Version, [] {});
  return true;
}

void ShareManager::offer(const std::string &Customer,
                         const ContractTerms &Terms,
                         const ShareAmount &Demand) {
  const auto Found = Kept_.find(Customer);
  if (Found == Kept_.end() || !Use_.certain())
    return;
  ShareRow Row = scaledTo(Found->second.Row, Terms, Customer, Scope_.Domains);
  if (Row.firstInLine() == Scope_.Domain) {
    // It has what it needs by now.
    Row.Wants.erase(Scope_.Domain);
    return write(Customer, Row, Found->second.Version, [] {});
  }
  if (Row.Wants.empty())
    return;
  const ShareAmount Share = limitOf(share(Customer, Terms));
  ShareAmount Spare = Share;
  Spare -= Demand;
  const ShareAmount Kept =
      keptPart(Terms, Customer, Scope_.Domain, Scope_.Domains);
  ShareAmount AboveKept = Share;
  AboveKept -= Kept;
  const std::string To = Row.firstInLine();
  const ShareAmount Amount =
      clampToZero(smaller(smaller(Spare, AboveKept), Row.Wants[To].Amount));
  if (!Amount.any())
    return;
  Gifts_[Customer] = Gift{To, Amount};
  // From here on the domain's own limit is lower.
  if (OnChanged)
    OnChanged();
}

void ShareManager::deliver(const std::string &Customer,
                           const ContractTerms &Terms) {
  const Gift Given = Gifts_.at(Customer);
  const ShareAmount Left = limitOf(share(Customer, Terms));
  const ShareAmount Bound = Use_.bound(Customer);
  const bool Unused =
      Bound.Held.fitsIn(Left.Held) && Bound.Requests <= Left.Requests;
  Kept &Known = Kept_[Customer];
  if (!Known.Row.Wants.contains(Given.To)) {
    Gifts_.erase(Customer);
    if (OnChanged)
      OnChanged();
    return;
  }
  if (!Unused || !Use_.certain())
    return;
  ShareRow Row = scaledTo(Known.Row, Terms, Customer, Scope_.Domains);
  // A contract that became smaller may have left less than was promised.
  const ShareAmount Mine = Row.Parts[Scope_.Domain];
  if (smaller(Mine, Given.Amount) != Given.Amount) {
    Gifts_.erase(Customer);
    return;
  }
  Row.move(Scope_.Domain, Given.To, Given.Amount);
  write(Customer, Row, Known.Version, [this, Customer] {
    Gifts_.erase(Customer);
    if (OnChanged)
      OnChanged();
  });
}

void ShareManager::write(const std::string &Customer, ShareRow Row,
                         std::int64_t Version, std::function<void()> Done) {
  Writing_ = true;
  Cursor_ = Customer;
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{rowKey(Customer), Version},
                   {Scope_.EpochKey, Scope_.EpochVersion}};
  Change.Writes = {{rowKey(Customer), toJson(Row)},
                   {HeadKey, {{"by", Scope_.Domain}}}};
  Rows_.commit(std::move(Change),
               [Self = shared_from_this(), Customer, Row,
                Done = std::move(Done)](Result<CommitOutcome> Outcome) {
                 if (Self->Closed_)
                   return;
                 Self->Writing_ = false;
                 if (Outcome && Outcome->committed())
                   Self->Kept_[Customer] = Kept{Row, Outcome->Revision};
                 else
                   Self->Head_ = -1;
                 Done();
               });
}

} // namespace cuminroad
