#include "cuminroad/scheduling/JobSpec.h"

#include <array>

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr std::size_t MaxIdLength = 200;
constexpr IntegerRange TasksRange{1, 10'000};
constexpr IntegerRange MilliCoresRange{1, 1'000'000};
constexpr IntegerRange MemoryMbRange{1, 100'000'000};
constexpr IntegerRange AcceleratorsRange{0, 1'000};
constexpr IntegerRange DurationMsRange{0, 366LL * 24 * 3600 * 1000};

constexpr std::array KindNames{std::pair{JobKind::Service, "service"},
                               std::pair{JobKind::Batch, "batch"},
                               std::pair{JobKind::Gang, "gang"}};

JobKind readKind(JsonObjectReader &Reader) {
  const std::string Name = Reader.text("kind");
  for (const auto &[Kind, Text] : KindNames)
    if (Name == Text)
      return Kind;
  if (!Name.empty())
    Reader.addError(ErrorCode::ValueOutOfRange, "kind",
                    "must be service, batch or gang");
  return JobKind::Batch;
}

} // namespace

std::string_view jobKindName(JobKind Kind) {
  for (const auto &[Entry, Text] : KindNames)
    if (Entry == Kind)
      return Text;
  return "batch";
}

Result<JobSpec> parseJobSpec(const nlohmann::json &Input) {
  std::vector<Error> Errors;
  JsonObjectReader Reader(Input, "", Errors);
  JobSpec Spec;
  Spec.Id = Reader.text("id", "");
  if (Spec.Id.size() > MaxIdLength)
    Reader.addError(ErrorCode::ValueOutOfRange, "id", "is too long");
  Spec.Customer = Reader.text("customer");
  Spec.Kind = readKind(Reader);
  Spec.Tasks = static_cast<int>(Reader.integer("tasks", TasksRange, 1));
  Spec.PerTask.MilliCores = Reader.integer("milli_cores", MilliCoresRange);
  Spec.PerTask.MemoryMb = Reader.integer("memory_mb", MemoryMbRange);
  Spec.PerTask.Accelerators =
      Reader.integer("accelerators", AcceleratorsRange, 0);
  Spec.Duration =
      milliseconds(Reader.integer("duration_ms", DurationMsRange, 0));
  Spec.Restartable = Reader.boolean("restartable", true);
  Spec.Checkpointable = Reader.boolean("checkpointable", false);
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(joinErrors(Errors));
  return Spec;
}

nlohmann::json toJson(const JobSpec &Spec) {
  return {{"id", Spec.Id},
          {"customer", Spec.Customer},
          {"kind", jobKindName(Spec.Kind)},
          {"tasks", Spec.Tasks},
          {"milli_cores", Spec.PerTask.MilliCores},
          {"memory_mb", Spec.PerTask.MemoryMb},
          {"accelerators", Spec.PerTask.Accelerators},
          {"duration_ms", Spec.Duration.count()},
          {"restartable", Spec.Restartable},
          {"checkpointable", Spec.Checkpointable}};
}

} // namespace cuminroad
