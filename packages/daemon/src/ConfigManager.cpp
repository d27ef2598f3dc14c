#include "cuminroad/daemon/ConfigManager.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "cuminroad/base/Ids.h"

namespace cuminroad {

namespace {

constexpr const char *HeadKey = "config/head";
/// Before registering again after a failure.
constexpr milliseconds RetryDelay{500};
/// How often the acknowledgements of a pending change are read.
constexpr milliseconds AdvanceInterval{250};
/// After this time any daemon may complete a change that its proposer has not
/// completed.
constexpr milliseconds ProposerTimeout{3000};
/// Changes should be in force everywhere within this time; a call that proposes
/// one returns after it at the latest.
constexpr milliseconds InForceTimeout{16000};

std::string contractKey(const std::string &Customer) {
  return "contract/" + Customer;
}

std::string memberKey(const std::string &Name) { return "member/" + Name; }

Identity readMember(const TableRow &Row) {
  return Identity{Row.Key.substr(std::string_view("member/").size()),
                  Row.Value.value("incarnation", ""),
                  Row.Value.value("domain", ""), Row.Value.value("http", ""),
                  Row.Value.value("peer", "")};
}

} // namespace

ConfigManager::ConfigManager(Table &Rows, Loop &ControlLoop,
                             const Clock &MonotonicClock, EventLog &Events,
                             const Settings &Config, const Identity &Self,
                             ContractRegistry &Contracts,
                             MemberRegistry &Members)
    : Rows_(Rows), ControlLoop_(ControlLoop), MonotonicClock_(MonotonicClock),
      Events_(Events), Config_(Config), Self_(Self),
      ContractRegistry_(Contracts), MemberRegistry_(Members) {}

RowWrite ConfigManager::headWrite(const std::string &Reason) {
  return RowWrite{HeadKey, {{"reason", Reason}}};
}

nlohmann::json ConfigManager::memberValue(std::int64_t AcknowledgedHead) const {
  return {{"incarnation", Self_.Incarnation},
          {"domain", Self_.Domain},
          {"http", Self_.Http},
          {"peer", Self_.Peer},
          {"acked", AcknowledgedHead}};
}

void ConfigManager::start() {
  registerMember();
  pollPeriodically();
  advancePendingChanges();
}

void ConfigManager::registerMember() {
  Rows_.read(memberKey(Self_.Name), [this](Result<TableRow> Row) {
    if (!Row) {
      ControlLoop_.after(RetryDelay, [this] { registerMember(); });
      return;
    }
    Transaction Change;
    Change.WriteId = randomId();
    Change.Checks = {{Row->Key, Row->Version}};
    Change.Writes = {{Row->Key, memberValue(0)}, headWrite("member")};
    Rows_.commit(std::move(Change), [this](Result<CommitOutcome> Outcome) {
      if (!Outcome || !Outcome->committed()) {
        ControlLoop_.after(RetryDelay, [this] { registerMember(); });
        return;
      }
      MemberRowVersion_ = Outcome->Revision;
      AcknowledgedHead_ = 0;
      ContractsChanged_ = true;
      AppliedHead_ = 0;
      poll();
    });
  });
}

void ConfigManager::pollPeriodically() {
  ControlLoop_.after(Config_.Times.ConfigPoll, [this] { pollPeriodically(); });
  if (MemberRowVersion_ != 0 && !Deregistering_)
    poll();
}

void ConfigManager::poll() {
  if (Polling_) {
    PollAgain_ = true;
    return;
  }
  Polling_ = true;
  Rows_.read(HeadKey, [this](Result<TableRow> Head) {
    if (Head && Head->Version != AppliedHead_)
      reload(Head->Version);
    else
      finishPoll();
  });
}

void ConfigManager::finishPoll() {
  Polling_ = false;
  if (std::exchange(PollAgain_, false))
    poll();
}

void ConfigManager::reload(std::int64_t Head) {
  // The rows are read after the head row, so they contain all changes up to its
  // version.
  Rows_.scan("contract/", [this, Head](Result<std::vector<TableRow>> Rows) {
    if (!Rows)
      return finishPoll();
    Rows_.scan("member/", [this, Head, Rows = std::move(*Rows)](
                              Result<std::vector<TableRow>> Members) {
      if (!Members)
        return finishPoll();
      applyContracts(Rows);
      applyMembers(*Members);
      AppliedHead_ = Head;
      Ready_ = true;
      publish();
      if (ContractsChanged_ && AcknowledgedHead_ < Head)
        acknowledge(Head);
      finishPoll();
    });
  });
}

void ConfigManager::applyContracts(const std::vector<TableRow> &Rows) {
  std::map<std::string, VersionedContract> New;
  for (const TableRow &Row : Rows) {
    auto Record = parseContractRecord(Row.Value);
    if (!Record)
      continue;
    const auto Old = Contracts_.find(Record->Customer);
    const bool WasKnown = Old != Contracts_.end();
    VersionedContract Contract{*Record, Row.Version, MonotonicClock_.now()};
    if (WasKnown && Old->second.RowVersion == Row.Version) {
      Contract.PendingSince = Old->second.PendingSince;
      New.emplace(Record->Customer, std::move(Contract));
      continue;
    }
    ContractsChanged_ = true;
    Events_.record(
        EventId::ContractApplied, Record->Customer,
        fmt::format("version {}{}", Record->Version,
                    Record->Pending ? " with a pending change" : ""));
    New.emplace(Record->Customer, std::move(Contract));
  }
  Contracts_ = std::move(New);
}

void ConfigManager::applyMembers(const std::vector<TableRow> &Rows) {
  std::map<std::string, Identity> Members;
  for (const TableRow &Row : Rows) {
    Identity Member = readMember(Row);
    Members.emplace(Member.Name, std::move(Member));
  }
  const auto SelfEntry = Members.find(Self_.Name);
  const bool Replaced = SelfEntry != Members.end() &&
                        SelfEntry->second.Incarnation != Self_.Incarnation;
  const bool Removed = SelfEntry == Members.end();
  MemberRegistry_.publish(std::move(Members));
  if (Deregistering_)
    return;
  if (Replaced && OnReplaced)
    OnReplaced();
  else if (Removed)
    registerMember();
}

void ConfigManager::acknowledge(std::int64_t Head) {
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{memberKey(Self_.Name), MemberRowVersion_}};
  Change.Writes = {{memberKey(Self_.Name), memberValue(Head)}};
  Rows_.commit(std::move(Change), [this, Head](Result<CommitOutcome> Outcome) {
    if (Outcome && Outcome->committed()) {
      MemberRowVersion_ = Outcome->Revision;
      AcknowledgedHead_ = Head;
      ContractsChanged_ = false;
      return;
    }
    // Makes the next poll read everything again: the member row may have been
    // replaced or removed.
    AppliedHead_ = 0;
  });
}

