// Measures the processor time of a start, with its share of everything that a
// pool's owner decides and records for it, in a steady flow of short jobs on
// pools of several sizes. Prints a Markdown table with one column a part.
//
// The last column is a checksum of all starts and of all rows written: a change
// that only saves time leaves it as it is.
//
// usage: owner_benchmark [VMS] [SECONDS]
//
// VMS restricts the run to one size; 0 runs all.

#include <array>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <map>
#include <random>

#include <fmt/format.h>

#include "cuminroad/fakes/FakeLoop.h"
#include "cuminroad/pool/PoolScheduler.h"
#include "cuminroad/pool/SystemWallClock.h"
#include "cuminroad/store/FencedWriter.h"

using namespace cuminroad;

namespace {

constexpr milliseconds Tick{5};
constexpr milliseconds PassInterval{15};
constexpr milliseconds CommitDelay{50};
constexpr milliseconds StartLatency{5};
/// Time from the end of a job until it is forgotten.
constexpr milliseconds Retention{3000};
/// Time between the reports of a VM on which no run ends.
constexpr milliseconds QuietReportInterval{1000};
constexpr int StartsPerVmAndSecond = 4;
constexpr int MaxStartsPerSecond = 1000;
constexpr double MeanTasksPerJob = 9.6;
constexpr int WarmUpSeconds = 2;

/// The parts of an owner's work that are measured.
enum class Part { Jobs, Pass, Answers, Ends, Reports, Advice, Records };
constexpr std::array<std::string_view, 7> PartNames{
    "jobs", "pass", "answers", "ends", "reports", "advice", "records"};

double threadCpuUs() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e6 +
         static_cast<double>(Now.tv_nsec) / 1e3;
}

/// FNV-1a over all bytes added so far.
class Checksum {
public:
  void add(std::string_view Bytes) {
    for (const char Byte : Bytes)
      Value_ = (Value_ ^ static_cast<unsigned char>(Byte)) * 1099511628211U;
  }
  void add(std::int64_t Number) { add(fmt::format("{},", Number)); }
  std::uint64_t value() const { return Value_; }

private:
  std::uint64_t Value_ = 14695981039346656037U;
};

/// A store that accepts each transaction after CommitDelay. It keeps the
/// transactions until their checksum is taken, outside of the measured time.
class AcceptingStore final : public RowStore {
public:
  explicit AcceptingStore(Loop &ControlLoop) : ControlLoop_(ControlLoop) {}

  void commit(RowTransaction Change, milliseconds /*Timeout*/,
              CommitDone Done) override {
    Changes.push_back(std::move(Change));
    ControlLoop_.after(CommitDelay,
                       [Version = ++Version_, Done = std::move(Done)] {
                         Done(RowCommit{Version, {}});
                       });
  }
  void read(RowRange /*Range*/, milliseconds /*Timeout*/,
            PageDone /*Done*/) override {}
  void changes(ChangesQuery /*Query*/, PageDone /*Done*/) override {}
  milliseconds storeTime() const override { return milliseconds(0); }
  TimePoint lastContact() const override { return TimePoint{}; }
  TimePoint lastFailure() const override { return TimePoint{}; }

  std::vector<RowTransaction> Changes;

private:
  Loop &ControlLoop_;
  std::int64_t Version_ = 1;
};

/// An owner's scheduler and writer under a steady flow of jobs.
class OwnerFlow {
public:
  explicit OwnerFlow(int Vms)
      : Store_(ControlLoop_),
        Writer_(std::make_shared<FencedWriter>(
            Store_, ControlLoop_, ControlLoop_.MonotonicClock,
            FencedWriter::HeadRow{
                RowName{"owners", "pool-s", "owner"},
                [](std::int64_t Serial) { return std::to_string(Serial); },
                [](const std::string &) { return std::int64_t{0}; }})),
        Scheduler_(makePoolScheduler(ControlLoop_.MonotonicClock, SystemClock_,
                                     PoolOptions{})),
        Vms_(static_cast<std::size_t>(Vms)),
        JobsPerTick_(std::min(StartsPerVmAndSecond * Vms, MaxStartsPerSecond) /
                     MeanTasksPerJob * static_cast<double>(Tick.count()) /
                     1000) {
    Writer_->begin(1, now());
    for (std::size_t Number = 0; Number < Vms_.size(); ++Number) {
      SimulatedVm &Vm = Vms_[Number];
      Vm.Id = fmt::format("i-{:08x}{:09x}", Number * 2654435761U, Number);
      Numbers_[Vm.Id] = Number;
      PoolVm Description;
      Description.Id = Vm.Id;
      Description.Domain = fmt::format("zone-{}", Number % 3);
      Description.Host = fmt::format("10.0.{}.{}", Number / 250, Number % 250);
      Description.Labels = {"kind-a", fmt::format("rack-{}", Number % 12)};
      Description.Total = Capacity{16000, 32768, 0};
      Description.Incarnation = 1;
      Scheduler_->vmListed(Description);
      Scheduler_->vmCapacityAge(Vm.Id, milliseconds(0));
      Scheduler_->vmReported(Vm.Id, 1, RunReport::complete({}), now());
    }
  }

