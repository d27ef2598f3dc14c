#ifndef CUMINROAD_POOL_SRC_TASKRECORD_H
#define CUMINROAD_POOL_SRC_TASKRECORD_H

#include <cstdint>
#include <optional>
#include <string>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

struct StepRecord;
struct VmRecord;

/// Phase of a task.
enum class TaskPhase {
  Waiting,
  /// A VM was chosen; the start command may have reached it.
  Placed,
  /// The VM has confirmed the run.
  Running,
  /// A stop of the run was requested.
  Stopping,
};

/// The speed of a run that an earlier owner may have throttled.
inline constexpr int UnknownSpeedPercent = -1;

struct TaskRecord {
  StepRecord *Step = nullptr;
  int Index = 0;
  TaskPhase Phase = TaskPhase::Waiting;
  int Failures = 0;
  /// Number of the last run that may have been started.
  std::int64_t Run = 0;
  /// Crashes of VMs that runs of the task may have caused.
  int Crashes = 0;
  /// Those of them before which the VM had confirmed the start of the run.
  int ConfirmedCrashes = 0;
  /// Set in the phases Placed, Running and Stopping.
  VmRecord *Vm = nullptr;
  /// The incarnation of the VM on which the run was placed, or which last
  /// reported it.
  std::int64_t VmIncarnation = 0;
  std::string Checkpoint;
  TimePoint PlacedAt{};
  /// When the VM first confirmed that the run started or that it never will;
  /// TimePoint::min() for a run that an earlier owner started.
  std::optional<TimePoint> ConfirmedAt;
  /// When ProgressPercent last changed.
  TimePoint ProgressedAt{};
  /// As last reported; -1 before the first report of the run.
  int ProgressPercent = -1;
  /// Logarithm of the run time in milliseconds that the progress of the current
  /// run indicates, if run times are predicted.
  std::optional<double> LogRunTime;
  /// The current run may have started before PlacedAt.
  bool StartUnknown = false;
  /// See RunningTask::Measurement.
  double Measurement = 0;
  /// As last commanded with ThrottleRun.
  int SpeedPercent = 100;
  /// The delay after the last start, if a VM could not interpret it.
  milliseconds InvalidStartDelay{0};
  /// The task must not be placed again before this time.
  TimePoint NotPlacedBefore{};

  /// The VM has confirmed that the current run started.
  bool StartConfirmed = false;

  bool isOnVm() const { return Vm != nullptr; }
  /// \returns whether a run of the task may have crashed a VM.
  bool isCrashSuspect() const { return Crashes > 0; }
  /// \returns whether the current run started less than \p Duration before \p
  /// When, or may only be about to start.
  bool isNewRun(TimePoint When, milliseconds Duration) const {
    if (!ConfirmedAt)
      return true;
    return *ConfirmedAt != TimePoint::min() && When - *ConfirmedAt < Duration;
  }
};

} // namespace cuminroad

#endif
