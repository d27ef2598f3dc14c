#include "cuminroad/pool/JobProgress.h"

#include <array>
#include <utility>

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

namespace {

/// Indexed by JobStage.
constexpr std::array<std::string_view, 5> StageNames{
    "queued", "running", "completed", "failed", "cancelled"};

/// Indexed by JobFailure.
constexpr std::array<std::string_view, 4> FailureNames{
    "", "attempts_used", "crashed_vms", "record_too_large"};

// Rows of the store hold arrays without field names, and only the index of a
// task, step or occurrence that is done, or a range of them as its first index
// and its length, to keep them small.

using JsonArray = nlohmann::json::array_t;

/// Members of the array that is a range of tasks that are done.
constexpr std::size_t RangeSize = 2;

// The functions below take strings out of their arguments.

nlohmann::json taskToJson(TaskProgress &Task) {
  if (Task.Done && Task.Count == 1)
    return Task.Index;
  if (Task.Done)
    return JsonArray{Task.Index, Task.Count};
  const bool HasCrashes = Task.Crashes > 0;
  JsonArray Out;
  Out.reserve(HasCrashes ? 8 : 6);
  Out.emplace_back(Task.Index);
  Out.emplace_back(Task.Failures);
  Out.emplace_back(Task.Run);
  Out.emplace_back(std::move(Task.Vm));
  Out.emplace_back(Task.VmIncarnation);
  Out.emplace_back(std::move(Task.Checkpoint));
  if (HasCrashes) {
    Out.emplace_back(Task.Crashes);
    Out.emplace_back(Task.ConfirmedCrashes);
  }
  return Out;
}

TaskProgress taskFromJson(const nlohmann::json &Input) {
  TaskProgress Out;
  if (Input.is_number()) {
    Out.Index = Input.get<int>();
    Out.Done = true;
    return Out;
  }
  Out.Index = Input.at(0).get<int>();
  if (Input.size() == RangeSize) {
    Out.Count = Input.at(1).get<int>();
    Out.Done = true;
    return Out;
  }
  Out.Failures = Input.at(1).get<int>();
  Out.Run = Input.at(2).get<std::int64_t>();
  Out.Vm = Input.at(3).get<std::string>();
  Out.VmIncarnation = Input.at(4).get<std::int64_t>();
  Out.Checkpoint = Input.at(5).get<std::string>();
  if (Input.size() > 6) {
    Out.Crashes = Input.at(6).get<int>();
    Out.ConfirmedCrashes = Input.at(7).get<int>();
  }
  return Out;
}

nlohmann::json stepToJson(StepProgress &Step) {
  if (Step.Done)
    return Step.Step;
  JsonArray Tasks;
  Tasks.reserve(Step.Tasks.size());
  for (TaskProgress &Task : Step.Tasks)
    Tasks.push_back(taskToJson(Task));
  JsonArray Out;
  Out.reserve(4);
  Out.emplace_back(Step.Step);
  Out.emplace_back(Step.GangFailures);
  Out.emplace_back(std::move(Tasks));
  Out.emplace_back(Step.GangFailedRun);
  return Out;
}

nlohmann::json occurrenceToJson(OccurrenceProgress &Occurrence) {
  if (Occurrence.Done && Occurrence.Count == 1)
    return Occurrence.Number;
  if (Occurrence.Done)
    return JsonArray{Occurrence.Number, Occurrence.Count};
  JsonArray Steps;
  Steps.reserve(Occurrence.Steps.size());
  for (StepProgress &Step : Occurrence.Steps)
    Steps.push_back(stepToJson(Step));
  JsonArray Out;
  Out.reserve(2);
  Out.emplace_back(Occurrence.Number);
  Out.emplace_back(std::move(Steps));
  return Out;
}

StepProgress stepFromJson(const nlohmann::json &Input) {
  StepProgress Out;
  if (Input.is_number()) {
    Out.Step = Input.get<int>();
    Out.Done = true;
    return Out;
  }
  Out.Step = Input.at(0).get<int>();
  Out.GangFailures = Input.at(1).get<int>();
  for (const nlohmann::json &Task : Input.at(2))
    Out.Tasks.push_back(taskFromJson(Task));
  // Rows of earlier versions lack this field.
  if (Input.size() > 3)
    Out.GangFailedRun = Input.at(3).get<std::int64_t>();
  return Out;
}

OccurrenceProgress occurrenceFromJson(const nlohmann::json &Input) {
  OccurrenceProgress Out;
  if (Input.is_number()) {
    Out.Number = Input.get<int>();
    Out.Done = true;
    return Out;
  }
  Out.Number = Input.at(0).get<int>();
  if (Input.at(1).is_number()) {
    Out.Count = Input.at(1).get<int>();
    Out.Done = true;
    return Out;
  }
  for (const nlohmann::json &Step : Input.at(1))
    Out.Steps.push_back(stepFromJson(Step));
  return Out;
}

} // namespace

std::string_view jobStageName(JobStage Stage) {
  return StageNames[static_cast<std::size_t>(Stage)];
}

std::string_view jobFailureName(JobFailure Failure) {
  return FailureNames[static_cast<std::size_t>(Failure)];
}

std::string encodeProgress(JobProgress Progress) {
  JsonArray Occurrences;
  Occurrences.reserve(Progress.Occurrences.size());
  for (OccurrenceProgress &Entry : Progress.Occurrences)
    Occurrences.push_back(occurrenceToJson(Entry));
  JsonArray Out;
  Out.reserve(3);
  Out.emplace_back(static_cast<int>(Progress.Stage));
  Out.emplace_back(std::move(Occurrences));
  Out.emplace_back(static_cast<int>(Progress.Failure));
  return packMessage(std::move(Out));
}

Result<JobProgress> decodeProgress(std::string_view Bytes) {
  return unpackMessage<JobProgress>(
      Bytes, [](const nlohmann::json &Input) -> Result<JobProgress> {
        JobProgress Out;
        const auto Stage = Input.at(0).get<std::size_t>();
        if (Stage >= StageNames.size())
          return failure(ErrorCode::ValueOutOfRange, "stage");
        Out.Stage = static_cast<JobStage>(Stage);
        for (const nlohmann::json &Entry : Input.at(1))
          Out.Occurrences.push_back(occurrenceFromJson(Entry));
        // Rows of earlier versions lack this field.
        if (Input.size() > 2) {
          const auto Failure = Input.at(2).get<std::size_t>();
          if (Failure >= FailureNames.size())
            return failure(ErrorCode::ValueOutOfRange, "failure");
          Out.Failure = static_cast<JobFailure>(Failure);
        }
        return Out;
      });
}

} // namespace cuminroad
