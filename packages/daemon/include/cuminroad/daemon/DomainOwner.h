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
#include "cuminroad/daemon/ConfigManager.h"
#include "cuminroad/daemon/GrantAllocator.h"
#include "cuminroad/daemon/Identity.h"
#include "cuminroad/daemon/JobStore.h"
#include "cuminroad/daemon/ShareManager.h"
#include "cuminroad/daemon/VmSession.h"
#include "cuminroad/net/HttpClient.h"
#include "cuminroad/net/Loop.h"
#include "cuminroad/scheduling/Scheduler.h"
#include "cuminroad/store/VmList.h"

namespace cuminroad {

/// Dependencies of a DomainOwner. Every referenced object must outlive it.
struct OwnerContext {
  const Settings &Config;
  const Identity &Self;
  const Clock &MonotonicClock;
  EventLog &Events;
  Loop &ControlLoop;
  HttpClient &Client;
  /// Must retry a transaction whose reply was lost until its outcome is known.
  Table &PlatformTable;
  VmList &VmListSource;
  const ConfigManager &SharedConfig;
  /// The last VM list that this daemon read. An owner that was chosen while the
  /// table was unreachable starts from it.
  VmListing LastListing;
};

/// One term of ownership of a failure domain, identified by its epoch.
struct OwnerTerm {
  std::int64_t Epoch = 0;
  std::string EpochKey;
  /// Version of the epoch row in the table. 0 for an owner that was chosen
  /// while the table was unreachable; such an owner accepts no new jobs.
  std::int64_t EpochVersion = 0;
  /// Whether tasks and grants of an earlier owner may still be in effect.
  bool Inherited = false;
};

/// Schedules one failure domain for one term of ownership: claims the domain's
/// VMs, carries out the scheduler's commands, keeps the rows of the jobs, and
/// grants request slots to the frontends of the domain's daemons. Runs on the
/// control thread.
class DomainOwner final : public VmSessionListener,
                          public DomainUsage,
                          public std::enable_shared_from_this<DomainOwner> {
public:
  using SubmitCallback = std::function<void(Result<std::string>)>;

  DomainOwner(const OwnerContext &Context, OwnerTerm Term);

  void start();
  /// Stops immediately; no command is sent afterwards.
  void close();
  /// Applies changed contracts and members of the shared configuration.
  void configChanged();

  /// Checks a new job and stores it in the table. \p Done receives its id, or
  /// the id of the existing job with the same name.
  void submit(JobSpec Spec, SubmitCallback Done);
  /// Cancels an unfinished job. \p Done is called once the cancellation is
  /// stored in the table.
  void cancel(const std::string &Job, std::function<void(Result<void>)> Done);
  /// Stops placing new work on a VM.
  void drain(const std::string &Vm);
  /// Applies what a frontend reports. \returns the grants that it may use now.
  GrantReply handleGrantRequest(const GrantRequest &Request);

  std::optional<JobView> job(const std::string &Id) const;
  std::vector<JobView> jobs() const;
  std::vector<VmView> vms() const;
  /// Whether the unfinished jobs have been read from the table. Until then no
  /// job is accepted or scheduled.
  bool jobsLoaded() const { return JobsLoaded_; }
  const OwnerTerm &term() const { return Term_; }
  /// Called when a VM or the table shows that another daemon holds this term's
  /// epoch or a newer one.
  std::function<void(std::int64_t Epoch)> OnSuperseded;
  /// Called when the frontends of all the domain's daemons should renew their
  /// grants now.
  std::function<void()> OnGrantsChanged;
  /// Called with the names of the daemons that should renew their grants now.
  std::function<void(const std::vector<std::string> &)> OnGrantRenewalWanted;
  /// Called with the names of the daemons whose entry VM is permanently gone.
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
  ShareAmount maxUsage(const std::string &Customer) const override;
  bool usageFullyKnown() const override;

private:
  struct KnownVm {
    ListedVm ListEntry;
    std::shared_ptr<VmSession> Session;
    bool Leaving = false;
    /// Tasks reported by a claim that succeeded before the jobs were loaded.
    std::optional<std::vector<InventoryTask>> Inventory;
    /// Tasks that ended before the jobs were loaded.
    std::vector<EndedTask> EndedTasks;
  };

  void pollVmList();
  void applyVmList(const VmListing &Listing);
  void addVm(const ListedVm &ListEntry);
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
  /// Requests in flight on the VMs that were sent by daemons which have not yet
  /// reported their grants to this owner. Collected from all VMs in one round.
  struct UntrackedRequests {
    std::size_t PendingResponses = 0;
    bool AllVmsResponded = true;
    CountByName CountByVm;
    CountByName CountByCustomer;
  };
  void tryFinishRecoveryEarly();
  void countUntrackedRequests(const std::string &Vm,
                              const std::vector<InFlightRequest> &Requests,
                              UntrackedRequests &Totals) const;
  KnownVm *findVm(const std::string &Vm);

  OwnerContext Context_;
  OwnerTerm Term_;
  std::unique_ptr<Scheduler> Scheduler_;
  GrantAllocator Grants_;
  std::shared_ptr<JobStore> Jobs_;
  std::shared_ptr<ShareManager> Shares_;
  std::map<std::string, KnownVm> Vms_;
  /// Incremented when a VM is added to the list of VMs that frontends receive.
  std::int64_t VmTableVersion_ = 0;
  bool VmListRead_ = false;
  bool JobsLoaded_ = false;
  bool Closed_ = false;
  std::map<std::string, ContractTerms> Contracts_;
  /// Tasks whose start is being written to the table; the start command is sent
  /// once the write has committed.
  std::set<TaskAttempt> StartsBeingRecorded_;
};

} // namespace cuminroad

#endif
