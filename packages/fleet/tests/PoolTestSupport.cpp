#include "PoolTestSupport.h"

#include <sstream>

#include <fmt/format.h>

namespace cuminroad {

void AllowAllAdvisor::advise(const StepName &Step,
                             std::span<const std::string> Vms, milliseconds,
                             Done Done) {
  std::vector<AdviceTicket> Allowed;
  for (const std::string &Vm : Vms)
    Allowed.push_back(AdviceTicket{Vm, Step.Job});
  // One call in four is slow, so that others wait behind it.
  const milliseconds Delay(++Calls_ % 4 == 0 ? 300 : 20);
  ControlLoop_.after(Delay, [Allowed, Done] { Done(Allowed); });
}

Result<VmEntry> TestFormats::decodeVm(std::string_view Key,
                                      std::string_view Bytes) const {
  std::istringstream Fields{std::string(Bytes)};
  int Tasks = 0;
  if (!(Fields >> Tasks))
    return failure(ErrorCode::MalformedInput);
  VmEntry Out;
  Out.Vm.Id = Key;
  Out.Vm.Total = TestTaskSize * Tasks;
  Out.Vm.Incarnation = 1;
  Out.Service = TestService;
  Out.Address = std::string(Key) + ":1";
  Fields >> Out.Vm.Incarnation >> Out.Address;
  if (std::int64_t ClockMs = 0; Fields >> ClockMs)
    Out.Clock = milliseconds(ClockMs);
  if (std::string Label; Fields >> Label)
    Out.Vm.Labels.push_back(Label);
  return Out;
}

QueueTerms makeTestQueue() {
  QueueTerms Out;
  Out.Name = "q";
  Out.Service = TestService;
  Out.MaxAttempts = 3;
  return Out;
}

void submitTestJob(FakeRows &Rows, const std::string &Job, StepPlan Step) {
  JobRequest Request;
  Request.Queue = "q";
  Request.Service = TestService;
  Request.Plan.Id = Job;
  Request.Plan.Steps.push_back(std::move(Step));
  RowTransaction Change;
  Change.Puts.push_back(RowPut{requestRow(Job), encodeRequest(Request)});
  Rows.apply(Change);
}

TestDaemon::TestDaemon(std::string Name, FakeLoop &ControlLoop, FakeRows &Rows,
                       FakeVms &Vms, const QueueTerms &Queue, double CpuShare)
    : Store(Rows, ControlLoop), Calls(Vms, ControlLoop), Name_(std::move(Name)),
      CpuShare_(CpuShare), ControlLoop_(Process, ControlLoop),
      GatedStore_(Process, Store), GatedCalls_(Process, Calls),
      MonotonicClock_(ControlLoop.MonotonicClock), Events_(Name_, 100, nullptr),
      Peers_(Http_), Advisor_(ControlLoop), Directory_(Formats_, Events_),
      Context_{Settings_,    Self_,       ControlLoop.MonotonicClock,
               SystemClock_, Events_,     ControlLoop_,
               GatedStore_,  GatedCalls_, Advisor_,
               Peers_,       Queues_,     Directory_,
               Metrics_} {
  QueueConfig Config;
  Config.Version = 1;
  Config.Routes.push_back(QueueRoute{"h", "/q/", milliseconds(3000), Queue});
  Queues_.apply(Config);
  start();
}

TestDaemon::~TestDaemon() { kill(); }

void TestDaemon::start() {
  Self_ =
      DaemonIdentity{Name_, fmt::format("{}-{}", Name_, ++IncarnationCount_),
                     "d", Name_ + ":1", CpuShare_};
  Lease_ =
      std::make_shared<PoolLease>(GatedStore_, ControlLoop_, MonotonicClock_,
                                  Events_, Self_, std::string(TestService));
  Lease_->OnAcquired = [this](const PoolTerm &Term) {
    Owner_ = std::make_shared<PoolOwner>(Context_, Term);
    Owner_->OnReplaced = [this] {
      Owner_.reset();
      Lease_->resumeStandby(milliseconds(0));
    };
    Owner_->OnReleased = [this] {
      Owner_.reset();
      Lease_->resumeStandby(milliseconds(10000));
    };
    Owner_->start();
    Owner_->setPeers(Peers);
  };
  Lease_->start();
}

void TestDaemon::kill() {
  Process.discard();
  if (Lease_)
    Lease_->stop();
  if (Owner_)
    Owner_->close();
  Owner_.reset();
  Lease_.reset();
}

void TestDaemon::restart() {
  kill();
  start();
}

void TestDaemon::setAccounts(const std::vector<ClientAccount> &Accounts) {
  QueueConfig Config = Queues_.config();
  ++Config.Version;
  Config.Accounts.emplace();
  for (const ClientAccount &Each : Accounts)
    Config.Accounts->push_back(AccountEntry{Each, {}});
  Queues_.apply(Config);
  if (Owner_)
    Process.run([this] { Owner_->queuesChanged(); });
}

void TestDaemon::listVms(const std::vector<StoredRow> &Rows) {
  Process.run([this, Rows] { Directory_.tableRead(Rows); });
}

} // namespace cuminroad