  void runFor(int Seconds) {
    const TimePoint End = now() + milliseconds(Seconds * 1000);
    while (now() < End)
      runTick();
  }
  void resetTimes() {
    Times_.fill(0);
    Starts_ = 0;
    Rows_ = 0;
  }
  double microsecondsPerStart(Part Of) const {
    return Times_[static_cast<std::size_t>(Of)] / static_cast<double>(Starts_);
  }
  std::size_t starts() const { return Starts_; }
  std::size_t rows() const { return Rows_; }
  std::uint64_t checksum() const { return Checksum_.value(); }

private:
  struct SimulatedVm {
    std::string Id;
    std::vector<RunningTask> Running;
    std::vector<TaskEnd> Ends;
    std::int64_t LastEnd = 0;
    TimePoint LastReportAt{};
  };

  TimePoint now() const { return ControlLoop_.MonotonicClock.now(); }

  template <typename F> void measure(Part Of, F Work) {
    const double Begin = threadCpuUs();
    Work();
    Times_[static_cast<std::size_t>(Of)] += threadCpuUs() - Begin;
  }

  void runTick() {
    submitJobs();
    answerStarts();
    answerAdvice();
    endRuns();
    if (now() - LastPassAt_ >= PassInterval)
      runPass();
    measure(Part::Records, [this] { ControlLoop_.runFor(Tick); });
    for (const RowTransaction &Change : Store_.Changes)
      for (const RowPut &Put : Change.Puts) {
        Checksum_.add(Put.Name.Key);
        Checksum_.add(Put.Value);
        ++Rows_;
      }
    Store_.Changes.clear();
  }

  void submitJobs() {
    JobsDue_ += JobsPerTick_;
    std::vector<std::pair<JobPlan, QueueTerms>> New;
    for (; JobsDue_ >= 1; JobsDue_ -= 1)
      New.push_back(makeJob());
    std::vector<std::string> Old;
    while (!Finished_.empty() && Finished_.front().first <= now()) {
      Old.push_back(Finished_.front().second);
      Finished_.pop_front();
    }
    measure(Part::Jobs, [&] {
      for (auto &[Plan, Terms] : New)
        Scheduler_->addJob(std::move(Plan), std::move(Terms), now());
      for (const std::string &Job : Old)
        Scheduler_->forgetJob(Job);
    });
  }

  std::pair<JobPlan, QueueTerms> makeJob() {
    JobPlan Plan;
    Plan.Id = fmt::format("{:08x}{:016x}", Random_(), ++JobCount_);
    Plan.Spec = std::string(300, 'x');
    const int Steps = 1 + static_cast<int>(Random_() % 2);
    for (int Each = 0; Each < Steps; ++Each) {
      StepPlan Step;
      Step.Tasks = 1 + static_cast<int>(Random_() % (Steps == 1 ? 18 : 9));
      Step.PerTask =
          Capacity{1200 + static_cast<int>(Random_() % 3000), 2000, 0};
      Step.Estimate = milliseconds(400 + Random_() % 320);
      if (Each > 0)
        Step.DependsOn = {Each - 1};
      Plan.Steps.push_back(Step);
    }
    QueueTerms Terms;
    Terms.Name = "advised";
    Terms.Service = "s";
    Terms.MaxAttempts = 3;
    Terms.Stretch = 1.5;
    Terms.LatencyTarget = milliseconds(300);
    if (Random_() % 10 == 0) {
      Terms.Name = "open";
      Terms.Priority = 1;
    } else {
      Terms.Advice = AdviceTerms{milliseconds(14), 0.2, milliseconds(2000)};
    }
    return {std::move(Plan), std::move(Terms)};
  }

