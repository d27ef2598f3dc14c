#include "cuminroad/contract/ContractRecord.h"

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr std::size_t MaxHistoryEntries = 50;
constexpr IntegerRange VersionRange{0, INT64_MAX};

Result<std::optional<ContractTerms>> parseTerms(const nlohmann::json *Input) {
  if (Input == nullptr || Input->is_null())
    return std::optional<ContractTerms>();
  return parseContractTerms(*Input).map(
      [](ContractTerms Terms) { return std::optional(std::move(Terms)); });
}

nlohmann::json termsOrNull(const std::optional<ContractTerms> &Terms) {
  return Terms ? toJson(*Terms) : nlohmann::json();
}

} // namespace

std::optional<ContractTerms> ContractRecord::effectiveTerms() const {
  if (!Pending)
    return Terms;
  if (!Terms || !Pending->Terms)
    return std::nullopt;
  return stricterTerms(*Terms, *Pending->Terms);
}

void ContractRecord::acceptPending() {
  ++Version;
  Terms = Pending->Terms;
  History.push_back(
      AcceptedChange{Version, Pending->ChangeId, Pending->Operator});
  if (History.size() > MaxHistoryEntries)
    History.erase(History.begin());
  Pending.reset();
}

static Result<PendingChange> parsePending(const nlohmann::json &Input) {
  std::vector<Error> Errors;
  JsonObjectReader Reader(Input, "pending", Errors);
  PendingChange Change;
  Change.ChangeId = Reader.text("change_id");
  Change.Operator = Reader.text("operator", "");
  auto Terms = parseTerms(Reader.member("terms"));
  if (!Terms)
    return tl::unexpected(Terms.error());
  if (!Errors.empty())
    return tl::unexpected(joinErrors(Errors));
  Change.Terms = *Terms;
  return Change;
}

Result<ContractRecord> parseContractRecord(const nlohmann::json &Input) {
  std::vector<Error> Errors;
  JsonObjectReader Reader(Input, "", Errors);
  ContractRecord Record;
  Record.Customer = Reader.text("customer");
  Record.Version = Reader.integer("version", VersionRange);
  auto Terms = parseTerms(Reader.member("terms"));
  if (!Terms)
    return tl::unexpected(Terms.error());
  Record.Terms = *Terms;
  if (const nlohmann::json *Pending = Reader.member("pending")) {
    auto Change = parsePending(*Pending);
    if (!Change)
      return tl::unexpected(Change.error());
    Record.Pending = *Change;
  }
  if (const nlohmann::json *History = Reader.member("history"))
    for (const nlohmann::json &Entry : *History) {
      JsonObjectReader Row(Entry, "history", Errors);
      Record.History.push_back(
          AcceptedChange{Row.integer("version", VersionRange),
                         Row.text("change_id"), Row.text("operator", "")});
    }
  if (!Errors.empty())
    return tl::unexpected(joinErrors(Errors));
  return Record;
}

nlohmann::json toJson(const ContractRecord &Record) {
  nlohmann::json Json{{"customer", Record.Customer},
                      {"version", Record.Version},
                      {"terms", termsOrNull(Record.Terms)},
                      {"history", nlohmann::json::array()}};
  for (const AcceptedChange &Change : Record.History)
    Json["history"].push_back({{"version", Change.Version},
                               {"change_id", Change.ChangeId},
                               {"operator", Change.Operator}});
  if (Record.Pending)
    Json["pending"] = {{"change_id", Record.Pending->ChangeId},
                       {"operator", Record.Pending->Operator},
                       {"terms", termsOrNull(Record.Pending->Terms)}};
  return Json;
}

} // namespace cuminroad
