#ifndef CUMINROAD_DAEMON_CONFIGMANAGER_H
#define CUMINROAD_DAEMON_CONFIGMANAGER_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/contract/ContractRecord.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/ContractRegistry.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/MemberRegistry.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/store/Table.h"

namespace cuminroad {

/// A contract's row with its version in the table.
struct VersionedContract {
  ContractRecord Record;
  std::int64_t RowVersion = 0;
  /// When this daemon first saw the pending change.
  TimePoint PendingSince{};
};

/// What an operator wants done to a contract.
struct ContractChange {
  std::string Customer;
  /// The version that the operator saw; 0 for a new contract.
  std::int64_t ExpectedVersion = 0;
  /// The new terms; none retires the contract.
  std::optional<ContractTerms> Terms;
  std::string Operator;
};

/// How far a change got.
struct ChangeResult {
  ContractRecord Record;
  std::string ChangeId;
  /// Whether the change is accepted; otherwise it is still pending.
  bool Accepted = false;
  /// Whether every daemon applies the accepted terms.
  bool InForce = false;
  /// The daemons that have not acknowledged it.
  std::vector<std::string> UnacknowledgedBy;
};

/// Keeps this daemon's membership and its copy of all contracts, and brings
/// operators' changes into force. Runs on the control thread.
///
/// Protocol: a change is written into the contract's row as pending, checked
/// against the row's version, so that one of two racing operators loses. Every
/// daemon that sees it applies the stricter of old and new terms and
/// acknowledges in its own member row. Only when every member has acknowledged
/// is the change accepted, by a write checked against the row's version. A
/// daemon is a member from before it serves until its VM is finally gone, so no
/// daemon that serves can have missed an accepted change; and an accepted row
/// is only ever replaced by the next change.
class ConfigManager {
public:
  using ChangeDone = std::function<void(Result<ChangeResult>)>;

  ConfigManager(Table &Rows, Loop &ControlLoop, const Clock &MonotonicClock,
                EventLog &Events, const Settings &Config, const Identity &Self,
                ContractRegistry &Contracts, MemberRegistry &Members);

  /// Registers this daemon and begins to follow the configuration.
  void start();
  /// Proposes a change. \p Done comes when it is in force everywhere, has
  /// failed, or is not in force after the time within which it should be.
  void propose(ContractChange Change, ChangeDone Done);
  /// Removes the membership of this daemon; the last thing of a shutdown.
  void deregister(std::function<void()> Done);
  /// Removes daemons whose VM is finally gone.
  void removeMembers(const std::vector<std::string> &Names);

  /// Whether all contracts have been read since the start.
  bool ready() const { return Ready_; }
  const std::map<std::string, VersionedContract> &contracts() const {
    return Contracts_;
  }
  const MemberRegistry &members() const { return MemberRegistry_; }
  /// \returns the version of the configuration that this daemon applies.
  std::int64_t appliedVersion() const { return AppliedHead_; }
  /// Called after each change of terms or members.
  std::function<void()> OnChanged;
  /// Called when another process has taken this daemon's name.
  std::function<void()> OnReplaced;

private:
  struct WaitingProposal {
    std::string Customer;
    std::string ChangeId;
    ChangeDone Done;
    TimePoint ProposedAt{};
  };

  void registerMember();
  nlohmann::json memberValue(std::int64_t AcknowledgedHead) const;
  void poll();
  void pollPeriodically();
  void finishPoll();
  void reload(std::int64_t Head);
  void applyContracts(const std::vector<TableRow> &Rows);
  void applyMembers(const std::vector<TableRow> &Rows);
  void acknowledge(std::int64_t Head);
  void publish();
  void writeProposal(const ContractChange &Change, const TableRow &Row,
                     ChangeDone Done);
  void advancePendingChanges();
  void acceptIfAcknowledged(const std::vector<TableRow> &Members);
  void accept(const VersionedContract &Contract);
  void completeProposals(const std::vector<TableRow> &Members);
  static RowWrite headWrite(const std::string &Reason);

  Table &Rows_;
  Loop &ControlLoop_;
  const Clock &MonotonicClock_;
  EventLog &Events_;
  const Settings &Config_;
  Identity Self_;
  ContractRegistry &ContractRegistry_;
  MemberRegistry &MemberRegistry_;
  std::map<std::string, VersionedContract> Contracts_;
  std::int64_t MemberRowVersion_ = 0;
  std::int64_t AcknowledgedHead_ = 0;
  std::int64_t AppliedHead_ = 0;
  bool Ready_ = false;
  bool ReadingAcknowledgements_ = false;
  bool Polling_ = false;
  /// Contracts changed since the last acknowledgement.
  bool ContractsChanged_ = true;
  bool PollAgain_ = false;
  bool Deregistering_ = false;
  std::vector<WaitingProposal> WaitingProposals_;
};

} // namespace cuminroad

#endif
