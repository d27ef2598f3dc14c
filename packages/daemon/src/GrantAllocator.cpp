#include "cuminroad/daemon/GrantAllocator.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace cuminroad {

namespace {

/// Holds the caps for requests in flight of daemons that sent no grant request
/// to this owner.
constexpr const char *UntrackedHolderId = "unheard";

std::string holderId(const GrantRequest &Request) {
  return Request.From + "/" + Request.Incarnation;
}

} // namespace

std::vector<int> apportion(int Total, const std::vector<double> &Weights,
                           std::size_t TieOffset) {
  std::vector<int> Parts(Weights.size(), 0);
  const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  if (Sum <= 0.0 || Total <= 0)
    return Parts;
  int Assigned = 0;
  std::vector<std::pair<double, std::size_t>> Remainders;
  for (std::size_t Index = 0; Index < Weights.size(); ++Index) {
    const double Exact = Total * Weights[Index] / Sum;
    Parts[Index] = static_cast<int>(Exact);
    Assigned += Parts[Index];
    Remainders.emplace_back(Exact - Parts[Index], Index);
  }
  const std::size_t Count = Weights.size();
  std::sort(
      Remainders.begin(), Remainders.end(), [&](const auto &A, const auto &B) {
        if (A.first != B.first)
          return A.first > B.first;
        return (A.second + TieOffset) % Count < (B.second + TieOffset) % Count;
      });
  for (std::size_t Index = 0; Assigned < Total; Index = (Index + 1) % Count) {
    if (Weights[Remainders[Index].second] <= 0.0)
      continue;
    ++Parts[Remainders[Index].second];
    ++Assigned;
  }
  return Parts;
}

int GrantAllocator::LimitedResource::capSum() const {
  return std::accumulate(
      CapByHolder.begin(), CapByHolder.end(), 0,
      [](int Sum, const auto &Entry) { return Sum + Entry.second; });
}

int GrantAllocator::LimitedResource::capOf(const std::string &HolderId) const {
  return countOf(CapByHolder, HolderId);
}

GrantAllocator::GrantAllocator(const Clock &MonotonicClock,
                               const GrantTimings &Timings, bool Inherited)
    : MonotonicClock_(MonotonicClock), Timings_(Timings),
      RecoveryEndsAt_(Inherited
                          ? MonotonicClock.now() + Timings.RequestDrainTime
                          : MonotonicClock.now()) {}

void GrantAllocator::setDaemons(std::vector<std::string> Names) {
  DaemonNames_ = std::move(Names);
}

