#include "cuminroad/fleet/AdviceDispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cuminroad {

namespace {

/// Calls that a daemon has under way for this pool; two quick ones, so that the
/// way there and back costs nothing.
constexpr int OpenPerCaller = 1;
constexpr int OpenQuickPerCaller = 2;
/// Questions that take less are answered between others: a part of the daemons
/// is kept for them, since a call waits for those before it.
constexpr double QuickMs = 60;
constexpr std::size_t QuickShare = 3;
/// A daemon that did not answer is left alone this long; doubles up to the
/// last, which bounds how long after a cut the first question is asked.
constexpr milliseconds FailedCallerPause{300};
constexpr milliseconds FailedCallerPauseMax{1500};
/// Another daemon is asked as well when the answer is this late. Shorter than
/// the time to find out that a daemon is gone.
constexpr milliseconds HedgeAfter{150};
constexpr int MaxTries = 4;
/// Time beyond the advisor's own: links, and another pool's call before it.
constexpr milliseconds CallMargin{900};

} // namespace

AdviceDispatcher::AdviceDispatcher(PlacementAdvisor &Own, PeerCalls &Peers,
                                   Loop &ControlLoop,
                                   const Clock &MonotonicClock,
                                   std::string SelfName, Needed Needed,
                                   Done Done)
    : Own_(Own), Peers_(Peers), ControlLoop_(ControlLoop),
      MonotonicClock_(MonotonicClock), SelfName_(std::move(SelfName)),
      Needed_(std::move(Needed)), Done_(std::move(Done)) {
  Callers_[SelfName_] = Caller{};
}

void AdviceDispatcher::setPeers(const DaemonRows &Others) {
  for (auto &[Name, Entry] : Callers_)
    Entry.Listed = Name == SelfName_ || Others.contains(Name);
  for (const auto &[Name, Row] : Others) {
    Caller &Entry = Callers_[Name];
    // A new life of the daemon has not failed yet.
    if (!(Entry.Daemon == Row)) {
      Entry.NotBefore = TimePoint{};
      Entry.Pause = milliseconds(0);
    }
    Entry.Daemon = Row;
    Entry.Listed = true;
  }
  pump();
}

void AdviceDispatcher::setQueues(std::span<const QueueRoute> Routes) {
  QuickWork_ =
      std::any_of(Routes.begin(), Routes.end(), [](const QueueRoute &Route) {
        return Route.Terms.Advice &&
               static_cast<double>(Route.Terms.Advice->Decision.count()) <=
                   QuickMs;
      });
}

void AdviceDispatcher::ask(const AskAdvice &Ask) {
  auto Next = std::make_shared<Question>();
  Next->Ask = Ask;
  Queue_.push_back(std::move(Next));
  pump();
}

std::vector<std::string> AdviceDispatcher::freeCallers(bool Quick) const {
  std::vector<const std::pair<const std::string, Caller> *> Healthy;
  for (const auto &Entry : Callers_)
    if (Entry.second.Listed && Entry.second.Pause.count() == 0)
      Healthy.push_back(&Entry);
  // Every pool's owner sees the daemons in the same order.
  const std::size_t Reserved = QuickWork_ ? Healthy.size() / QuickShare : 0;
  std::vector<std::string> Out;
  for (std::size_t Index = 0; Index < Healthy.size(); ++Index) {
    const bool ForQuick = Index < Reserved;
    const auto &[Name, Entry] = *Healthy[Index];
    if (Entry.Open < (ForQuick ? OpenQuickPerCaller : OpenPerCaller) &&
        (Quick || !ForQuick))
      Out.push_back(Name);
    // Daemons that are kept for quick questions come first for those.
    if (Quick && Index + 1 == Reserved && !Out.empty())
      return Out;
  }
  return Out;
}

std::string AdviceDispatcher::suspectToProbe() const {
  const TimePoint Now = MonotonicClock_.now();
  for (const auto &[Name, Entry] : Callers_)
    if (Entry.Listed && Entry.Pause.count() > 0 && Entry.Open == 0 &&
        Entry.NotBefore <= Now)
      return Name;
  return "";
}

void AdviceDispatcher::pump() {
  // A call may fail at once and come back here; the outer call goes on then.
  PumpAgain_ = true;
  if (Pumping_)
    return;
  Pumping_ = true;
  while (std::exchange(PumpAgain_, false) && !Closed_)
    pumpOnce();
  Pumping_ = false;
}

