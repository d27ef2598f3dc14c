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

/// A contract's record and the version of its row in the table.
struct VersionedContract {
  ContractRecord Record;
  std::int64_t RowVersion = 0;
  /// When this daemon first saw the pending change.
  TimePoint PendingSince{};
};

/// A change of a contract that an operator requests.
struct ContractChange {
  std::string Customer;
  /// The contract's version that the change is based on; 0 for a new contract.
  std::int64_t ExpectedVersion = 0;
  /// The new terms; without terms the contract is retired.
  std::optional<ContractTerms> Terms;
  /// Name of the operator, for the contract's history.
  std::string Operator;
};

/// The state of a change when a call that proposes it returns.
struct ChangeResult {
  ContractRecord Record;
  std::string ChangeId;
  /// Whether the change is accepted; otherwise it is still pending.
  bool Accepted = false;
  /// Whether every daemon applies the accepted terms.
  bool InForce = false;
  /// Names of the daemons that have not acknowledged the contract's row.
  std::vector<std::string> UnacknowledgedBy;
};

/// Maintains this daemon's membership and its copy of all contracts, and brings
/// operators' changes into force. Runs on the control thread.
///
/// Protocol: a change is written into the contract's row as pending. The write
/// checks the row's version, so that one of two concurrent changes fails. Each
/// daemon that reads the pending change applies the stricter of old and new
/// terms and acknowledges that in its own member row. The change is accepted
/// only when every member has acknowledged it, by a write that checks the row's
/// version again. A daemon is a member from before it serves requests until its
/// VM is finally gone, so no daemon that serves requests can have missed an
/// accepted change. An accepted row is only ever replaced by the next change.
class ConfigManager {
public:
  using ChangeDone = std::function<void(Result<ChangeResult>)>;

  ConfigManager(Table &Rows, Loop &ControlLoop, const Clock &MonotonicClock,
                EventLog &Events, const Settings &Config, const Identity &Self,
                ContractRegistry &Contracts, MemberRegistry &Members);

  /// Registers this daemon as a member and begins to poll the configuration.
  void start();
  /// Proposes a change. \p Done is called when the change is in force
  /// everywhere, when it has failed, or after 16 s, within which it should be
  /// in force.
  void propose(ContractChange Change, ChangeDone Done);
  /// Removes this daemon from the members, as the last step of a shutdown.
  void deregister(std::function<void()> Done);
  /// Removes daemons whose VM is finally gone from the members.
  void removeMembers(const std::vector<std::string> &Names);

  /// Whether all contracts have been read at least once.
  bool ready() const { return Ready_; }
  const std::map<std::string, VersionedContract> &contracts() const {
    return Contracts_;
  }
  const MemberRegistry &members() const { return MemberRegistry_; }
  /// \returns the version of the configuration's head row up to which this
  /// daemon applies all changes.
  std::int64_t appliedVersion() const { return AppliedHead_; }
  /// Called each time that contracts and members have been read again.
  std::function<void()> OnChanged;
  /// Called when another process has registered under this daemon's name.
  std::function<void()> OnReplaced;

private:
  /// A change proposed here whose caller waits for the result.
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
  /// Ends a poll, and starts the next one if poll() was called meanwhile.
  void finishPoll();
  void reload(std::int64_t Head);
  void applyContracts(const std::vector<TableRow> &Rows);
  void applyMembers(const std::vector<TableRow> &Rows);
  void acknowledge(std::int64_t Head);
  void publish();
  void writeProposal(const ContractChange &Change, const TableRow &Row,
                     ChangeDone Done);
  /// Reads the acknowledgements regularly while changes are pending.
  void advancePendingChanges();
  void acceptIfAcknowledged(const std::vector<TableRow> &Members);
  void accept(const VersionedContract &Contract);
  /// Calls back for proposals that are in force or have waited too long.
  void completeProposals(const std::vector<TableRow> &Members);
  /// \returns the write that raises the head row's version, which makes all
  /// daemons read the configuration again.
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
  /// Version of this daemon's member row; 0 until it is registered.
  std::int64_t MemberRowVersion_ = 0;
  /// Versions of the head row that this daemon has acknowledged and applied.
  std::int64_t AcknowledgedHead_ = 0;
  std::int64_t AppliedHead_ = 0;
  bool Ready_ = false;
  bool ReadingAcknowledgements_ = false;
  bool Polling_ = false;
  /// Whether contracts changed since the last acknowledgement.
  bool ContractsChanged_ = true;
  bool PollAgain_ = false;
  bool Deregistering_ = false;
  std::vector<WaitingProposal> WaitingProposals_;
};

} // namespace cuminroad

#endif
