#include "cuminroad/contract/ContractTerms.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr IntegerRange MilliCoresRange{0, 100'000'000};
constexpr IntegerRange MemoryMbRange{0, 1'000'000'000};
constexpr IntegerRange AcceleratorsRange{0, 1'000'000};
constexpr IntegerRange RequestsRange{0, 1'000'000};
constexpr IntegerRange WaitMsRange{1, 86'400'000};

} // namespace

Result<ContractTerms> parseContractTerms(const nlohmann::json &Input) {
  std::vector<Error> Errors;
  JsonObjectReader Reader(Input, "", Errors);
  ContractTerms Terms;
  Terms.MaxCapacity.MilliCores = Reader.integer("milli_cores", MilliCoresRange);
  Terms.MaxCapacity.MemoryMb = Reader.integer("memory_mb", MemoryMbRange);
  Terms.MaxCapacity.Accelerators =
      Reader.integer("accelerators", AcceleratorsRange, 0);
  Terms.MaxRequests = Reader.integer("requests", RequestsRange);
  Terms.TaskStartWithin =
      milliseconds(Reader.integer("task_start_within_ms", WaitMsRange));
  Terms.RequestStartWithin =
      milliseconds(Reader.integer("request_start_within_ms", WaitMsRange));
  Terms.Urgent = Reader.boolean("urgent", false);
  Terms.NeverRetriedServices = Reader.texts("never_repeat");
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(joinErrors(Errors));
  return Terms;
}

nlohmann::json toJson(const ContractTerms &Terms) {
  return {{"milli_cores", Terms.MaxCapacity.MilliCores},
          {"memory_mb", Terms.MaxCapacity.MemoryMb},
          {"accelerators", Terms.MaxCapacity.Accelerators},
          {"requests", Terms.MaxRequests},
          {"task_start_within_ms", Terms.TaskStartWithin.count()},
          {"request_start_within_ms", Terms.RequestStartWithin.count()},
          {"urgent", Terms.Urgent},
          {"never_repeat", Terms.NeverRetriedServices}};
}

ContractTerms stricterTerms(const ContractTerms &Left,
                            const ContractTerms &Right) {
  ContractTerms Combined;
  Combined.MaxCapacity = componentwiseMin(Left.MaxCapacity, Right.MaxCapacity);
  Combined.MaxRequests = std::min(Left.MaxRequests, Right.MaxRequests);
  Combined.TaskStartWithin =
      std::min(Left.TaskStartWithin, Right.TaskStartWithin);
  Combined.RequestStartWithin =
      std::min(Left.RequestStartWithin, Right.RequestStartWithin);
  Combined.Urgent = Left.Urgent && Right.Urgent;
  Combined.NeverRetriedServices = Left.NeverRetriedServices;
  for (const std::string &Service : Right.NeverRetriedServices)
    if (std::find(Combined.NeverRetriedServices.begin(),
                  Combined.NeverRetriedServices.end(),
                  Service) == Combined.NeverRetriedServices.end())
      Combined.NeverRetriedServices.push_back(Service);
  return Combined;
}

} // namespace cuminroad
