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
  std::vector<Error> Faults;
  JsonObjectReader Reader(Input, "", Faults);
  ContractTerms Terms;
  Terms.MaxHeld.MilliCores = Reader.integer("milli_cores", MilliCoresRange);
  Terms.MaxHeld.MemoryMb = Reader.integer("memory_mb", MemoryMbRange);
  Terms.MaxHeld.Accelerators =
      Reader.integer("accelerators", AcceleratorsRange, 0);
  Terms.MaxRequests = Reader.integer("requests", RequestsRange);
  Terms.TaskStartWithin =
      milliseconds(Reader.integer("task_start_within_ms", WaitMsRange));
  Terms.RequestStartWithin =
      milliseconds(Reader.integer("request_start_within_ms", WaitMsRange));
  Terms.Urgent = Reader.boolean("urgent", false);
  Terms.NeverRepeat = Reader.texts("never_repeat");
  Reader.finish();
  if (!Faults.empty())
    return tl::unexpected(joinErrors(Faults));
  return Terms;
}

nlohmann::json toJson(const ContractTerms &Terms) {
  return {{"milli_cores", Terms.MaxHeld.MilliCores},
          {"memory_mb", Terms.MaxHeld.MemoryMb},
          {"accelerators", Terms.MaxHeld.Accelerators},
          {"requests", Terms.MaxRequests},
          {"task_start_within_ms", Terms.TaskStartWithin.count()},
          {"request_start_within_ms", Terms.RequestStartWithin.count()},
          {"urgent", Terms.Urgent},
          {"never_repeat", Terms.NeverRepeat}};
}

ContractTerms stricter(const ContractTerms &Left, const ContractTerms &Right) {
  ContractTerms Out;
  Out.MaxHeld = smaller(Left.MaxHeld, Right.MaxHeld);
  Out.MaxRequests = std::min(Left.MaxRequests, Right.MaxRequests);
  Out.TaskStartWithin = std::min(Left.TaskStartWithin, Right.TaskStartWithin);
  Out.RequestStartWithin =
      std::min(Left.RequestStartWithin, Right.RequestStartWithin);
  Out.Urgent = Left.Urgent && Right.Urgent;
  Out.NeverRepeat = Left.NeverRepeat;
  for (const std::string &Service : Right.NeverRepeat)
    if (std::find(Out.NeverRepeat.begin(), Out.NeverRepeat.end(), Service) ==
        Out.NeverRepeat.end())
      Out.NeverRepeat.push_back(Service);
  return Out;
}

} // namespace cuminroad
