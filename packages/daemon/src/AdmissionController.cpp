#include "cuminroad/daemon/AdmissionController.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Weight of the newest request in the smoothed hold time.
constexpr double HoldTimeWeight = 0.1;
/// Requests that may wait in one front door.
constexpr std::size_t MaxWaiting = 20000;

void addCount(Counts &Values, const std::string &Name, int Count) {
  if (Count > 0)
    Values[Name] += Count;
}

} // namespace

AdmissionController::AdmissionController(const Clock &MonotonicClock)
    : MonotonicClock_(MonotonicClock) {}

bool AdmissionController::leaseHolds() const {
  return MonotonicClock_.now() < ValidUntil_;
}

void AdmissionController::apply(const GrantReply &Reply, TimePoint AskedAt,
                                milliseconds Lease, milliseconds Keep) {
  if (Reply.Seq != Seq_)
    return;
  if (Reply.Resend) {
    SendAll_ = true;
    return;
  }
  BasisSeq_ = Reply.Seq;
  BasisVms_ = overlay(ReportedVms_, Reply.VmCaps);
  BasisCustomers_ = overlay(ReportedCustomers_, Reply.CustomerCaps);
  ValidUntil_ = AskedAt + Lease;
  KeptUntil_ = ValidUntil_ + Keep;
  if (Reply.Vms) {
    VmTable_ = Reply.VmTable;
    std::set<std::string> Listed;
    for (const GrantVm &Vm : *Reply.Vms) {
      Listed.insert(Vm.Id);
      Vms_[Vm.Id].Service = Vm.Service;
      Vms_[Vm.Id].Url = Vm.Url;
    }
    std::erase_if(Vms_, [&](const auto &Entry) {
      return !Listed.contains(Entry.first) && Entry.second.Busy == 0;
    });
  }
  for (auto &[Id, Vm] : Vms_) {
    const int Cap = countOf(BasisVms_, Id);
    GaveBack_ = GaveBack_ || Cap < Vm.Cap;
    Vm.Cap = Cap;
  }
  for (const auto &[Name, Cap] : BasisCustomers_)
    Customers_.try_emplace(Name);
  for (auto &[Name, Customer] : Customers_) {
    const int Cap = countOf(BasisCustomers_, Name);
    GaveBack_ = GaveBack_ || Cap < Customer.Cap;
    Customer.Cap = Cap;
  }
  std::erase_if(Customers_, [](const auto &Entry) {
    return Entry.second.Cap == 0 && Entry.second.Busy == 0;
  });
}

void AdmissionController::report(GrantRequest &Request) {
  Request.Seq = ++Seq_;
  GaveBack_ = false;
  Request.VmTable = VmTable_;
  const bool Kept = MonotonicClock_.now() < KeptUntil_;
  for (auto &[Id, Vm] : Vms_) {
    if (!Kept)
      Vm.Cap = 0;
    addCount(Request.VmCaps, Id, std::max(Vm.Cap, Vm.Busy));
    addCount(Request.ServiceDemand, Vm.Service, Vm.Busy);
    if (Vm.Leaving)
      Request.Leaving.push_back(Id);
  }
  for (auto &[Name, Customer] : Customers_) {
    if (!Kept)
      Customer.Cap = 0;
    addCount(Request.CustomerCaps, Name, std::max(Customer.Cap, Customer.Busy));
    addCount(Request.CustomerDemand, Name, Customer.Busy);
  }
  for (const auto &[Key, Demand] : Waiting_) {
    addCount(Request.ServiceDemand, Demand.Service, 1);
    addCount(Request.CustomerDemand, Demand.Customer, 1);
  }
  ReportedVms_ = Request.VmCaps;
  ReportedCustomers_ = Request.CustomerCaps;
  if (std::exchange(SendAll_, false) || BasisSeq_ == 0)
    return;
  Request.Basis = BasisSeq_;
  Request.VmCaps = difference(BasisVms_, ReportedVms_);
  Request.CustomerCaps = difference(BasisCustomers_, ReportedCustomers_);
}

void AdmissionController::markLeaving(const std::string &Vm) {
  const auto Found = Vms_.find(Vm);
  if (Found != Vms_.end())
    Found->second.Leaving = true;
}

int AdmissionController::capOf(const std::string &Service) const {
  int Sum = 0;
  for (const auto &[Id, Vm] : Vms_)
    if (Vm.Service == Service && !Vm.Leaving)
      Sum += Vm.Cap;
  return Sum;
}

bool AdmissionController::knowsService(const std::string &Service) const {
  return std::any_of(Vms_.begin(), Vms_.end(), [&](const auto &Entry) {
    return Entry.second.Service == Service;
  });
}

