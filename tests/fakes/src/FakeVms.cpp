#include "cuminroad/fakes/FakeVms.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminroad {

namespace {

constexpr milliseconds DefaultRunTime{300};
constexpr milliseconds MaxLease{6000};
/// Upper bound of the long poll of a hold. It is short, so that the answer is
/// computed from a state close to that at the time of the call.
constexpr milliseconds MaxHoldWait{50};

} // namespace

milliseconds FakeVms::vmTime(const std::string &Id) const {
  const TimePoint Now = ControlLoop_.MonotonicClock.now();
  const auto Rate = ClockRates_.find(Id);
  if (Rate == ClockRates_.end())
    return std::chrono::duration_cast<milliseconds>(Now.time_since_epoch());
  return std::chrono::duration_cast<milliseconds>((Now - Vms_.at(Id).BootedAt) *
                                                  Rate->second);
}

void FakeVms::add(const std::string &Id, std::int64_t Incarnation) {
  VmState &Vm = Vms_[Id];
  Vm.Incarnation = Incarnation;
  Vm.Life = ++Lives_;
  Vm.BootedAt = ControlLoop_.MonotonicClock.now();
}

void FakeVms::crash(const std::string &Id) {
  VmState &Vm = Vms_[Id];
  const auto Running = std::exchange(Vm.Running, {});
  for (const TaskRun &Run : Running)
    recordEvent(Id, Run, false, RunOutcome::LeaseExpired);
  Vm = VmState{};
  Vm.Up = false;
}

void FakeVms::restart(const std::string &Id, std::int64_t Incarnation) {
  crash(Id);
  Vms_[Id] = VmState{};
  add(Id, Incarnation);
}

void FakeVms::setAddress(const std::string &Id, const std::string &Address) {
  std::erase_if(Addresses_,
                [&Id](const auto &Entry) { return Entry.second == Id; });
  Addresses_[Address] = Id;
}

void FakeVms::setClockRate(const std::string &Id, double Rate) {
  ClockRates_[Id] = Rate;
}

bool FakeVms::acceptsConnections(const VmTarget &Vm) const {
  const auto Placed = Addresses_.find(Vm.Address);
  if (Placed != Addresses_.end())
    return Vms_.at(Placed->second).Up;
  if (!Addresses_.empty())
    return false;
  const auto Found = Vms_.find(Vm.Id);
  return Found == Vms_.end() || Found->second.Up;
}

int FakeVms::lifeNumber(const std::string &Id) const {
  const auto Found = Vms_.find(Id);
  return Found == Vms_.end() ? 0 : Found->second.Life;
}

void FakeVms::recordEvent(const std::string &Id, const TaskRun &Run,
                          bool IsStart, RunOutcome Outcome) {
  RunHistory.push_back(RunEvent{ControlLoop_.MonotonicClock.now(), Id, Run,
                                IsStart, Outcome,
                                static_cast<int>(Vms_[Id].Running.size())});
}

int FakeVms::progressPercent() const {
  // Any value that changes over time will do: no test checks the progress.
  const auto Now = ControlLoop_.MonotonicClock.now().time_since_epoch();
  return static_cast<int>(Now / milliseconds(100) % 100);
}

FakeVms::VmState *FakeVms::admitCall(const VmTarget &Vm, OrderAnswer &Answer) {
  const auto Placed = Addresses_.find(Vm.Address);
  const auto Found = Vms_.find(Vm.Id);
  if (Found == Vms_.end() || !Found->second.Up ||
      (!Addresses_.empty() &&
       (Placed == Addresses_.end() || Placed->second != Vm.Id))) {
    Answer.Outcome = OrderOutcome::OtherInstance;
    return nullptr;
  }
  Answer.VmClock = vmTime(Vm.Id);
  VmState &State = Found->second;
  if (Vm.FencingToken < State.HighestToken) {
    ++FencedCalls;
    Answer.Outcome = OrderOutcome::Fenced;
    return nullptr;
  }
  State.HighestToken = Vm.FencingToken;
  return &State;
}

void FakeVms::endRun(const std::string &Id, const TaskRun &Run,
                     RunOutcome Outcome) {
  VmState &Vm = Vms_[Id];
  if (Vm.Running.erase(Run) == 0)
    return;
  std::int64_t &HighestEndedRun = Vm.HighestEndedRun[Run.Task];
  HighestEndedRun = std::max(HighestEndedRun, Run.Number);
  Vm.EndTimes[Vm.NextEndNumber] = ControlLoop_.MonotonicClock.now();
  Vm.Ends.push_back(TaskEnd{Vm.NextEndNumber++, Run, Outcome, ""});
  recordEvent(Id, Run, false, Outcome);
}

