#include "cuminroad/daemon/GrantAllocator.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace cuminroad {

namespace {

/// Stands for the requests of daemons that are not heard of.
constexpr const char *UnheardName = "unheard";

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

int GrantAllocator::Pool::bound() const {
  return std::accumulate(
      Bounds.begin(), Bounds.end(), 0,
      [](int Sum, const auto &Entry) { return Sum + Entry.second; });
}

int GrantAllocator::Pool::boundOf(const std::string &Who) const {
  return countOf(Bounds, Who);
}

GrantAllocator::GrantAllocator(const Clock &MonotonicClock,
                               const GrantTimes &Times, bool Inherited)
    : MonotonicClock_(MonotonicClock), Times_(Times),
      SettledAt_(Inherited ? MonotonicClock.now() + Times.Settle
                           : MonotonicClock.now()) {}

void GrantAllocator::setMembers(std::vector<std::string> Names) {
  Members_ = std::move(Names);
}

bool GrantAllocator::silent(const std::string &Member) const {
  return std::none_of(Holders_.begin(), Holders_.end(), [&](const auto &Entry) {
    return Entry.second.Member == Member &&
           MonotonicClock_.now() - Entry.second.HeardAt <= Times_.Lease;
  });
}

void GrantAllocator::setVm(const std::string &Vm, const std::string &Service,
                           int Slots) {
  Vms_[Vm].Service = Service;
  Vms_[Vm].Limit = Slots;
}

void GrantAllocator::setCustomer(const std::string &Customer, int Share) {
  Customers_[Customer].Limit = Share;
}

void GrantAllocator::forgetSilent() {
  const TimePoint Now = MonotonicClock_.now();
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

void GrantAllocator::report(std::map<std::string, Pool> &Pools,
                            const std::string &Who, const Counts &Caps,
                            bool First, std::set<std::string> &Nudge) {
  // The report is what the front door may use: it ignores the answers to all
  // its earlier requests from now on.
  for (auto &[Name, Pool] : Pools) {
    const int Cap = countOf(Caps, Name);
    if (First)
      Pool.Reported += Cap;
    if (Cap < Pool.boundOf(Who))
      for (const std::string &Other : Pool.Lacking)
        if (Holders_.contains(Other))
          Nudge.insert(Holders_.at(Other).Member);
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

int GrantAllocator::available(const Pool &Pool, bool ByCustomer) const {
  // Until all is settled, what the reports don't account for may be in use.
  if (!settled())
    return std::min(Pool.Limit, Pool.Reported);
  if (!ByCustomer || Members_.empty())
    return Pool.Limit;
  int Limit = Pool.Limit;
  const int Count = static_cast<int>(Members_.size());
  const int Part = (Pool.Limit + Count - 1) / Count;
  for (const std::string &Member : Members_)
    if (silent(Member))
      Limit -= Part;
  return std::max(Limit, 0);
}

Counts GrantAllocator::targets(const std::string &Name, const Pool &Pool,
                               bool ByCustomer) const {
  // Half is split evenly, so that a first request needs no message and each
  // front door has something to go on with under a new owner; half goes where
  // the demand is.
  const TimePoint Now = MonotonicClock_.now();
  std::vector<double> Weights;
  std::vector<std::string> Names;
  for (const auto &[Other, State] : Holders_) {
    if (Now - State.HeardAt > Times_.Lease)
      continue;
    const int Demand = ByCustomer ? countOf(State.CustomerDemand, Name)
                                  : countOf(State.ServiceDemand, Pool.Service);
    Names.push_back(Other);
    Weights.push_back(Demand + Pool.Limit / 2.0);
  }
  const std::vector<int> Parts = apportion(available(Pool, ByCustomer), Weights,
                                           std::hash<std::string>{}(Name));
  Counts Out;
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Out[Names[Index]] = Parts[Index];
  return Out;
}

void GrantAllocator::decide(std::map<std::string, Pool> &Pools,
                            const std::string &Who, bool ByCustomer,
                            Counts &Caps, std::set<std::string> &Nudge) {
  const Holder &State = Holders_.at(Who);
  for (auto &[Name, Pool] : Pools) {
    const int Demand = ByCustomer ? countOf(State.CustomerDemand, Name)
                                  : countOf(State.ServiceDemand, Pool.Service);
    const Counts Targets = targets(Name, Pool, ByCustomer);
    const int Target = countOf(Targets, Who);
    const int Cap = grant(Pool, Who, Target, ByCustomer);
    if (Cap > 0)
      Caps[Name] = Cap;
    // A VM's slots are spread over many VMs; only a lack that makes a request
    // wait is worth a message.
    if (Cap >= Target || Demand <= Cap) {
      Pool.Lacking.erase(Who);
      continue;
    }
    Pool.Lacking.insert(Who);
    for (const auto &[Other, Bound] : Pool.Bounds)
      if (Other != Who && Bound > countOf(Targets, Other) &&
          Holders_.contains(Other))
        Nudge.insert(Holders_.at(Other).Member);
  }
}

int GrantAllocator::grant(Pool &Pool, const std::string &Who, int Target,
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

GrantDecision GrantAllocator::answer(GrantRequest Request) {
  forgetSilent();
  const std::string Who = holderName(Request);
  GrantDecision Out;
  Out.Reply.Seq = Request.Seq;
  const bool First = !Holders_.contains(Who);
  if (Request.Basis != 0 &&
      (First || Holders_[Who].AnswerSeq != Request.Basis)) {
    Out.Reply.Resend = true;
    return Out;
  }
  Holder &State = Holders_[Who];
  if (!First && Request.Seq <= State.Seq) {
    // A delayed copy: what it reports is out of date.
    Out.Reply.Seq = 0;
    return Out;
  }
  State.Seq = Request.Seq;
  State.Member = Request.From;
  State.HeardAt = MonotonicClock_.now();
  State.ServiceDemand = Request.ServiceDemand;
  State.CustomerDemand = Request.CustomerDemand;
  if (Request.Basis != 0) {
    Request.VmCaps = overlay(State.VmCaps, Request.VmCaps);
    Request.CustomerCaps = overlay(State.CustomerCaps, Request.CustomerCaps);
  }
  std::set<std::string> Nudge;
  report(Vms_, Who, Request.VmCaps, First, Nudge);
  report(Customers_, Who, Request.CustomerCaps, First, Nudge);
  decide(Vms_, Who, false, Out.Reply.VmCaps, Nudge);
  decide(Customers_, Who, true, Out.Reply.CustomerCaps, Nudge);
  State.AnswerSeq = Request.Seq;
  State.VmCaps = Out.Reply.VmCaps;
  State.CustomerCaps = Out.Reply.CustomerCaps;
  Out.Reply.VmCaps = difference(Request.VmCaps, Out.Reply.VmCaps);
  Out.Reply.CustomerCaps =
      difference(Request.CustomerCaps, Out.Reply.CustomerCaps);
  Nudge.erase(Request.From);
  Out.Nudge.assign(Nudge.begin(), Nudge.end());
  return Out;
}

int GrantAllocator::boundOfVm(const std::string &Vm) const {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? 0 : Found->second.bound();
}

int GrantAllocator::boundOfCustomer(const std::string &Customer) const {
  const auto Found = Customers_.find(Customer);
  return Found == Customers_.end() ? 0 : Found->second.bound();
}

int GrantAllocator::demandOfCustomer(const std::string &Customer) const {
  int Sum = 0;
  for (const auto &[Name, State] : Holders_)
    if (MonotonicClock_.now() - State.HeardAt <= Times_.Lease)
      Sum += countOf(State.CustomerDemand, Customer);
  return Sum;
}

bool GrantAllocator::certain() const {
  return settled() &&
         std::none_of(Members_.begin(), Members_.end(),
                      [this](const std::string &Name) { return silent(Name); });
}

void GrantAllocator::settle(const Counts &OnVms, const Counts &OfCustomers) {
  SettledAt_ = MonotonicClock_.now();
  // They end within the settling time, when a silent holder is forgotten.
  Holders_[UnheardName].HeardAt = MonotonicClock_.now() - Times_.Lease;
  for (const auto &[Vm, Count] : OnVms)
    Vms_[Vm].Bounds[UnheardName] = Count;
  for (const auto &[Customer, Count] : OfCustomers)
    Customers_[Customer].Bounds[UnheardName] = Count;
}

std::vector<std::string> GrantAllocator::holders() const {
  std::vector<std::string> Out;
  for (const auto &[Name, State] : Holders_)
    Out.push_back(Name);
  return Out;
}

} // namespace cuminroad
