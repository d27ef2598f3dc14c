#include "cuminroad/fleet/AdviceDispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cuminroad {

namespace {

/// Calls that a daemon may have in flight for this pool. Two for short
/// decisions, so that the round trip of one overlaps the other.
constexpr int MaxCallsPerDaemon = 1;
constexpr int MaxShortCallsPerDaemon = 2;
/// Requests that take longer than this are not sent to some of the daemons,
/// since a call to the advisor waits for the calls before it: while any queue
/// makes short decisions, one healthy daemon in ReservedDaemonDivisor serves
/// only those.
constexpr double MaxShortDecisionMs = 60;
constexpr std::size_t ReservedDaemonDivisor = 3;
/// A daemon whose call failed is left out for this long. The delay doubles with
/// each failure up to the maximum, which bounds how long after an outage the
/// first request is sent.
constexpr milliseconds MinFailedDaemonBackoff{300};
constexpr milliseconds MaxFailedDaemonBackoff{1500};
/// A request is also sent to a second daemon when its answer is this late.
/// Shorter than the time that it takes to detect a dead daemon.
constexpr milliseconds HedgeDelay{150};
constexpr int MaxAttempts = 4;
/// A request other than for further VMs goes before more urgent ones when it
/// has waited for this long.
constexpr milliseconds MaxWaitOfFirstRequest{500};
/// Time allowed for a call beyond the advisor's decision: the network, and a
/// call of another pool that is served first.
constexpr milliseconds CallOverhead{900};

} // namespace

std::tuple<bool, bool, int, bool, bool>
AdviceDispatcher::PendingRequest::rank(TimePoint Now) const {
  // Short decisions have daemons of their own, where a second copy delays few
  // others.
  const bool IsCopy =
      OpenCalls > 0 && Command.ExpectedLatencyMs > MaxShortDecisionMs;
  const bool IsOverdue =
      !Command.Extension && Now - RequestedAt > MaxWaitOfFirstRequest;
  // Renewals go first: capacity is kept free for steps whose tickets are
  // renewed.
  return {IsCopy, !IsOverdue, Command.Priority, Command.Extension,
          !Command.Renewal};
}

AdviceDispatcher::AdviceDispatcher(PlacementAdvisor &LocalAdvisor,
                                   PeerCalls &Peers, Loop &ControlLoop,
                                   const Clock &MonotonicClock,
                                   std::string SelfName,
                                   StillNeeded StillNeeded, Done Done)
    : LocalAdvisor_(LocalAdvisor), Peers_(Peers), ControlLoop_(ControlLoop),
      MonotonicClock_(MonotonicClock), SelfName_(std::move(SelfName)),
      StillNeeded_(std::move(StillNeeded)), Done_(std::move(Done)) {
  Daemons_[SelfName_] = DaemonState{};
}

void AdviceDispatcher::setPeers(const DaemonRows &Others) {
  for (auto &[Name, Entry] : Daemons_)
    Entry.Registered = Name == SelfName_ || Others.contains(Name);
  for (const auto &[Name, Row] : Others) {
    DaemonState &Entry = Daemons_[Name];
    // The failures were those of the daemon's earlier process.
    if (!(Entry.Daemon == Row)) {
      Entry.RetryAt = TimePoint{};
      Entry.Backoff = milliseconds(0);
    }
    Entry.Daemon = Row;
    Entry.Registered = true;
  }
  dispatch();
}

void AdviceDispatcher::setQueues(std::span<const QueueRoute> Routes) {
  HasShortDecisions_ =
      std::any_of(Routes.begin(), Routes.end(), [](const QueueRoute &Route) {
        return Route.Terms.Advice &&
               static_cast<double>(Route.Terms.Advice->DecisionTime.count()) <=
                   MaxShortDecisionMs;
      });
}