void FakeVms::scheduleEnd(const std::string &Id, const TaskRun &Run,
                          milliseconds Delay, RunOutcome Outcome) {
  ControlLoop_.after(Delay, [this, Id, Run, Outcome, Life = Vms_[Id].Life] {
    if (Vms_[Id].Life == Life)
      endRun(Id, Run, Outcome);
  });
}

void FakeVms::extendLease(const std::string &Id, milliseconds Until) {
  VmState &Vm = Vms_[Id];
  const milliseconds Now = vmTime(Id);
  Vm.LeaseUntil = std::max(Vm.LeaseUntil, std::min(Until, Now + MaxLease));
  const auto Rate = ClockRates_.find(Id);
  const double Left = static_cast<double>((Vm.LeaseUntil - Now).count()) /
                      (Rate == ClockRates_.end() ? 1.0 : Rate->second);
  ControlLoop_.after(milliseconds(static_cast<std::int64_t>(std::ceil(Left))),
                     [this, Id, Life = Vm.Life] {
                       if (Vms_[Id].Life == Life)
                         expireLease(Id);
                     });
}

void FakeVms::expireLease(const std::string &Id) {
  VmState &Vm = Vms_[Id];
  if (vmTime(Id) < Vm.LeaseUntil)
    return;
  const auto Running = Vm.Running;
  for (const TaskRun &Run : Running)
    endRun(Id, Run, RunOutcome::LeaseExpired);
  Vm.EndTimes.clear();
}

HoldAnswer FakeVms::hold(const VmTarget &Vm, const HoldOrder &Order) {
  OrderAnswer Admission;
  HoldAnswer Answer;
  VmState *State = admitCall(Vm, Admission);
  Answer.Outcome = Admission.Outcome;
  if (State == nullptr)
    return Answer;
  Answer.VmClock = vmTime(Vm.Id);
  Answer.Incarnation = State->Incarnation;
  extendLease(Vm.Id, Order.LeaseUntil);
  std::erase_if(State->Ends, [&](const TaskEnd &End) {
    if (End.Number > Order.AcknowledgedEnd)
      return false;
    const auto EndTime = State->EndTimes.find(End.Number);
    if (EndTime == State->EndTimes.end())
      return true;
    if (End.Outcome == RunOutcome::Done)
      AcknowledgedCompletions.emplace_back(End.Run.Task, EndTime->second);
    if (End.Outcome == RunOutcome::Failed)
      AcknowledgedFailures.emplace_back(End.Run.Task, EndTime->second);
    return true;
  });
  for (const TaskRun &Run : State->Running)
    Answer.Running.push_back(RunningTask{Run, "", progressPercent(), 0});
  Answer.Ends = State->Ends;
  Answer.ListedEnds =
      Answer.Ends.size() < MaxListedEnds ? EndList::Complete : EndList::Partial;
  if (Answer.ListedEnds == EndList::Partial)
    Answer.Ends.resize(MaxListedEnds);
  return Answer;
}

OrderAnswer FakeVms::start(const VmTarget &Vm, const StartOrder &Order) {
  OrderAnswer Answer;
  VmState *State = admitCall(Vm, Answer);
  if (State == nullptr)
    return Answer;
  if (Order.LeaseUntil <= vmTime(Vm.Id)) {
    Answer.Outcome = OrderOutcome::LeaseOver;
    return Answer;
  }
  extendLease(Vm.Id, Order.LeaseUntil);
  if (State->Running.contains(Order.Run))
    return Answer;
  const auto HighestEndedRun = State->HighestEndedRun.find(Order.Run.Task);
  if (HighestEndedRun != State->HighestEndedRun.end() &&
      Order.Run.Number <= HighestEndedRun->second) {
    Answer.Outcome = OrderOutcome::OldRun;
    return Answer;
  }
  const auto [RunTime, Outcome] =
      PlanRun ? PlanRun(Order.Run)
              : std::pair{DefaultRunTime, RunOutcome::Done};
  State->Running.insert(Order.Run);
  recordEvent(Vm.Id, Order.Run, true, RunOutcome::Done);
  scheduleEnd(Vm.Id, Order.Run, RunTime, Outcome);
  return Answer;
}

OrderAnswer FakeVms::stop(const VmTarget &Vm, const TaskRun &Run) {
  OrderAnswer Answer;
  VmState *State = admitCall(Vm, Answer);
  if (State == nullptr)
    return Answer;
  std::int64_t &HighestEndedRun = State->HighestEndedRun[Run.Task];
  HighestEndedRun = std::max(HighestEndedRun, Run.Number);
  if (PlanStop)
    scheduleEnd(Vm.Id, Run, PlanStop(Run), RunOutcome::Stopped);
  else
    endRun(Vm.Id, Run, RunOutcome::Stopped);
  return Answer;
}