void ConfigManager::publish() {
  ContractTermsByCustomer Terms;
  for (const auto &[Customer, Contract] : Contracts_)
    if (const auto Effective = Contract.Record.effectiveTerms())
      Terms.emplace(Customer, *Effective);
  ContractRegistry_.publish(std::move(Terms));
  if (OnChanged)
    OnChanged();
}

void ConfigManager::propose(ContractChange Change, ChangeDone Done) {
  Rows_.read(contractKey(Change.Customer),
             [this, Change, Done = std::move(Done)](Result<TableRow> Row) {
               if (!Row)
                 Done(tl::unexpected(Row.error()));
               else
                 writeProposal(Change, *Row, Done);
             });
}

void ConfigManager::writeProposal(const ContractChange &Change,
                                  const TableRow &Row, ChangeDone Done) {
  ContractRecord Record;
  Record.Customer = Change.Customer;
  if (Row.Version != 0) {
    auto Current = parseContractRecord(Row.Value);
    if (!Current)
      return Done(tl::unexpected(Current.error()));
    Record = *Current;
  }
  if (Record.Pending) {
    Events_.record(EventId::ContractConflict, Change.Customer, "pending");
    return Done(failure(ErrorCode::ChangePending,
                        fmt::format("by {}", Record.Pending->Operator)));
  }
  if (Record.Version != Change.ExpectedVersion) {
    Events_.record(EventId::ContractConflict, Change.Customer, "version");
    return Done(failure(ErrorCode::VersionConflict,
                        fmt::format("expected {}, found {}",
                                    Change.ExpectedVersion, Record.Version)));
  }
  Record.Pending = PendingChange{randomId(), Change.Operator, Change.Terms};
  const std::string ChangeId = Record.Pending->ChangeId;
  Transaction Write;
  Write.WriteId = ChangeId;
  Write.Checks = {{Row.Key, Row.Version}};
  Write.Writes = {{Row.Key, toJson(Record)}, headWrite("proposal")};
  Rows_.commit(std::move(Write), [this, Change, ChangeId,
                                  Done](Result<CommitOutcome> Outcome) {
    if (!Outcome)
      return Done(tl::unexpected(Outcome.error()));
    if (!Outcome->committed()) {
      Events_.record(EventId::ContractConflict, Change.Customer, "race");
      return Done(failure(ErrorCode::VersionConflict,
                          "another operator's change was written first"));
    }
    Events_.record(EventId::ContractProposed, Change.Customer, ChangeId);
    WaitingProposals_.push_back(WaitingProposal{Change.Customer, ChangeId, Done,
                                                MonotonicClock_.now()});
    poll();
  });
}

