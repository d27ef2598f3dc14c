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
  const Clock &Time;
  EventLog &Events;
  Loop &Home;
  HttpClient &Client;
  /// Resolves lost replies without giving up.
  Table &Rows;
  VmList &List;
  const ConfigKeeper &Contracts;
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
  bool Inherited = false;
};

/// Schedules one failure domain for one term of ownership: holds its VMs,
/// decides by the scheduler, keeps the jobs' rows, and grants slots to the
/// domain's front doors. Runs on the control thread.
class DomainOwner final : public VmSessionListener,
                          public ShareUse,
                          public std::enable_shared_from_this<DomainOwner> {
public:
  using Submitted = std::function<void(Result<std::string>)>;

  DomainOwner(const OwnerContext &Context, OwnerTerm Term);

  void start();
  /// Stops all work at once; no command leaves after this.
  void close();
  /// Takes in changed contracts and members.
  void configChanged();

  void submit(JobSpec Spec, Submitted Done);
  /// Cancels an unfinished job; \p Done comes when that is in the table.
  void cancel(const std::string &Job, std::function<void(Result<void>)> Done);
  /// Gives a VM no new work.
  void drain(const std::string &Vm);
  GrantReply answerGrants(const GrantRequest &Request);

  std::optional<JobView> job(const std::string &Id) const;
  std::vector<JobView> jobs() const;
  std::vector<VmView> vms() const;
  /// Whether the jobs of earlier owners are known.
  bool loaded() const { return Loaded_; }
  const OwnerTerm &term() const { return Term_; }
  /// Called when another daemon holds this term's epoch or a newer one.
  std::function<void(std::int64_t Epoch)> OnStale;
  /// Called when the grants of all front doors should be renewed at once.
  std::function<void()> OnGrantsChanged;
  /// Called with the daemons whose grants should be renewed at once.
  std::function<void(const std::vector<std::string> &)> OnNudge;
  /// Called with the names of daemons whose VM is gone.
  std::function<void(const std::vector<std::string> &)> OnGoneEntries;

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
    ListedVm Listed;
    std::shared_ptr<VmSession> Session;
    bool Leaving = false;
    /// Claimed before the jobs were loaded.
    std::optional<std::vector<InventoryTask>> Inventory;
    std::vector<EndedTask> Ends;
  };

  void readList();
  void applyList(const VmListing &Listing);
  void addVm(const ListedVm &Listed);
  void loadedJobs(const std::vector<JobRow> &Rows);
  void tick();
  void run();
  void execute(const StartTask &Do);
  void execute(const StopTask &Do);
  void execute(const ThrottleTask &Do);
  void execute(const EndJob &Do);
  void applyEnd(const std::string &Vm, const EndedTask &Task);
  void updateSlots(const std::string &Vm);
  void applyLimits();
  /// What the VMs said of requests whose daemons are not heard of.
  struct UnheardRequests {
    std::size_t Open = 0;
    bool Complete = true;
    Counts OnVms;
    Counts OfCustomers;
  };
  void settleEarly();
  void countUnheard(const std::string &Vm,
                    const std::vector<InFlightRequest> &Requests,
                    UnheardRequests &Into) const;
  KnownVm *find(const std::string &Vm);

  OwnerContext Context_;
  OwnerTerm Term_;
  std::unique_ptr<Scheduler> Scheduler_;
  GrantBook Grants_;
  std::shared_ptr<JobStore> Jobs_;
  std::shared_ptr<ShareKeeper> Shares_;
  std::map<std::string, KnownVm> Vms_;
  std::int64_t VmTable_ = 0;
  bool ListRead_ = false;
  bool Loaded_ = false;
  bool Closed_ = false;
  std::map<std::string, ContractTerms> Contracts_;
  /// Starts that wait until they are in the table.
  std::set<TaskAttempt> Recording_;
};

} // namespace cuminroad

#endif
