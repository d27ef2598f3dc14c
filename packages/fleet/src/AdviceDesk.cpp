#include "cuminroad/fleet/AdviceDesk.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cuminroad {

namespace {

/// Calls that a daemon has under way for this pool.
constexpr int OpenPerCaller = 1;
/// Questions that take less are answered between others: a part of the daemons
/// is kept for them, since a call waits for those before it.
constexpr double QuickMs = 60;
constexpr std::size_t QuickShare = 3;
constexpr milliseconds FailedCallerPause{2000};
constexpr int MaxTries = 4;
/// Time beyond the advisor's own: links, and another pool's call before it.
constexpr milliseconds CallMargin{1200};

} // namespace

AdviceDesk::AdviceDesk(PlacementAdvisor &Own, PeerCalls &Peers, Loop &Home,
                       const Clock &Time, std::string SelfName, Needed Needed,
                       Done Done)
    : Own_(Own), Peers_(Peers), Home_(Home), Time_(Time),
      SelfName_(std::move(SelfName)), Needed_(std::move(Needed)),
      Done_(std::move(Done)) {
  Callers_[SelfName_] = Caller{};
}

void AdviceDesk::setPeers(const std::map<std::string, std::string> &Addresses) {
  for (auto &[Name, Entry] : Callers_)
    Entry.Listed = Name == SelfName_ || Addresses.contains(Name);
  for (const auto &[Name, Address] : Addresses) {
    Caller &Entry = Callers_[Name];
    if (Entry.Address != Address)
      Entry.NotBefore = TimePoint{};
    Entry.Address = Address;
    Entry.Listed = true;
  }
  pump();
}

void AdviceDesk::setQueues(std::span<const QueueRoute> Routes) {
  QuickWork_ =
      std::any_of(Routes.begin(), Routes.end(), [](const QueueRoute &Route) {
        return Route.Terms.Advice &&
               static_cast<double>(Route.Terms.Advice->Decision.count()) <=
                   QuickMs;
      });
}

void AdviceDesk::ask(const AskAdvice &Ask) {
  Queue_.push_back(Question{Ask});
  pump();
}

std::vector<std::string> AdviceDesk::freeCallers(bool Quick) const {
  const TimePoint Now = Time_.now();
  // Every pool's owner sees the daemons in the same order.
  std::size_t Index = 0;
  const std::size_t Reserved = QuickWork_ ? Callers_.size() / QuickShare : 0;
  std::vector<std::string> Out;
  for (const auto &[Name, Entry] : Callers_) {
    const bool ForQuick = Index++ < Reserved;
    if (Entry.Listed && Entry.Open < OpenPerCaller && Entry.NotBefore <= Now &&
        (Quick || !ForQuick))
      Out.push_back(Name);
    // Daemons that are kept for quick questions come first for those.
    if (Quick && Index == Reserved && !Out.empty())
      return Out;
  }
  return Out;
}

void AdviceDesk::pump() {
  std::stable_sort(Queue_.begin(), Queue_.end(),
                   [](const Question &Left, const Question &Right) {
                     return std::tie(Left.Ask.Priority, Left.Ask.Renewal) <
                            std::tie(Right.Ask.Priority, Right.Ask.Renewal);
                   });
  std::vector<Question> Kept;
  std::vector<StepName> Unneeded;
  for (Question &Next : std::exchange(Queue_, {})) {
    if (!Needed_(Next.Ask.Step)) {
      Unneeded.push_back(Next.Ask.Step);
      continue;
    }
    const std::vector<std::string> Free =
        freeCallers(Next.Ask.ExpectedMs <= QuickMs);
    if (Free.empty())
      Kept.push_back(std::move(Next));
    else
      send(Free[NextCaller_++ % Free.size()], std::move(Next));
  }
  // Nothing is asked while the queue is gone through.
  Queue_ = std::move(Kept);
  // The step may be asked about again later.
  for (const StepName &Step : Unneeded)
    Done_(Step, Answer{Step, {}, {}, Time_.now()});
}

void AdviceDesk::send(const std::string &Name, Question Next) {
  Caller &To = Callers_[Name];
  ++To.Open;
  ++Next.Tries;
  const AskAdvice Ask = Next.Ask;
  const milliseconds Timeout =
      milliseconds(static_cast<std::int64_t>(Ask.ExpectedMs)) + CallMargin;
  auto Done = [Self = shared_from_this(), Name,
               Next = std::move(Next)](Result<std::vector<AdviceTicket>> Good) {
    if (!Self->Closed_)
      Self->answered(Name, Next, std::move(Good));
  };
  if (Name == SelfName_)
    Own_.advise(Ask.Step, Ask.Vms, Timeout, std::move(Done));
  else
    Peers_.advise(To.Address, Ask.Step, Ask.Vms, Timeout, std::move(Done));
}

void AdviceDesk::answered(const std::string &Name, Question Sent,
                          Result<std::vector<AdviceTicket>> Good) {
  Caller &From = Callers_[Name];
  --From.Open;
  if (!Good) {
    From.NotBefore = Time_.now() + FailedCallerPause;
    Home_.after(FailedCallerPause,
                [Self = shared_from_this()] { Self->pump(); });
    if (Sent.Tries < MaxTries)
      Queue_.insert(Queue_.begin(), std::move(Sent));
    else
      Done_(Sent.Ask.Step, tl::unexpected(Good.error()));
  } else {
    Done_(Sent.Ask.Step,
          Answer{Sent.Ask.Step, Sent.Ask.Vms, std::move(*Good), Time_.now()});
  }
  pump();
}

} // namespace cuminroad