Result<void> AdmissionController::enqueue(SlotDemand Demand) {
  if (Waiting_.size() >= MaxWaiting)
    return failure(ErrorCode::NoCapacity, "queue");
  int &Ahead = WaitingByService_[Demand.Service];
  if (Ahead > 0) {
    // Refusing now is worth more to the caller than a late "not run".
    const int Cap = std::max(capOf(Demand.Service), 1);
    const double Wait = HoldTime_[Demand.Service] * Ahead / Cap;
    const auto Left = Demand.StartBy - MonotonicClock_.now();
    if (Wait > std::chrono::duration<double, std::milli>(Left).count())
      return failure(ErrorCode::DeadlineTooClose, Demand.Service);
  }
  ++Ahead;
  const QueueKey Key{!Demand.Urgent, Demand.StartBy, Demand.Id};
  Keys_[Demand.Id] = Key;
  Waiting_.emplace(Key, std::move(Demand));
  return {};
}

void AdmissionController::withdraw(std::uint64_t Id) {
  const auto Found = Keys_.find(Id);
  if (Found == Keys_.end())
    return;
  const auto Entry = Waiting_.find(Found->second);
  --WaitingByService_[Entry->second.Service];
  Waiting_.erase(Entry);
  Keys_.erase(Found);
}

std::optional<std::string>
AdmissionController::pickVm(const SlotDemand &Demand) const {
  std::optional<std::string> Best;
  int BestFree = 0;
  for (const bool Avoiding : {true, false}) {
    for (const auto &[Id, Vm] : Vms_) {
      if (Vm.Service != Demand.Service || Vm.Leaving ||
          (Avoiding && Demand.Avoid.contains(Id)))
        continue;
      const int Free = Vm.Cap - Vm.Busy;
      if (Free > BestFree) {
        BestFree = Free;
        Best = Id;
      }
    }
    if (Best || Demand.Avoid.empty())
      return Best;
  }
  return Best;
}

std::vector<Slot> AdmissionController::takeReady() {
  std::vector<Slot> Out;
  if (!leaseHolds())
    return Out;
  std::set<std::string> Full;
  for (auto Entry = Waiting_.begin(); Entry != Waiting_.end();) {
    const SlotDemand &Demand = Entry->second;
    const auto Customer = Customers_.find(Demand.Customer);
    const bool Allowed = Customer != Customers_.end() &&
                         Customer->second.Busy < Customer->second.Cap;
    if (!Allowed || Full.contains(Demand.Service)) {
      ++Entry;
      continue;
    }
    const auto Vm = pickVm(Demand);
    if (!Vm) {
      Full.insert(Demand.Service);
      ++Entry;
      continue;
    }
    ++Vms_[*Vm].Busy;
    ++Customer->second.Busy;
    Out.push_back(Slot{Demand.Id, Demand.Customer, *Vm, Vms_[*Vm].Url});
    --WaitingByService_[Demand.Service];
    Keys_.erase(Demand.Id);
    Entry = Waiting_.erase(Entry);
  }
  return Out;
}

std::vector<std::pair<std::uint64_t, ErrorCode>>
AdmissionController::takeLate() {
  std::vector<std::pair<std::uint64_t, ErrorCode>> Out;
  const TimePoint Now = MonotonicClock_.now();
  for (const auto &[Key, Demand] : Waiting_) {
    if (std::get<TimePoint>(Key) > Now)
      continue;
    ErrorCode Why = ErrorCode::NoCapacity;
    const auto Customer = Customers_.find(Demand.Customer);
    if (!leaseHolds())
      Why = ErrorCode::NoOwner;
    else if (Customer == Customers_.end() ||
             Customer->second.Busy >= Customer->second.Cap)
      Why = ErrorCode::CustomerLimitReached;
    Out.emplace_back(Demand.Id, Why);
  }
  for (const auto &[Id, Why] : Out)
    withdraw(Id);
  return Out;
}

void AdmissionController::giveBack(const Slot &Held, milliseconds Time) {
  if (const auto Vm = Vms_.find(Held.Vm); Vm != Vms_.end()) {
    // In use beyond a lowered cap: only now does the slot go back.
    GaveBack_ = GaveBack_ || Vm->second.Busy > Vm->second.Cap;
    --Vm->second.Busy;
    double &Smoothed = HoldTime_[Vm->second.Service];
    Smoothed += HoldTimeWeight * (static_cast<double>(Time.count()) - Smoothed);
  }
  if (const auto Customer = Customers_.find(Held.Customer);
      Customer != Customers_.end()) {
    GaveBack_ = GaveBack_ || Customer->second.Busy > Customer->second.Cap;
    --Customer->second.Busy;
  }
}

int AdmissionController::busyOn(const std::string &Vm) const {
  const auto Found = Vms_.find(Vm);
  return Found == Vms_.end() ? 0 : Found->second.Busy;
}

} // namespace cuminroad