void AdviceDispatcher::requestAdvice(const RequestAdvice &Command) {
  auto Request = std::make_shared<PendingRequest>();
  Request->Command = Command;
  Request->Failed = Command.AfterFailure;
  Request->RequestedAt = MonotonicClock_.now();
  Queue_.push_back(std::move(Request));
  dispatch();
}

std::vector<std::string>
AdviceDispatcher::idleDaemons(bool ShortDecision) const {
  std::vector<const std::pair<const std::string, DaemonState> *> Healthy;
  for (const auto &Entry : Daemons_)
    if (Entry.second.Registered && Entry.second.Backoff.count() == 0)
      Healthy.push_back(&Entry);
  // Daemons are ordered by name, so that the owners of all pools reserve the
  // same ones.
  const std::size_t Reserved =
      HasShortDecisions_ ? Healthy.size() / ReservedDaemonDivisor : 0;
  std::vector<std::string> Out;
  for (std::size_t Index = 0; Index < Healthy.size(); ++Index) {
    const bool ReservedForShort = Index < Reserved;
    const auto &[Name, Entry] = *Healthy[Index];
    if (Entry.OpenCalls <
            (ReservedForShort ? MaxShortCallsPerDaemon : MaxCallsPerDaemon) &&
        (ShortDecision || !ReservedForShort))
      Out.push_back(Name);
    // Short decisions prefer the daemons that are reserved for them.
    if (ShortDecision && Index + 1 == Reserved && !Out.empty())
      return Out;
  }
  return Out;
}

bool AdviceDispatcher::hasHealthyPeer(double CpuShare) const {
  return std::any_of(Daemons_.begin(), Daemons_.end(), [&](const auto &Entry) {
    const auto &[Name, State] = Entry;
    return Name != SelfName_ && State.Registered &&
           State.Backoff.count() == 0 && State.Daemon.CpuShare >= CpuShare;
  });
}

std::string AdviceDispatcher::failedDaemonToProbe() const {
  const TimePoint Now = MonotonicClock_.now();
  for (const auto &[Name, Entry] : Daemons_)
    if (Entry.Registered && Entry.Backoff.count() > 0 && Entry.OpenCalls == 0 &&
        Entry.RetryAt <= Now)
      return Name;
  return "";
}

void AdviceDispatcher::dispatch() {
  // A call may fail at once and re-enter dispatch(); the outer invocation then
  // processes the queue again.
  DispatchAgain_ = true;
  if (Dispatching_)
    return;
  Dispatching_ = true;
  while (std::exchange(DispatchAgain_, false) && !Closed_)
    dispatchOnce();
  Dispatching_ = false;
}

void AdviceDispatcher::dispatchOnce() {
  const TimePoint Now = MonotonicClock_.now();
  std::stable_sort(
      Queue_.begin(), Queue_.end(),
      [Now](const PendingRequestPtr &Left, const PendingRequestPtr &Right) {
        return Left->rank(Now) < Right->rank(Now);
      });
  std::vector<PendingRequestPtr> Waiting;
  std::vector<StepName> Obsolete;
  const bool AnyUntried = std::any_of(
      Queue_.begin(), Queue_.end(), [](const PendingRequestPtr &Request) {
        return !Request->Failed && !Request->Answered;
      });
  for (const PendingRequestPtr &Request : std::exchange(Queue_, {})) {
    if (Request->Answered)
      continue;
    if (Request->OpenCalls == 0 && !StillNeeded_(Request->Command.Step)) {
      Obsolete.push_back(Request->Command.Step);
      continue;
    }
    const std::vector<std::string> Idle =
        idleDaemons(Request->Command.ExpectedLatencyMs <= MaxShortDecisionMs);
    // A failed daemon is probed with a request that is also sent to another one
    // or stays queued. One that has failed itself would tell little.
    if (!Request->Failed || !AnyUntried)
      if (const std::string FailedDaemon = failedDaemonToProbe();
          !FailedDaemon.empty())
        send(FailedDaemon, Request);
    if (Idle.empty())
      Waiting.push_back(Request);
    else
      send(Idle[NextDaemon_++ % Idle.size()], Request);
  }
  // Calls that failed at once have already put their requests back into the
  // queue.
  for (const PendingRequestPtr &Request : Waiting)
    enqueue(Request);
  // The step may request advice again later.
  for (const StepName &Step : Obsolete)
    Done_(Step, Answer{Step, {}, {}, MonotonicClock_.now()});
}

