#include "cuminroad/fleet/JobRows.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

namespace {

/// Appended to a job's id to form the key of its cancellation. The result sorts
/// after the id and before the next id.
constexpr std::string_view CancelSuffix = "!";
/// The store executes the transactions of one partition one after another, so
/// that several partitions are needed. A new owner reads all of them, so that
/// more would make takeovers slower.
constexpr unsigned PartitionCount = 64;

/// Ids are hexadecimal; their first two digits distribute them evenly.
std::string requestPartition(std::string_view Job) {
  unsigned Number = 0;
  std::from_chars(Job.data(), Job.data() + std::min<std::size_t>(Job.size(), 2),
                  Number, 16);
  return fmt::format("jobs-{}", Number % PartitionCount);
}

/// Lists instead of objects, since the terms are part of each job's row.
nlohmann::json toJson(const QueueTerms &Terms) {
  nlohmann::json Out{Terms.Priority, Terms.MaxAttempts, Terms.Stretch,
                     Terms.LatencyTarget.count()};
  if (Terms.Advice)
    Out.push_back({Terms.Advice->DecisionTime.count(), Terms.Advice->PerVmMs,
                   Terms.Advice->ValidFor.count()});
  return Out;
}

milliseconds millisecondsAt(const nlohmann::json &Input, std::size_t Index) {
  return milliseconds(Input.at(Index).get<std::int64_t>());
}

QueueTerms termsFromJson(const JobRequest &Request,
                         const nlohmann::json &Input) {
  QueueTerms Out;
  Out.Name = Request.Queue;
  Out.Service = Request.Service;
  Out.Priority = Input.at(0).get<int>();
  Out.MaxAttempts = Input.at(1).get<int>();
  Out.Stretch = Input.at(2).get<double>();
  Out.LatencyTarget = millisecondsAt(Input, 3);
  if (Input.size() > 4)
    Out.Advice =
        AdviceTerms{millisecondsAt(Input[4], 0), Input[4].at(1).get<double>(),
                    millisecondsAt(Input[4], 2)};
  return Out;
}

} // namespace

RowName requestRow(std::string_view Job) {
  return RowName{std::string(RequestTable), requestPartition(Job),
                 std::string(Job)};
}

RowName cancelRow(std::string_view Job) {
  return RowName{std::string(RequestTable), requestPartition(Job),
                 fmt::format("{}{}", Job, CancelSuffix)};
}

std::string poolPartition(std::string_view Service) {
  return fmt::format("pool-{}", Service);
}

RowName progressRow(std::string_view Service, std::string_view Job) {
  return RowName{std::string(ProgressTable), poolPartition(Service),
                 std::string(Job)};
}

RowName ownerRow(std::string_view Service) {
  return RowName{std::string(OwnerTable), poolPartition(Service), "owner"};
}

RowName quotaRow(std::string_view Service, int Number) {
  return RowName{std::string(QuotaTable), poolPartition(Service),
                 fmt::format("{}", Number)};
}

std::vector<std::string> requestPartitions() {
  std::vector<std::string> Out;
  for (unsigned Number = 0; Number < PartitionCount; ++Number)
    Out.push_back(requestPartition(fmt::format("{:02x}", Number)));
  return Out;
}

std::string_view cancelledJob(std::string_view Key) {
  if (!Key.ends_with(CancelSuffix))
    return {};
  return Key.substr(0, Key.size() - CancelSuffix.size());
}

std::string encodeRequest(const JobRequest &Request) {
  nlohmann::json Out{{"queue", Request.Queue},
                     {"service", Request.Service},
                     {"at", Request.AcceptedAt.count()},
                     {"plan", toJson(Request.Plan)}};
  if (Request.Terms)
    Out["terms"] = toJson(*Request.Terms);
  return packMessage(Out);
}

Result<JobRequest> decodeRequest(std::string_view Job, std::string_view Bytes) {
  return unpackMessage<JobRequest>(
      Bytes, [Job](const nlohmann::json &Input) -> Result<JobRequest> {
        JobRequest Out;
        Out.Queue = Input.at("queue").get<std::string>();
        Out.Service = Input.at("service").get<std::string>();
        Out.AcceptedAt = milliseconds(Input.at("at").get<std::int64_t>());
        auto Plan = jobPlanFromJson(Input.at("plan"));
        if (!Plan)
          return tl::unexpected(Plan.error());
        Out.Plan = std::move(*Plan);
        Out.Plan.Id = Job;
        if (const auto Terms = Input.find("terms"); Terms != Input.end())
          Out.Terms = termsFromJson(Out, *Terms);
        return Out;
      });
}

} // namespace cuminroad
