#include "cuminroad/daemon/GrantBook.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace cuminroad {

namespace {

int countOf(const Counts &Values, const std::string &Name) {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? 0 : Found->second;
}

std::string holderName(const GrantRequest &Request) {
  return Request.From + "/" + Request.Incarnation;
}

} // namespace

std::vector<int> apportion(int Total, const std::vector<double> &Weights,
                           std::size_t Turn) {
  std::vector<int> Parts(Weights.size(), 0);
  const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  if (Sum <= 0.0 || Total <= 0)
    return Parts;
  int Given = 0;
  std::vector<std::pair<double, std::size_t>> Rests;
  for (std::size_t Index = 0; Index < Weights.size(); ++Index) {
    const double Exact = Total * Weights[Index] / Sum;
    Parts[Index] = static_cast<int>(Exact);
    Given += Parts[Index];
    Rests.emplace_back(Exact - Parts[Index], Index);
  }
  const std::size_t Count = Weights.size();
  std::sort(Rests.begin(), Rests.end(), [&](const auto &A, const auto &B) {
    if (A.first != B.first)
      return A.first > B.first;
    return (A.second + Turn) % Count < (B.second + Turn) % Count;
  });
  for (std::size_t Index = 0; Given < Total; Index = (Index + 1) % Count) {
    if (Weights[Rests[Index].second] <= 0.0)
      continue;
    ++Parts[Rests[Index].second];
    ++Given;
  }
  return Parts;
}

int GrantBook::Pool::bound() const {
  return std::accumulate(
      Bounds.begin(), Bounds.end(), 0,
      [](int Sum, const auto &Entry) { return Sum + Entry.second; });
}

int GrantBook::Pool::boundOf(const std::string &Who) const {
  return countOf(Bounds, Who);
}

GrantBook::GrantBook(const Clock &Clock, const GrantTimes &Times,
                     bool Inherited)
    : Clock_(Clock), Times_(Times),
      SettledAt_(Inherited ? Clock.now() + Times.Settle : Clock.now()) {}

void GrantBook::setMembers(std::vector<std::string> Names) {
  Members_ = std::move(Names);
}

bool GrantBook::silent(const std::string &Member) const {
  return std::none_of(Holders_.begin(), Holders_.end(), [&](const auto &Entry) {
    return Entry.second.Member == Member &&
           Clock_.now() - Entry.second.HeardAt <= Times_.Lease;
  });
}

void GrantBook::setVm(const std::string &Vm, const std::string &Service,
                      int Slots) {
  Vms_[Vm].Service = Service;
  Vms_[Vm].Limit = Slots;
}

void GrantBook::setCustomer(const std::string &Customer, int Share) {
  Customers_[Customer].Limit = Share;
}

void GrantBook::forgetSilent() {
  const TimePoint Now = Clock_.now();
  std::erase_if(Holders_, [&](const auto &Entry) {
    if (Now - Entry.second.HeardAt < Times_.Settle)
      return false;
    for (auto &[Vm, Pool] : Vms_)
      Pool.Bounds.erase(Entry.first);
    for (auto &[Customer, Pool] : Customers_)
      Pool.Bounds.erase(Entry.first);
    return true;
  });
}

void GrantBook::report(std::map<std::string, Pool> &Pools,
                       const std::string &Who, const Counts &Caps, bool First) {
  // The report is what the front door may use: it ignores the answers to all
  // its earlier requests from now on.
  for (auto &[Name, Pool] : Pools) {
    const int Cap = countOf(Caps, Name);
    if (First)
      Pool.Reported += Cap;
    if (Cap > 0)
      Pool.Bounds[Who] = Cap;
    else
      Pool.Bounds.erase(Who);
  }
  for (const auto &[Name, Cap] : Caps)
    if (!Pools.contains(Name) && Cap > 0) {
      Pools[Name].Bounds[Who] = Cap;
      Pools[Name].Reported = Cap;
    }
}

int GrantBook::available(const Pool &Pool, bool ByCustomer) const {
  const bool Settled = Clock_.now() >= SettledAt_;
  int Limit = Settled ? Pool.Limit : std::min(Pool.Limit, Pool.Reported);
  if (!ByCustomer || Members_.empty())
    return Limit;
  const int Count = static_cast<int>(Members_.size());
  const int Part = (Pool.Limit + Count - 1) / Count;
  for (const std::string &Member : Members_)
    if (silent(Member))
      Limit -= Part;
  return std::max(Limit, 0);
}

int GrantBook::target(const std::string &Name, const Pool &Pool,
                      const std::string &Who, bool ByCustomer) const {
  std::vector<double> Weights;
  std::size_t Position = 0;
  // A VM's slots are split evenly but for the demand; a customer's share goes
  // where the demand is.
  const double Even = ByCustomer ? 0.0 : static_cast<double>(Pool.Limit) / 2.0;
  for (const auto &[Other, State] : Holders_) {
    if (Clock_.now() - State.HeardAt > Times_.Lease)
      continue;
    if (Other == Who)
      Position = Weights.size();
    Weights.push_back(
        Even + (ByCustomer ? countOf(State.CustomerDemand, Name)
                           : countOf(State.ServiceDemand, Pool.Service)));
  }
  const std::size_t Turn = std::hash<std::string>{}(Name);
  return apportion(available(Pool, ByCustomer), Weights, Turn)[Position];
}

int GrantBook::grant(Pool &Pool, const std::string &Who, int Target,
                     bool ByCustomer) {
  const int Now = Pool.boundOf(Who);
  if (Target <= Now)
    return Target;
  const int Room = std::max(available(Pool, ByCustomer) - Pool.bound(), 0);
  const int Granted = std::min(Target, Now + Room);
  if (Granted > 0)
    Pool.Bounds[Who] = Granted;
  return Granted;
}

GrantReply GrantBook::answer(const GrantRequest &Request) {
  forgetSilent();
  const std::string Who = holderName(Request);
  GrantReply Reply;
  Reply.Seq = Request.Seq;
  const bool First = !Holders_.contains(Who);
  Holder &State = Holders_[Who];
  if (!First && Request.Seq <= State.Seq) {
    // A delayed copy: what it reports is out of date.
    Reply.Seq = 0;
    return Reply;
  }
  State.Seq = Request.Seq;
  State.Member = Request.From;
  State.HeardAt = Clock_.now();
  State.ServiceDemand = Request.ServiceDemand;
  State.CustomerDemand = Request.CustomerDemand;
  report(Vms_, Who, Request.VmCaps, First);
  report(Customers_, Who, Request.CustomerCaps, First);
  for (auto &[Name, Pool] : Vms_)
    if (const int Cap = grant(Pool, Who, target(Name, Pool, Who, false), false))
      Reply.VmCaps[Name] = Cap;
  for (auto &[Name, Pool] : Customers_)
    if (const int Cap = grant(Pool, Who, target(Name, Pool, Who, true), true))
      Reply.CustomerCaps[Name] = Cap;
  return Reply;
}

int GrantBook::boundOfVm(const std::string &Vm) const {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? 0 : Found->second.bound();
}

int GrantBook::boundOfCustomer(const std::string &Customer) const {
  const auto Found = Customers_.find(Customer);
  return Found == Customers_.end() ? 0 : Found->second.bound();
}

std::vector<std::string> GrantBook::holders() const {
  std::vector<std::string> Out;
  for (const auto &[Name, State] : Holders_)
    Out.push_back(Name);
  return Out;
}

} // namespace cuminroad