bool GrantAllocator::isSilent(const std::string &DaemonName) const {
  return std::none_of(Holders_.begin(), Holders_.end(), [&](const auto &Entry) {
    return Entry.second.DaemonName == DaemonName &&
           MonotonicClock_.now() - Entry.second.LastRequestAt <= Timings_.Lease;
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

void GrantAllocator::removeExpiredHolders() {
  const TimePoint Now = MonotonicClock_.now();
  std::erase_if(Holders_, [&](const auto &Entry) {
    if (Now - Entry.second.LastRequestAt < Timings_.RequestDrainTime)
      return false;
    for (auto &[Vm, Resource] : Vms_)
      Resource.CapByHolder.erase(Entry.first);
    for (auto &[Customer, Resource] : Customers_)
      Resource.CapByHolder.erase(Entry.first);
    return true;
  });
}

void GrantAllocator::recordReport(
    std::map<std::string, LimitedResource> &Resources,
    const std::string &HolderId, const CountByName &Caps, bool FirstRequest,
    std::set<std::string> &DaemonsToNotify) {
  // The reported caps are all that the frontend may use: it ignores replies to
  // its earlier requests from now on.
  for (auto &[Name, Resource] : Resources) {
    const int Cap = countOf(Caps, Name);
    if (FirstRequest)
      Resource.ReportedCap += Cap;
    if (Cap < Resource.capOf(HolderId))
      for (const std::string &Other : Resource.HoldersBelowTarget)
        if (Holders_.contains(Other))
          DaemonsToNotify.insert(Holders_.at(Other).DaemonName);
    if (Cap > 0)
      Resource.CapByHolder[HolderId] = Cap;
    else
      Resource.CapByHolder.erase(HolderId);
  }
  for (const auto &[Name, Cap] : Caps)
    if (!Resources.contains(Name) && Cap > 0) {
      Resources[Name].CapByHolder[HolderId] = Cap;
      Resources[Name].ReportedCap = Cap;
    }
}

int GrantAllocator::grantableLimit(const LimitedResource &Resource,
                                   bool ByCustomer) const {
  // During the recovery period, capacity that no frontend has reported may be
  // in use on an earlier owner's grants.
  if (!recovered())
    return std::min(Resource.Limit, Resource.ReportedCap);
  if (!ByCustomer || DaemonNames_.empty())
    return Resource.Limit;
  int Limit = Resource.Limit;
  const int Count = static_cast<int>(DaemonNames_.size());
  const int Part = (Resource.Limit + Count - 1) / Count;
  for (const std::string &DaemonName : DaemonNames_)
    if (isSilent(DaemonName))
      Limit -= Part;
  return std::max(Limit, 0);
}

CountByName GrantAllocator::targetCaps(const std::string &Name,
                                       const LimitedResource &Resource,
                                       bool ByCustomer) const {
  // Half is split evenly, so that the first request at a frontend can start
  // without a message to the owner, and each frontend keeps some capacity while
  // the owner changes. The other half follows the demand.
  const TimePoint Now = MonotonicClock_.now();
  std::vector<double> Weights;
  std::vector<std::string> Names;
  for (const auto &[Other, Holder] : Holders_) {
    if (Now - Holder.LastRequestAt > Timings_.Lease)
      continue;
    const int Demand = ByCustomer
                           ? countOf(Holder.CustomerDemand, Name)
                           : countOf(Holder.ServiceDemand, Resource.Service);
    Names.push_back(Other);
    Weights.push_back(Demand + Resource.Limit / 2.0);
  }
  const std::vector<int> Parts =
      apportion(grantableLimit(Resource, ByCustomer), Weights,
                std::hash<std::string>{}(Name));
  CountByName Out;
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Out[Names[Index]] = Parts[Index];
  return Out;
}

void GrantAllocator::decideCaps(
    std::map<std::string, LimitedResource> &Resources,
    const std::string &HolderId, bool ByCustomer, CountByName &Caps,
    std::set<std::string> &DaemonsToNotify) {
  const GrantHolder &Holder = Holders_.at(HolderId);
  for (auto &[Name, Resource] : Resources) {
    const int Demand = ByCustomer
                           ? countOf(Holder.CustomerDemand, Name)
                           : countOf(Holder.ServiceDemand, Resource.Service);
    const CountByName Targets = targetCaps(Name, Resource, ByCustomer);
    const int Target = countOf(Targets, HolderId);
    const int Cap = grantCap(Resource, HolderId, Target, ByCustomer);
    if (Cap > 0)
      Caps[Name] = Cap;
    // A service's slots are spread over many VMs. A cap below its target is
    // worth a message only if requests have to wait for it.
    if (Cap >= Target || Demand <= Cap) {
      Resource.HoldersBelowTarget.erase(HolderId);
      continue;
    }
    Resource.HoldersBelowTarget.insert(HolderId);
    for (const auto &[Other, OtherCap] : Resource.CapByHolder)
      if (Other != HolderId && OtherCap > countOf(Targets, Other) &&
          Holders_.contains(Other))
        DaemonsToNotify.insert(Holders_.at(Other).DaemonName);
  }
}

int GrantAllocator::grantCap(LimitedResource &Resource,
                             const std::string &HolderId, int Target,
                             bool ByCustomer) {
  const int CurrentCap = Resource.capOf(HolderId);
  if (Target <= CurrentCap)
    return Target;
  const int FreeCap =
      std::max(grantableLimit(Resource, ByCustomer) - Resource.capSum(), 0);
  const int Granted = std::min(Target, CurrentCap + FreeCap);
  if (Granted > 0)
    Resource.CapByHolder[HolderId] = Granted;
  return Granted;
}

GrantDecision GrantAllocator::handleRequest(GrantRequest Request) {
  removeExpiredHolders();
  const std::string HolderId = holderId(Request);
  GrantDecision Out;
  Out.Reply.Seq = Request.Seq;
  const bool FirstRequest = !Holders_.contains(HolderId);
  if (Request.BaseSeq != 0 &&
      (FirstRequest || Holders_[HolderId].ReplySeq != Request.BaseSeq)) {
    Out.Reply.SendFullCaps = true;
    return Out;
  }
  GrantHolder &Holder = Holders_[HolderId];
  if (!FirstRequest && Request.Seq <= Holder.Seq) {
    // A delayed or repeated message: its report is out of date.
    Out.Reply.Seq = 0;
    return Out;
  }
  Holder.Seq = Request.Seq;
  Holder.DaemonName = Request.From;
  Holder.LastRequestAt = MonotonicClock_.now();
  Holder.ServiceDemand = Request.ServiceDemand;
  Holder.CustomerDemand = Request.CustomerDemand;
  if (Request.BaseSeq != 0) {
    Request.VmCaps = overlay(Holder.VmCaps, Request.VmCaps);
    Request.CustomerCaps = overlay(Holder.CustomerCaps, Request.CustomerCaps);
  }
  std::set<std::string> DaemonsToNotify;
  recordReport(Vms_, HolderId, Request.VmCaps, FirstRequest, DaemonsToNotify);
  recordReport(Customers_, HolderId, Request.CustomerCaps, FirstRequest,
               DaemonsToNotify);
  decideCaps(Vms_, HolderId, false, Out.Reply.VmCaps, DaemonsToNotify);
  decideCaps(Customers_, HolderId, true, Out.Reply.CustomerCaps,
             DaemonsToNotify);
  Holder.ReplySeq = Request.Seq;
  Holder.VmCaps = Out.Reply.VmCaps;
  Holder.CustomerCaps = Out.Reply.CustomerCaps;
  Out.Reply.VmCaps = difference(Request.VmCaps, Out.Reply.VmCaps);
  Out.Reply.CustomerCaps =
      difference(Request.CustomerCaps, Out.Reply.CustomerCaps);
  DaemonsToNotify.erase(Request.From);
  Out.DaemonsToNotify.assign(DaemonsToNotify.begin(), DaemonsToNotify.end());
  return Out;
}

int GrantAllocator::maxInFlightOnVm(const std::string &Vm) const {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? 0 : Found->second.capSum();
}

int GrantAllocator::maxInFlightOfCustomer(const std::string &Customer) const {
  const auto Found = Customers_.find(Customer);
  return Found == Customers_.end() ? 0 : Found->second.capSum();
}

int GrantAllocator::demandOfCustomer(const std::string &Customer) const {
  int Sum = 0;
  for (const auto &[Name, Holder] : Holders_)
    if (MonotonicClock_.now() - Holder.LastRequestAt <= Timings_.Lease)
      Sum += countOf(Holder.CustomerDemand, Customer);
  return Sum;
}

bool GrantAllocator::usageFullyKnown() const {
  return recovered() && std::none_of(DaemonNames_.begin(), DaemonNames_.end(),
                                     [this](const std::string &Name) {
                                       return isSilent(Name);
                                     });
}

void GrantAllocator::finishRecovery(const CountByName &OnVms,
                                    const CountByName &OfCustomers) {
  RecoveryEndsAt_ = MonotonicClock_.now();
  // As if the holder's lease had lapsed just now: its requests have ended
  // before removeExpiredHolders() removes it.
  Holders_[UntrackedHolderId].LastRequestAt =
      MonotonicClock_.now() - Timings_.Lease;
  for (const auto &[Vm, Count] : OnVms)
    Vms_[Vm].CapByHolder[UntrackedHolderId] = Count;
  for (const auto &[Customer, Count] : OfCustomers)
    Customers_[Customer].CapByHolder[UntrackedHolderId] = Count;
}

std::vector<std::string> GrantAllocator::holderIds() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Holder] : Holders_)
    Out.push_back(Name);
  return Out;
}

} // namespace cuminroad