void AdviceDispatcher::pumpOnce() {
  std::stable_sort(Queue_.begin(), Queue_.end(),
                   [](const QuestionPtr &Left, const QuestionPtr &Right) {
                     // Room waits for those whose tickets are renewed.
                     return std::tuple(Left->Ask.Priority, !Left->Ask.Renewal) <
                            std::tuple(Right->Ask.Priority,
                                       !Right->Ask.Renewal);
                   });
  std::vector<QuestionPtr> Kept;
  std::vector<StepName> Unneeded;
  for (const QuestionPtr &Next : std::exchange(Queue_, {})) {
    if (Next->Answered)
      continue;
    if (Next->Open == 0 && !Needed_(Next->Ask.Step)) {
      Unneeded.push_back(Next->Ask.Step);
      continue;
    }
    const std::vector<std::string> Free =
        freeCallers(Next->Ask.ExpectedMs <= QuickMs);
    // A daemon that failed gets a question that another one is asked as well.
    const std::string Suspect = suspectToProbe();
    if (!Suspect.empty())
      send(Suspect, Next);
    if (Free.empty())
      Kept.push_back(Next);
    else
      send(Free[NextCaller_++ % Free.size()], Next);
  }
  // Calls that failed at once have put their questions back already.
  for (const QuestionPtr &Next : Kept)
    enqueue(Next);
  // The step may be asked about again later.
  for (const StepName &Step : Unneeded)
    Done_(Step, Answer{Step, {}, {}, MonotonicClock_.now()});
}

void AdviceDispatcher::enqueue(const QuestionPtr &Next) {
  if (std::find(Queue_.begin(), Queue_.end(), Next) == Queue_.end())
    Queue_.push_back(Next);
}

void AdviceDispatcher::send(const std::string &Name, const QuestionPtr &Next) {
  Caller &To = Callers_[Name];
  ++To.Open;
  // A probe of a daemon that failed is no try of its own.
  Next->Tries += To.Pause.count() == 0;
  ++Next->Open;
  const AskAdvice &Ask = Next->Ask;
  const milliseconds Expected(static_cast<std::int64_t>(Ask.ExpectedMs));
  auto Done = [Self = shared_from_this(), Name,
               Next](Result<std::vector<AdviceTicket>> Good) {
    if (!Self->Closed_)
      Self->answered(Name, Next, std::move(Good));
  };
  ControlLoop_.after(Expected + HedgeAfter,
                     [Self = shared_from_this(), Next] { Self->hedge(Next); });
  if (Name == SelfName_)
    Own_.advise(Ask.Step, Ask.Vms, Expected + CallMargin, std::move(Done));
  else
    Peers_.advise(To.Daemon.PeerAddress, Ask.Step, Ask.Vms,
                  Expected + CallMargin, std::move(Done));
}

void AdviceDispatcher::hedge(const QuestionPtr &Sent) {
  if (Closed_ || Sent->Answered || Sent->Open == 0 || Sent->Tries >= MaxTries)
    return;
  enqueue(Sent);
  pump();
}

void AdviceDispatcher::answered(const std::string &Name,
                                const QuestionPtr &Sent,
                                Result<std::vector<AdviceTicket>> Good) {
  Caller &From = Callers_[Name];
  --From.Open;
  --Sent->Open;
  if (Good) {
    From.Pause = milliseconds(0);
  } else {
    From.Pause =
        std::clamp(From.Pause * 2, FailedCallerPause, FailedCallerPauseMax);
    From.NotBefore = MonotonicClock_.now() + From.Pause;
    ControlLoop_.after(From.Pause,
                       [Self = shared_from_this()] { Self->pump(); });
  }
  if (!Sent->Answered && (Good || Sent->Open == 0))
    settle(Sent, std::move(Good));
  pump();
}

void AdviceDispatcher::settle(const QuestionPtr &Sent,
                              Result<std::vector<AdviceTicket>> Good) {
  const AskAdvice &Ask = Sent->Ask;
  if (!Good && Sent->Tries < MaxTries) {
    enqueue(Sent);
    return;
  }
  Sent->Answered = true;
  if (Good)
    Done_(Ask.Step,
          Answer{Ask.Step, Ask.Vms, std::move(*Good), MonotonicClock_.now()});
  else
    Done_(Ask.Step, tl::unexpected(Good.error()));
}

} // namespace cuminroad