  /// Reports starts as accepted that were recorded StartLatency ago.
  void answerStarts() {
    std::vector<StartRun> Due;
    while (!Sent_.empty() && Sent_.front().first <= now()) {
      Due.push_back(std::move(Sent_.front().second));
      Sent_.pop_front();
    }
    measure(Part::Answers, [&] {
      for (const StartRun &Start : Due)
        if (Scheduler_->isCurrentRun(Start.Vm, Start.Run))
          Scheduler_->startAnswered(Start.Vm, Start.Run,
                                    StartOutcome::Accepted);
    });
    Starts_ += Due.size();
    for (const StartRun &Start : Due) {
      const std::size_t Number = Numbers_.at(Start.Vm);
      Vms_[Number].Running.push_back(RunningTask{Start.Run, "", 0, 900});
      DueEnds_.emplace(now() + milliseconds(280 + Random_() % 560),
                       std::pair(Number, Start.Run));
    }
  }

  void answerAdvice() {
    while (!DueAdvice_.empty() && DueAdvice_.begin()->first <= now()) {
      const RequestAdvice Request = std::move(DueAdvice_.begin()->second);
      DueAdvice_.erase(DueAdvice_.begin());
      std::vector<AdviceTicket> Allowed;
      for (const std::string &Vm : Request.Vms)
        if (Random_() % 10 < 7)
          Allowed.push_back(AdviceTicket{
              Vm, fmt::format("ticket-{:08x}{:08x}", Random_(), Random_())});
      measure(Part::Advice, [&] {
        Scheduler_->adviceReceived(Request.Step, Request.Vms, Allowed,
                                   now() + milliseconds(2000));
      });
    }
  }

  /// Ends the runs that are due, and reports their VMs and those that have not
  /// been reported for long.
  void endRuns() {
    while (!DueEnds_.empty() && DueEnds_.begin()->first <= now()) {
      const auto [Number, Run] = DueEnds_.begin()->second;
      DueEnds_.erase(DueEnds_.begin());
      SimulatedVm &Vm = Vms_[Number];
      std::erase_if(Vm.Running, [&Run = Run](const RunningTask &Each) {
        return Each.Run == Run;
      });
      const RunOutcome Outcome =
          Random_() % 200 == 0 ? RunOutcome::Failed : RunOutcome::Done;
      Vm.Ends.push_back(TaskEnd{++Vm.LastEnd, Run, Outcome, ""});
    }
    std::vector<SimulatedVm *> Due;
    for (SimulatedVm &Vm : Vms_)
      if (!Vm.Ends.empty() || now() - Vm.LastReportAt >= QuietReportInterval)
        Due.push_back(&Vm);
    measure(Part::Ends, [&] {
      for (const SimulatedVm *Vm : Due)
        for (const TaskEnd &End : Vm->Ends)
          Scheduler_->taskEnded(Vm->Id, End);
    });
    const TimePoint RequestedAt = now() - milliseconds(20);
    measure(Part::Reports, [&] {
      for (const SimulatedVm *Vm : Due) {
        Scheduler_->vmReported(Vm->Id, 1, RunReport::complete(Vm->Running),
                               RequestedAt);
        Scheduler_->vmCapacityAge(Vm->Id, milliseconds(500));
      }
    });
    for (SimulatedVm *Vm : Due) {
      Vm->LastReportAt = now();
      Vm->Ends.clear();
    }
    measure(Part::Records, [&] { recordChanges(); });
  }

