#include "cuminroad/fakes/FakeVms.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr milliseconds UsualRun{300};
constexpr milliseconds MaxLease{6000};
/// A VM that waits for an end answers after this at the latest in tests, so
/// that its answer is not computed from a later state.
constexpr milliseconds HoldStep{50};

} // namespace

milliseconds FakeVms::clock() const {
  return std::chrono::duration_cast<milliseconds>(
      Home_.Time.now().time_since_epoch());
}

void FakeVms::add(const std::string &Id, std::int64_t Born) {
  Vms_[Id].Born = Born;
}

void FakeVms::restart(const std::string &Id, std::int64_t Born) {
  VmState &Vm = Vms_[Id];
  for (const auto &[Run, EndsAt] : Vm.Running)
    History.push_back(
        RunEvent{Home_.Time.now(), Id, Run, false, RunOutcome::LeaseExpired});
  Vm = VmState{};
  Vm.Born = Born;
}

int FakeVms::percentNow() const {
  // Moves as long as time passes; no test looks at how far a run is.
  return static_cast<int>(clock().count() / 100 % 100);
}

FakeVms::VmState *FakeVms::reach(const VmTarget &Vm, OrderAnswer &Answer) {
  Answer.VmClock = clock();
  const auto Found = Vms_.find(Vm.Id);
  if (Found == Vms_.end()) {
    Answer.Outcome = OrderOutcome::OtherInstance;
    return nullptr;
  }
  VmState &State = Found->second;
  if (Vm.FencingToken < State.HighestToken) {
    Answer.Outcome = OrderOutcome::Fenced;
    return nullptr;
  }
  State.HighestToken = Vm.FencingToken;
  return &State;
}

void FakeVms::end(const std::string &Id, const TaskRun &Run, RunOutcome How) {
  VmState &Vm = Vms_[Id];
  if (Vm.Running.erase(Run) == 0)
    return;
  std::int64_t &Ended = Vm.Ended[Run.Task];
  Ended = std::max(Ended, Run.Number);
  Vm.EndedAt[Vm.NextEnd] = Home_.Time.now();
  Vm.Ends.push_back(TaskEnd{Vm.NextEnd++, Run, How, ""});
  History.push_back(RunEvent{Home_.Time.now(), Id, Run, false, How});
}

void FakeVms::lapse(const std::string &Id) {
  VmState &Vm = Vms_[Id];
  if (clock() < Vm.LeaseUntil)
    return;
  const auto Running = Vm.Running;
  for (const auto &[Run, EndsAt] : Running)
    end(Id, Run, RunOutcome::LeaseExpired);
  Vm.EndedAt.clear();
}

HoldAnswer FakeVms::hold(const VmTarget &Vm, const HoldOrder &Order) {
  OrderAnswer Reach;
  HoldAnswer Out;
  VmState *State = reach(Vm, Reach);
  Out.Outcome = Reach.Outcome;
  if (State == nullptr)
    return Out;
  Out.VmClock = clock();
  Out.Incarnation = State->Born;
  State->LeaseUntil = std::max(State->LeaseUntil,
                               std::min(Order.LeaseUntil, clock() + MaxLease));
  Home_.after(State->LeaseUntil - clock(), [this, Id = Vm.Id] { lapse(Id); });
  std::erase_if(State->Ends, [&](const TaskEnd &End) {
    if (End.Number > Order.AcknowledgedEnd)
      return false;
    const auto At = State->EndedAt.find(End.Number);
    if (End.Outcome == RunOutcome::Done && At != State->EndedAt.end())
      AcknowledgedDone.emplace_back(End.Run.Task, At->second);
    return true;
  });
  for (const auto &[Run, EndsAt] : State->Running)
    Out.Running.push_back(RunningTask{Run, "", percentNow(), 0});
  Out.Ends = State->Ends;
  return Out;
}

