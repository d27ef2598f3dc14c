#ifndef CUMINROAD_FLEET_TESTS_DISRUPTEDPOOL_H
#define CUMINROAD_FLEET_TESTS_DISRUPTEDPOOL_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "PoolTestSupport.h"
#include "RunRules.h"

namespace cuminroad {

/// The kinds of disruptions that a model run injects.
struct Disruptions {
  /// Orders are lost, late, repeated, or their answers overtake each other.
  bool Orders = true;
  /// VMs crash and come back under the same id and address.
  bool Crashes = true;
  /// Another VM takes the address of one that has crashed.
  bool ReusedAddresses = true;
  /// VMs are cut off from daemons, or frozen.
  bool Cuts = true;
  /// Entries of VMs vanish, are of an earlier incarnation, can't be read, or
  /// carry the address of another VM.
  bool OddEntries = true;
  /// VMs shrink and grow.
  bool Shrinks = true;
  /// The store is away for all daemons, or turns some away.
  bool Store = true;
  /// Daemons are killed, or frozen and thawed.
  bool Daemons = true;
  /// A VM's new incarnation carries out late orders for the one before.
  bool LateOrdersSurviveRestarts = false;
  /// VMs list few ends at a time.
  bool ShortEndLists = false;
  /// Jobs belong to accounts with quotas.
  bool Quotas = false;
  /// A capacity that the owner could not read anew still binds.
  bool StaleCapacityBinds = true;
};

/// A model of a pool under series of disruptions that overlap: VMs, the store,
/// and daemons that may own the pool. Deterministic for a seed.
class DisruptedPool {
public:
  DisruptedPool(unsigned Seed, Disruptions Kinds);

  void run();
  /// \returns what broke the rules on runs, as the VMs saw it.
  std::vector<std::string> violations() const;
  /// \returns what happened, for a failed test.
  std::string history() const;

private:
  /// A VM's entry in the store.
  struct Entry {
    int Tasks = 0;
    std::int64_t Incarnation = 0;
    std::string Address;
    std::string Label;
    bool Readable = true;
    milliseconds Clock{0};
    bool operator==(const Entry &) const = default;
  };
  struct ModelVm {
    std::string Id;
    std::string Address;
    int Tasks = 0;
    std::string Label;
    /// The label of the incarnation before.
    std::string EarlierLabel;
    std::int64_t Incarnation = 1;
    bool Up = true;
    /// Until then its calls to the store fail.
    TimePoint WithoutStoreUntil{};
    /// Until then it carries nothing out.
    TimePoint FrozenUntil{};
    /// When it last wrote its entry.
    TimePoint WrittenAt{};
  };
  /// A daemon with what it last read of the VMs' entries.
  struct ModelDaemon {
    std::unique_ptr<TestDaemon> Process;
    std::map<std::string, Entry> Read;
    TimePoint WithoutStoreUntil{};
    std::map<std::string, TimePoint> CutOffUntil;
  };
  using History = std::vector<std::pair<TimePoint, int>>;

  TimePoint now() const { return ControlLoop_.MonotonicClock.now(); }
  bool chance(unsigned OneIn) { return Random_() % OneIn == 0; }
  milliseconds between(int Shortest, int Longest);
  ModelVm &anyVm() { return Vms_[Random_() % Vms_.size()]; }
  ModelDaemon &anyDaemon() { return Daemons_[Random_() % Daemons_.size()]; }
  void note(const std::string &Text);
  void addVm(const std::string &Id, const std::string &Address);
  void addDaemon(const std::string &Name);
  VmCallFault orderFault(ModelDaemon &Daemon, const std::string &Vm);
  StoreFault storeFault(ModelDaemon &Daemon);
  StepPlan anyStep();
  void submit();
  void cancel(const std::string &Job);
  void disrupt();
  void disruptVm();
  void disruptEntry();
  void disruptStore();
  void disruptDaemon();
  void crash(ModelVm &Vm);
  void comeBack(const std::string &Id);
  void replaceVm(const std::string &Id);
  void resize(ModelVm &Vm, int Tasks);
  std::string anyLabel() { return chance(2) ? "kind1" : "kind2"; }
  Entry trueEntry(const ModelVm &Vm) const;
  ModelVm *findVm(const std::string &Id);
  /// VMs write their entries, entries expire, and daemons read them.
  void beat();
  void readEntries(ModelDaemon &Daemon);
  int permittedTasks(const std::string &Vm, TimePoint Time) const;

  std::mt19937 Random_;
  Disruptions Kinds_;
  FakeLoop ControlLoop_;
  FakeRows Rows_;
  FakeVms Fake_;
  std::vector<ModelVm> Vms_;
  std::map<std::string, Entry> Entries_;
  /// Entries that another writer wrote, and until when.
  std::map<std::string, TimePoint> OverwrittenUntil_;
  std::vector<ModelDaemon> Daemons_;
  TimePoint StoreAwayUntil_{};
  TimePoint StormUntil_{};
  bool Calm_ = false;
  RunRules::Facts Facts_;
  /// Jobs half of whose runs fail.
  std::set<std::string> HopelessJobs_;
  int JobCount_ = 0;
  int VmCount_ = 0;
  /// The true capacity of each VM in tasks, from each time on.
  std::map<std::string, History> Capacities_;
  /// The capacities that daemons have read of each VM, from each time on.
  std::map<std::pair<std::size_t, std::string>, History> ReadCapacities_;
  std::vector<std::pair<TimePoint, std::string>> Notes_;
};

} // namespace cuminroad

#endif
