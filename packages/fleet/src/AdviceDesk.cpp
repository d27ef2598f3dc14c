#include "cuminroad/fleet/AdviceDesk.h"

#include <algorithm>

namespace cuminroad {

namespace {

/// Calls that a daemon has under way for this pool: one with the advisor, one
/// on its way.
constexpr int OpenPerCaller = 1;
/// The owner's own process has enough to do; its own call counts double.
constexpr milliseconds FailedCallerPause{2000};
constexpr int MaxTries = 4;
/// Time beyond the advisor's own: links, and another pool's call before it.
constexpr milliseconds CallMargin{1200};

} // namespace

AdviceDesk::AdviceDesk(PlacementAdvisor &Own, PeerCalls &Peers, Loop &Home,
                       const Clock &Time, std::string SelfName, Done Done)
    : Own_(Own), Peers_(Peers), Home_(Home), Time_(Time),
      SelfName_(std::move(SelfName)), Done_(std::move(Done)) {
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

void AdviceDesk::ask(const AskAdvice &Ask) {
  Queue_.push_back(Question{Ask});
  pump();
}

AdviceDesk::Caller *AdviceDesk::freeCaller(std::string &Name) {
  const TimePoint Now = Time_.now();
  std::vector<std::string> Free;
  for (const auto &[Key, Entry] : Callers_)
    if (Entry.Listed && Entry.Open < OpenPerCaller && Entry.NotBefore <= Now)
      Free.push_back(Key);
  if (Free.empty())
    return nullptr;
  Name = Free[NextCaller_++ % Free.size()];
  return &Callers_[Name];
}

void AdviceDesk::pump() {
  while (!Queue_.empty() && !Closed_) {
    std::string Name;
    if (freeCaller(Name) == nullptr)
      return;
    Question Next = std::move(Queue_.front());
    Queue_.erase(Queue_.begin());
    send(Name, std::move(Next));
  }
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