void AdviceDispatcher::enqueue(const PendingRequestPtr &Request) {
  if (std::find(Queue_.begin(), Queue_.end(), Request) == Queue_.end())
    Queue_.push_back(Request);
}

void AdviceDispatcher::send(const std::string &Name,
                            const PendingRequestPtr &Request) {
  DaemonState &Target = Daemons_[Name];
  ++Target.OpenCalls;
  // Probes of a failed daemon do not count as attempts.
  Request->Attempts += Target.Backoff.count() == 0;
  ++Request->OpenCalls;
  const RequestAdvice &Command = Request->Command;
  const milliseconds Expected(
      static_cast<std::int64_t>(Command.ExpectedLatencyMs));
  auto Done = [Self = shared_from_this(), Name,
               Request](Result<std::vector<AdviceTicket>> Allowed) {
    if (!Self->Closed_)
      Self->handleAnswer(Name, Request, std::move(Allowed));
  };
  ControlLoop_.after(
      Expected + HedgeDelay,
      [Self = shared_from_this(), Request] { Self->hedge(Request); });
  if (Name == SelfName_)
    LocalAdvisor_.advise(Command.Step, Command.Vms, Expected + CallOverhead,
                         std::move(Done));
  else
    Peers_.advise(Target.Daemon.PeerAddress, Command.Step, Command.Vms,
                  Expected + CallOverhead, std::move(Done));
}

void AdviceDispatcher::hedge(const PendingRequestPtr &Request) {
  if (Closed_ || Request->Answered || Request->OpenCalls == 0 ||
      Request->Attempts >= MaxAttempts)
    return;
  enqueue(Request);
  dispatch();
}

void AdviceDispatcher::handleAnswer(const std::string &Name,
                                    const PendingRequestPtr &Request,
                                    Result<std::vector<AdviceTicket>> Allowed) {
  DaemonState &Source = Daemons_[Name];
  --Source.OpenCalls;
  --Request->OpenCalls;
  if (Allowed)
    Source.Backoff = milliseconds(0);
  else if (!Request->Failed || Source.Backoff.count() > 0)
    setAside(Source);
  Request->Failed = Request->Failed || !Allowed;
  if (!Request->Answered && (Allowed || Request->OpenCalls == 0))
    completeOrRetry(Request, std::move(Allowed));
  dispatch();
}

void AdviceDispatcher::setAside(DaemonState &Daemon) {
  Daemon.Backoff = std::clamp(Daemon.Backoff * 2, MinFailedDaemonBackoff,
                              MaxFailedDaemonBackoff);
  Daemon.RetryAt = MonotonicClock_.now() + Daemon.Backoff;
  ControlLoop_.after(Daemon.Backoff,
                     [Self = shared_from_this()] { Self->dispatch(); });
}

void AdviceDispatcher::completeOrRetry(
    const PendingRequestPtr &Request,
    Result<std::vector<AdviceTicket>> Allowed) {
  const RequestAdvice &Command = Request->Command;
  if (!Allowed && Request->Attempts < MaxAttempts) {
    enqueue(Request);
    return;
  }
  Request->Answered = true;
  if (Allowed)
    Done_(Command.Step, Answer{Command.Step, Command.Vms, std::move(*Allowed),
                               MonotonicClock_.now()});
  else
    Done_(Command.Step, tl::unexpected(Allowed.error()));
}

} // namespace cuminroad
