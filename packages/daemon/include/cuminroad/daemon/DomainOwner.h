#ifndef CUMINROAD_DAEMON_DOMAINOWNER_H
#define CUMINROAD_DAEMON_DOMAINOWNER_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cuminroad/base/EventLog.h"
#include "cuminroad/contract/Settings.h"
#include "cuminroad/daemon/ConfigKeeper.h"
#include "cuminroad/daemon/GrantBook.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/JobStore.h"
#include "cuminroad/daemon/ShareKeeper.h"
#include "cuminroad/daemon/VmSession.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/scheduling/Scheduler.h"
#include "cuminroad/store/VmList.h"

namespace cuminroad {

/// What an owner works with; all of it outlives the owner.
struct OwnerContext {
  const Settings &Config;
  const Identity &Self;
  const Clock &MonotonicClock;
  EventLog &Events;
  Loop &ControlLoop;
  HttpClient &Client;
  /// Resolves lost replies without giving up.
  Table &PlatformTable;
  VmList &VmListSource;
  const ConfigKeeper &SharedConfig;
  /// The VMs as last listed; used where the platform can't be reached.
  VmListing LastListing;
};

/// Under which epoch a domain is owned.
struct OwnerTerm {
  std::int64_t Epoch = 0;
  std::string EpochKey;
  /// Version of the epoch row; 0 for an owner chosen without the table, which
  /// takes no new jobs.
  std::int64_t EpochVersion = 0;
  /// Whether an earlier owner may have left tasks and grants.
  bool HasPredecessor = false;
};

/// Schedules one failure domain for one term of ownership: holds its VMs,
/// decides by the scheduler, keeps the jobs' rows, and grants slots to the
/// domain's front doors. Runs on the control thread.
class DomainOwner final : public VmSessionListener,
                          public ShareUse,
                          public std::enable_shared_from_this<DomainOwner> {
public:
  using SubmitCallback = std::function<void(Result<std::string>)>;

  DomainOwner(const OwnerContext &Context, OwnerTerm Term);

  void start();
  /// Stops all work at once; no command leaves after this.
  void close();
  /// Takes in changed contracts and members.
  void configChanged();

  void submit(JobSpec Spec, SubmitCallback Done);
  /// Cancels an unfinished job; \p Done comes when that is in the table.
  void cancel(const std::string &Job, std::function<void(Result<void>)> Done);
  /// Gives a VM no new work.
  void drain(const std::string &Vm);
  GrantReply handleGrantRequest(const GrantRequest &Request);

  std::optional<JobView> job(const std::string &Id) const;
  std::vector<JobView> jobs() const;
  std::vector<VmView> vms() const;
  /// Whether the jobs of earlier owners are known.
  bool jobsLoaded() const { return JobsLoaded_; }
  const OwnerTerm &term() const { return Term_; }
  /// Called when another daemon holds this term's epoch or a newer one.
  std::function<void(std::int64_t Epoch)> OnSuperseded;
  /// Called when the grants of all front doors should be renewed at once.
  std::function<void()> OnGrantsChanged;
  /// Called with the daemons whose grants should be renewed at once.
  std::function<void(const std::vector<std::string> &)> OnGrantRenewalWanted;
  /// Called with the names of daemons whose VM is gone.
  std::function<void(const std::vector<std::string> &)> OnEntryVmsGone;

  void onVmClaimed(const std::string &Vm,
                   const std::vector<InventoryTask> &Running) override;
  void onTasksEnded(const std::string &Vm,
                    const std::vector<EndedTask> &Tasks) override;
  void onUsageReported(const std::string &Vm, const TaskAttempt &Task,
                       const Capacity &Used) override;
  void onTaskStarted(const std::string &Vm, const TaskAttempt &Task) override;
  void onStartRefused(const std::string &Vm, const TaskAttempt &Task,
                      const std::string &Reason) override;
  void onVmLeaving(const std::string &Vm) override;
  void onLeasesLapsed(const std::string &Vm) override;
  void onClaimSuperseded(const std::string &Vm, std::int64_t Epoch,
                         const std::string &Holder) override;

  ShareAmount demand(const std::string &Customer) const override;
  ShareAmount bound(const std::string &Customer) const override;
  bool certain() const override;

private:
  struct KnownVm {
    ListedVm ListEntry;
    std::shared_ptr<VmSession> Session;
    bool Leaving = false;
    /// Claimed before the jobs were loaded.
    std::optional<std::vector<InventoryTask>> Inventory;
    std::vector<EndedTask> EndedTasks;
  };

  void pollVmList();
  void applyVmList(const VmListing &Listing);
  void addVm(const ListedVm &Listed);
  void recoverJobs(const std::vector<JobRow> &Rows);
  void runSchedulerPeriodically();
  void runScheduler();
  void execute(const StartTask &Command);
  void execute(const StopTask &Command);
  void execute(const ThrottleTask &Command);
  void execute(const EndJob &Command);
  void applyTaskEnd(const std::string &Vm, const EndedTask &Task);
  void updateVmSlots(const std::string &Vm);
  void applyCustomerLimits();
  /// What the VMs said of requests whose daemons are not heard of.
  struct UntrackedRequests {
    std::size_t PendingReplies = 0;
    bool AllVmsReplied = true;
    Counts CountByVm;
    Counts CountByCustomer;
  };
  void settleGrantsEarly();
  void countUntrackedRequests(const std::string &Vm,
                              const std::vector<InFlightRequest> &Requests,
                              UntrackedRequests &Totals) const;
  KnownVm *findVm(const std::string &Vm);

  OwnerContext Context_;
  OwnerTerm Term_;
  std::unique_ptr<Scheduler> Scheduler_;
  GrantBook Grants_;
  std::shared_ptr<JobStore> Jobs_;
  std::shared_ptr<ShareKeeper> Shares_;
  std::map<std::string, KnownVm> Vms_;
  std::int64_t VmTableVersion_ = 0;
  bool VmListRead_ = false;
  bool JobsLoaded_ = false;
  bool Closed_ = false;
  std::map<std::string, ContractTerms> Contracts_;
  /// Starts that wait until they are in the table.
  std::set<TaskAttempt> StartsBeingRecorded_;
};

} // namespace cuminroad

#endif
