#include "cuminroad/pool/JobProgress.h"

#include <array>

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
// task, step or occurrence that is done, to keep them small.

nlohmann::json taskToJson(const TaskProgress &Task) {
  if (Task.Done)
    return Task.Index;
  nlohmann::json Out = {Task.Index, Task.Failures,      Task.Run,
                        Task.Vm,    Task.VmIncarnation, Task.Checkpoint};
  if (Task.Crashes > 0) {
    Out.push_back(Task.Crashes);
    Out.push_back(Task.ConfirmedCrashes);
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

nlohmann::json stepToJson(const StepProgress &Step) {
  if (Step.Done)
    return Step.Step;
  nlohmann::json Tasks = nlohmann::json::array();
  for (const TaskProgress &Task : Step.Tasks)
    Tasks.push_back(taskToJson(Task));
  return {Step.Step, Step.GangFailures, std::move(Tasks), Step.GangFailedRun};
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

std::string encodeProgress(const JobProgress &Progress) {
  nlohmann::json Occurrences = nlohmann::json::array();
  for (const OccurrenceProgress &Entry : Progress.Occurrences) {
    if (Entry.Done) {
      Occurrences.push_back(Entry.Number);
      continue;
    }
    nlohmann::json Steps = nlohmann::json::array();
    for (const StepProgress &Step : Entry.Steps)
      Steps.push_back(stepToJson(Step));
    Occurrences.push_back({Entry.Number, std::move(Steps)});
  }
  return packMessage(nlohmann::json::array(
      {static_cast<int>(Progress.Stage), std::move(Occurrences),
       static_cast<int>(Progress.Failure)}));
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