template <typename T>
void FakeVmCalls::send(const VmTarget &Vm, milliseconds Timeout,
                       std::function<T()> Execute,
                       std::function<void(Result<T>)> Done) {
  const VmCallFault Fault = NextFault ? NextFault(Vm.Id) : VmCallFault{};
  const auto ExecuteAfter = [this, Vm, Execute](milliseconds Delay) {
    ControlLoop_.after(Delay,
                       [this, Vm, Execute, Life = Vms_.lifeNumber(Vm.Id)] {
                         const bool SameLife = Vms_.lifeNumber(Vm.Id) == Life;
                         if (Vms_.acceptsConnections(Vm) &&
                             (SameLife || LateOrdersSurviveRestarts))
                           Execute();
                       });
  };
  const auto Answer = [this, Vm, Execute, Done](milliseconds ResponseTime) {
    ControlLoop_.after(Latency, [this, Vm, Execute, Done, ResponseTime] {
      if (!Vms_.acceptsConnections(Vm))
        return Done(failure(ErrorCode::ConnectFailed));
      T Response = Execute();
      ControlLoop_.after(ResponseTime, [Done, Response] { Done(Response); });
    });
  };
  switch (Fault.Kind) {
  case VmCallFault::None:
    return Answer(Latency);
  case VmCallFault::SlowResponse:
    if (Latency + Fault.Delay < Timeout)
      return Answer(Fault.Delay);
    ExecuteAfter(Latency);
    break;
  case VmCallFault::RequestLost:
    break;
  case VmCallFault::ResponseLost:
    ExecuteAfter(Latency);
    break;
  case VmCallFault::Repeated:
    ExecuteAfter(Latency);
    ExecuteAfter(Fault.Delay);
    break;
  case VmCallFault::Delayed:
    ExecuteAfter(Fault.Delay);
    break;
  }
  ControlLoop_.after(Timeout, [Done] { Done(failure(ErrorCode::Timeout)); });
}

void FakeVmCalls::start(const VmTarget &Vm, const StartOrder &Order,
                        milliseconds Timeout, OrderDone Done) {
  ++StartCalls;
  if (StartDelay) {
    StartOrder Late = Order;
    Late.LeaseUntil += *StartDelay;
    ControlLoop_.after(*StartDelay, [this, Vm, Late] { Vms_.start(Vm, Late); });
    return ControlLoop_.after(Timeout,
                              [Done] { Done(failure(ErrorCode::Timeout)); });
  }
  send<OrderAnswer>(
      Vm, Timeout,
      [this, Vm, Order] {
        return RefuseStartsAndStops
                   ? OrderAnswer{OrderOutcome::Unhealthy, std::nullopt}
                   : Vms_.start(Vm, Order);
      },
      std::move(Done));
}

void FakeVmCalls::stop(const VmTarget &Vm, const TaskRun &Run,
                       milliseconds Timeout, OrderDone Done) {
  if (LoseStops)
    return ControlLoop_.after(Timeout,
                              [Done] { Done(failure(ErrorCode::Timeout)); });
  send<OrderAnswer>(
      Vm, Timeout,
      [this, Vm, Run] {
        return RefuseStartsAndStops
                   ? OrderAnswer{OrderOutcome::Unhealthy, std::nullopt}
                   : Vms_.stop(Vm, Run);
      },
      std::move(Done));
}

void FakeVmCalls::throttle(const VmTarget &, const TaskRun &, int,
                           milliseconds Timeout, OrderDone Done) {
  ++ThrottleCalls;
  if (LoseThrottles)
    return ControlLoop_.after(Timeout,
                              [Done] { Done(failure(ErrorCode::Timeout)); });
  ControlLoop_.after(Latency, [Done] { Done(OrderAnswer{}); });
}

void FakeVmCalls::hold(const VmTarget &Vm, const HoldOrder &Order,
                       milliseconds Timeout, HoldDone Done) {
  ++HoldCalls;
  FreshConnectionHolds += Vm.FreshConnection;
  const milliseconds Wait = std::min(Order.Wait, MaxHoldWait);
  ControlLoop_.after(Wait, [this, Vm, Order, Timeout, Done] {
    send<HoldAnswer>(
        Vm, Timeout,
        [this, Vm, Order] {
          HoldAnswer Refusal;
          Refusal.Outcome = OrderOutcome::Unhealthy;
          return RefuseHolds ? Refusal : Vms_.hold(Vm, Order);
        },
        Done);
  });
}

} // namespace cuminroad