OrderAnswer FakeVms::start(const VmTarget &Vm, const StartOrder &Order) {
  OrderAnswer Out;
  VmState *State = reach(Vm, Out);
  if (State == nullptr)
    return Out;
  if (Order.LeaseUntil <= clock()) {
    Out.Outcome = OrderOutcome::LeaseOver;
    return Out;
  }
  State->LeaseUntil = std::max(State->LeaseUntil,
                               std::min(Order.LeaseUntil, clock() + MaxLease));
  if (State->Running.contains(Order.Run))
    return Out;
  const auto Ended = State->Ended.find(Order.Run.Task);
  if (Ended != State->Ended.end() && Order.Run.Number <= Ended->second) {
    Out.Outcome = OrderOutcome::OldRun;
    return Out;
  }
  const auto [Length, How] =
      Plan ? Plan(Order.Run) : std::pair{UsualRun, RunOutcome::Done};
  State->Running[Order.Run] = Home_.Time.now() + Length;
  History.push_back(
      RunEvent{Home_.Time.now(), Vm.Id, Order.Run, true, RunOutcome::Done});
  Home_.after(Length, [this, Id = Vm.Id, Run = Order.Run, How = How] {
    end(Id, Run, How);
  });
  Home_.after(State->LeaseUntil - clock(), [this, Id = Vm.Id] { lapse(Id); });
  return Out;
}

OrderAnswer FakeVms::stop(const VmTarget &Vm, const TaskRun &Run) {
  OrderAnswer Out;
  VmState *State = reach(Vm, Out);
  if (State == nullptr)
    return Out;
  std::int64_t &Ended = State->Ended[Run.Task];
  Ended = std::max(Ended, Run.Number);
  end(Vm.Id, Run, RunOutcome::Stopped);
  return Out;
}

template <typename T>
void FakeVmCalls::send(const std::string &Vm, milliseconds Timeout,
                       std::function<T()> Do,
                       std::function<void(Result<T>)> Done) {
  const OrderFate Fate = Decide ? Decide(Vm) : OrderFate{};
  if (Fate.What == OrderFate::Answered) {
    Home_.after(Latency, [this, Do, Done] {
      T Answer = Do();
      Home_.after(Latency, [Done, Answer] { Done(Answer); });
    });
    return;
  }
  if (Fate.What == OrderFate::AnswerLost)
    Home_.after(Latency, [Do] { Do(); });
  if (Fate.What == OrderFate::Late)
    Home_.after(Fate.Delay, [Do] { Do(); });
  Home_.after(Timeout, [Done] { Done(failure(ErrorCode::Timeout)); });
}

void FakeVmCalls::start(const VmTarget &Vm, const StartOrder &Order,
                        milliseconds Timeout, OrderDone Done) {
  ++Starts;
  send<OrderAnswer>(
      Vm.Id, Timeout,
      [this, Vm, Order] {
        return Unhealthy ? OrderAnswer{OrderOutcome::Unhealthy, std::nullopt}
                         : Vms_.start(Vm, Order);
      },
      std::move(Done));
}

void FakeVmCalls::stop(const VmTarget &Vm, const TaskRun &Run,
                       milliseconds Timeout, OrderDone Done) {
  send<OrderAnswer>(
      Vm.Id, Timeout,
      [this, Vm, Run] {
        return Unhealthy ? OrderAnswer{OrderOutcome::Unhealthy, std::nullopt}
                         : Vms_.stop(Vm, Run);
      },
      std::move(Done));
}

void FakeVmCalls::throttle(const VmTarget &, const TaskRun &, int, milliseconds,
                           OrderDone Done) {
  Home_.after(Latency, [Done] { Done(OrderAnswer{}); });
}

void FakeVmCalls::hold(const VmTarget &Vm, const HoldOrder &Order,
                       milliseconds Timeout, HoldDone Done) {
  ++Holds;
  FreshHolds += Vm.FreshConnection;
  const milliseconds Wait = std::min(Order.Wait, HoldStep);
  Home_.after(Wait, [this, Vm, Order, Timeout, Done] {
    send<HoldAnswer>(
        Vm.Id, Timeout,
        [this, Vm, Order] {
          HoldAnswer Refusal;
          Refusal.Outcome = OrderOutcome::Unhealthy;
          return HoldsUnhealthy ? Refusal : Vms_.hold(Vm, Order);
        },
        Done);
  });
}

} // namespace cuminroad
