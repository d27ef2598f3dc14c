#include "cuminroad/pool/JobProgress.h"

#include <array>

#include <nlohmann/json.hpp>

namespace cuminroad {

namespace {

constexpr std::array<std::string_view, 5> StageNames{
    "queued", "running", "completed", "failed", "cancelled"};

nlohmann::json taskToJson(const TaskProgress &Task) {
  if (Task.Done)
    return Task.Index;
  return {Task.Index, Task.Failures, Task.Run,
          Task.Vm,    Task.VmBorn,   Task.Checkpoint};
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
  Out.VmBorn = Input.at(4).get<std::int64_t>();
  Out.Checkpoint = Input.at(5).get<std::string>();
  return Out;
}

nlohmann::json stepToJson(const StepProgress &Step) {
  if (Step.Done)
    return Step.Step;
  nlohmann::json Tasks = nlohmann::json::array();
  for (const TaskProgress &Task : Step.Tasks)
    Tasks.push_back(taskToJson(Task));
  return {Step.Step, Step.GangFailures, std::move(Tasks)};
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
  return Out;
}

} // namespace

std::string_view jobStageName(JobStage Stage) {
  return StageNames[static_cast<std::size_t>(Stage)];
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
  const nlohmann::json Out{static_cast<int>(Progress.Stage),
                           std::move(Occurrences)};
  std::string Bytes;
  nlohmann::json::to_msgpack(Out, Bytes);
  return Bytes;
}

Result<JobProgress> decodeProgress(std::string_view Bytes) {
  try {
    const nlohmann::json Input = nlohmann::json::from_msgpack(Bytes);
    JobProgress Out;
    const auto Stage = Input.at(0).get<std::size_t>();
    if (Stage >= StageNames.size())
      return failure(ErrorCode::ValueOutOfRange, "stage");
    Out.Stage = static_cast<JobStage>(Stage);
    for (const nlohmann::json &Entry : Input.at(1)) {
      OccurrenceProgress Occurrence;
      if (Entry.is_number()) {
        Occurrence.Number = Entry.get<int>();
        Occurrence.Done = true;
      } else {
        Occurrence.Number = Entry.at(0).get<int>();
        for (const nlohmann::json &Step : Entry.at(1))
          Occurrence.Steps.push_back(stepFromJson(Step));
      }
      Out.Occurrences.push_back(std::move(Occurrence));
    }
    return Out;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

} // namespace cuminroad