  void runPass() {
    LastPassAt_ = now();
    std::vector<PoolCommand> Commands;
    measure(Part::Pass, [&] {
      Scheduler_->setStartDelay(Writer_->expectedDelay() + milliseconds(40));
      Scheduler_->schedule();
      Commands = Scheduler_->takeCommands();
      const PoolDiagnostics Diagnostics = Scheduler_->takeDiagnostics();
    });
    for (PoolCommand &Command : Commands) {
      if (auto *Start = std::get_if<StartRun>(&Command)) {
        Checksum_.add(Start->Vm);
        Checksum_.add(Start->Ticket);
        Checksum_.add(Start->Run.Task.Step.Job);
        Checksum_.add(Start->Run.Task.Step.Step);
        Checksum_.add(Start->Run.Task.Index);
        Checksum_.add(Start->Run.Number);
        UnrecordedStarts_.push_back(std::move(*Start));
      } else if (auto *Advice = std::get_if<RequestAdvice>(&Command)) {
        for (const std::string &Vm : Advice->Vms)
          Checksum_.add(Vm);
        DueAdvice_.emplace(now() + milliseconds(static_cast<std::int64_t>(
                                       Advice->ExpectedLatencyMs)),
                           std::move(*Advice));
      }
    }
    measure(Part::Records, [&] { recordChanges(); });
  }

  /// Queues the changed rows as PoolOwner does.
  void recordChanges() {
    for (const std::string &Job : Scheduler_->takeChangedJobs()) {
      Writer_->put(RowName{"progress", "pool-s", Job}, [this, Job] {
        return encodeProgress(Scheduler_->progress(Job));
      });
      const auto Stage = Scheduler_->stage(Job);
      if (Stage && isFinal(*Stage))
        Finished_.emplace_back(now() + Retention, Job);
    }
    if (UnrecordedStarts_.empty())
      return;
    Writer_->whenCommitted(
        [this, Starts = std::move(UnrecordedStarts_)]() mutable {
          for (StartRun &Start : Starts)
            Sent_.emplace_back(now() + StartLatency, std::move(Start));
        });
    UnrecordedStarts_ = {};
  }

  FakeLoop ControlLoop_;
  SystemWallClock SystemClock_;
  AcceptingStore Store_;
  std::shared_ptr<FencedWriter> Writer_;
  std::unique_ptr<PoolScheduler> Scheduler_;
  std::mt19937 Random_{1};
  std::vector<SimulatedVm> Vms_;
  std::map<std::string, std::size_t> Numbers_;
  double JobsPerTick_;
  double JobsDue_ = 0;
  std::int64_t JobCount_ = 0;
  TimePoint LastPassAt_{};
  std::vector<StartRun> UnrecordedStarts_;
  std::deque<std::pair<TimePoint, StartRun>> Sent_;
  std::multimap<TimePoint, std::pair<std::size_t, TaskRun>> DueEnds_;
  std::multimap<TimePoint, RequestAdvice> DueAdvice_;
  std::deque<std::pair<TimePoint, std::string>> Finished_;
  std::array<double, PartNames.size()> Times_{};
  std::size_t Starts_ = 0;
  std::size_t Rows_ = 0;
  Checksum Checksum_;
};

} // namespace

int main(int Argc, char **Argv) {
  const int OnlyVms = Argc > 1 ? std::atoi(Argv[1]) : 0;
  const int Seconds = Argc > 2 ? std::atoi(Argv[2]) : 10;
  fmt::print("Microseconds of processor time a start:\n\n| VMs | starts/s | "
             "rows a start |");
  for (const std::string_view Name : PartNames)
    fmt::print(" {} |", Name);
  fmt::print(" all | checksum |\n|");
  for (std::size_t Column = 0; Column < PartNames.size() + 5; ++Column)
    fmt::print(" --- |");
  fmt::print("\n");
  for (const int Vms : {50, 252, 540, 3000}) {
    if (OnlyVms != 0 && Vms != OnlyVms)
      continue;
    OwnerFlow Flow(Vms);
    Flow.runFor(WarmUpSeconds);
    Flow.resetTimes();
    Flow.runFor(Seconds);
    fmt::print("| {} | {} | {:.2f} |", Vms,
               Flow.starts() / static_cast<std::size_t>(Seconds),
               static_cast<double>(Flow.rows()) /
                   static_cast<double>(Flow.starts()));
    double All = 0;
    for (std::size_t Index = 0; Index < PartNames.size(); ++Index) {
      const double Us = Flow.microsecondsPerStart(static_cast<Part>(Index));
      fmt::print(" {:.1f} |", Us);
      All += Us;
    }
    fmt::print(" {:.1f} | {:016x} |\n", All, Flow.checksum());
  }
  return 0;
}