void ConfigManager::advancePendingChanges() {
  ControlLoop_.after(AdvanceInterval, [this] { advancePendingChanges(); });
  const bool Due = std::any_of(
      Contracts_.begin(), Contracts_.end(), [this](const auto &Entry) {
        return Entry.second.Record.Pending &&
               MonotonicClock_.now() - Entry.second.PendingSince >
                   ProposerTimeout;
      });
  if (ReadingAcknowledgements_ || (WaitingProposals_.empty() && !Due))
    return;
  ReadingAcknowledgements_ = true;
  Rows_.scan("member/", [this](Result<std::vector<TableRow>> Members) {
    ReadingAcknowledgements_ = false;
    if (Members)
      acceptIfAcknowledged(*Members);
    completeProposals(Members ? *Members : std::vector<TableRow>());
  });
}

static bool allAcknowledged(const std::vector<TableRow> &Members,
                            std::int64_t Version) {
  return std::all_of(
      Members.begin(), Members.end(), [Version](const TableRow &Row) {
        return Row.Value.value("acked", std::int64_t(0)) >= Version;
      });
}

void ConfigManager::acceptIfAcknowledged(const std::vector<TableRow> &Members) {
  for (const auto &[Customer, Contract] : Contracts_) {
    if (!Contract.Record.Pending || Members.empty())
      continue;
    const std::string &ChangeId = Contract.Record.Pending->ChangeId;
    const bool ProposedHere =
        std::any_of(WaitingProposals_.begin(), WaitingProposals_.end(),
                    [&](const WaitingProposal &Entry) {
                      return Entry.ChangeId == ChangeId;
                    });
    const bool Overdue =
        MonotonicClock_.now() - Contract.PendingSince > ProposerTimeout;
    if ((ProposedHere || Overdue) &&
        allAcknowledged(Members, Contract.RowVersion))
      accept(Contract);
  }
}

void ConfigManager::accept(const VersionedContract &Contract) {
  ContractRecord Record = Contract.Record;
  const std::string ChangeId = Record.Pending->ChangeId;
  Record.acceptPending();
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{contractKey(Record.Customer), Contract.RowVersion}};
  Change.Writes = {{contractKey(Record.Customer), toJson(Record)},
                   headWrite("acceptance")};
  Rows_.commit(std::move(Change),
               [this, Record, ChangeId](Result<CommitOutcome> Outcome) {
                 if (Outcome && Outcome->committed())
                   Events_.record(EventId::ContractAccepted, Record.Customer,
                                  fmt::format("version {}", Record.Version));
                 poll();
               });
}

void ConfigManager::completeProposals(const std::vector<TableRow> &Members) {
  std::vector<WaitingProposal> Remaining;
  std::vector<std::pair<ChangeDone, ChangeResult>> Completed;
  for (WaitingProposal &Entry : WaitingProposals_) {
    const auto Found = Contracts_.find(Entry.Customer);
    ChangeResult Out;
    Out.ChangeId = Entry.ChangeId;
    if (Found != Contracts_.end()) {
      Out.Record = Found->second.Record;
      const auto &History = Out.Record.History;
      Out.Accepted = std::any_of(History.begin(), History.end(),
                                 [&](const AcceptedChange &Change) {
                                   return Change.ChangeId == Entry.ChangeId;
                                 });
      for (const TableRow &Row : Members)
        if (Row.Value.value("acked", std::int64_t(0)) <
            Found->second.RowVersion)
          Out.UnacknowledgedBy.push_back(readMember(Row).Name);
    }
    // A daemon that acknowledged the accepted row applies its new terms.
    Out.InForce =
        Out.Accepted && !Members.empty() && Out.UnacknowledgedBy.empty();
    if (Out.InForce ||
        MonotonicClock_.now() - Entry.ProposedAt > InForceTimeout)
      Completed.emplace_back(std::move(Entry.Done), std::move(Out));
    else
      Remaining.push_back(std::move(Entry));
  }
  WaitingProposals_ = std::move(Remaining);
  for (auto &[Done, Result] : Completed)
    Done(std::move(Result));
}

void ConfigManager::deregister(std::function<void()> Done) {
  Deregistering_ = true;
  Transaction Change;
  Change.WriteId = randomId();
  Change.Checks = {{memberKey(Self_.Name), MemberRowVersion_}};
  Change.Writes = {{memberKey(Self_.Name), nullptr}, headWrite("member")};
  Rows_.commit(std::move(Change),
               [Done = std::move(Done)](Result<CommitOutcome>) { Done(); });
}

void ConfigManager::removeMembers(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names) {
    if (Name == Self_.Name || !MemberRegistry_.find(Name))
      continue;
    Rows_.read(memberKey(Name), [this](Result<TableRow> Row) {
      if (!Row || Row->Version == 0)
        return;
      Transaction Change;
      Change.WriteId = randomId();
      Change.Checks = {{Row->Key, Row->Version}};
      Change.Writes = {{Row->Key, nullptr}, headWrite("member")};
      Rows_.commit(std::move(Change), [](Result<CommitOutcome>) {});
    });
  }
}

} // namespace cuminroad
