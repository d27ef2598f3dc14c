#include "cuminroad/store/HttpTable.h"

#include <fmt/format.h>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds CommitTimeout{2000};
constexpr milliseconds ReadTimeout{2000};
constexpr milliseconds ConnectTimeout{1000};
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

nlohmann::json encodeTransaction(const Transaction &Change) {
  nlohmann::json Encoded{{"checks", nlohmann::json::array()},
                         {"writes", nlohmann::json::array()}};
  for (const VersionCheck &Check : Change.Checks)
    Encoded["checks"].push_back(
        {{"key", Check.Key}, {"version", Check.Version}});
  for (const RowWrite &Write : Change.Writes) {
    nlohmann::json Value;
    if (!Write.Value.is_null())
      Value = {{"write_id", Change.WriteId}, {"value", Write.Value}};
    Encoded["writes"].push_back({{"key", Write.Key}, {"value", Value}});
  }
  return Encoded;
}

TableRow decodeRow(const nlohmann::json &Input) {
  TableRow Row;
  Row.Key = Input.at("key").get<std::string>();
  Row.Version = Input.at("version").get<std::int64_t>();
  const nlohmann::json &Value = Input.at("value");
  if (!Value.is_null()) {
    Row.Value = Value.at("value");
    Row.WriteId = Value.at("write_id").get<std::string>();
  }
  return Row;
}

Result<CommitOutcome> parseCommitResponse(const HttpResult &Response) {
  if (!Response) {
    const bool NotSent = isNotSent(Response.error().Code);
    return failure(NotSent ? ErrorCode::PlatformUnavailable
                           : ErrorCode::WriteOutcomeUnknown);
  }
  if (Response->Status == StatusUnavailable)
    return failure(ErrorCode::PlatformUnavailable);
  const auto Body = parseJson(Response->Body, false);
  if (!Body || (Response->Status != 200 && Response->Status != StatusConflict))
    return failure(ErrorCode::WriteOutcomeUnknown);
  try {
    CommitOutcome Outcome;
    if (Response->Status == StatusConflict)
      Outcome.Conflicts = Body->at("conflicts").get<std::vector<std::string>>();
    else
      Outcome.Revision = Body->at("revision").get<std::int64_t>();
    return Outcome;
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::WriteOutcomeUnknown, Exception.what());
  }
}

Result<nlohmann::json> parseReadResponse(const HttpResult &Response) {
  if (!Response || Response->Status != 200)
    return failure(ErrorCode::PlatformUnavailable);
  return parseJson(Response->Body, false);
}

Result<std::vector<TableRow>> decodeRows(const Result<nlohmann::json> &Body) {
  if (!Body)
    return tl::unexpected(Body.error());
  try {
    std::vector<TableRow> Rows;
    for (const nlohmann::json &Row : Body->at("rows"))
      Rows.push_back(decodeRow(Row));
    return Rows;
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::PlatformUnavailable, Exception.what());
  }
}

} // namespace

HttpTable::HttpTable(std::string BaseUrl, HttpClient &Client, Loop &ControlLoop)
    : BaseUrl_(std::move(BaseUrl)), Client_(Client), ControlLoop_(ControlLoop) {
}

void HttpTable::commit(Transaction Change, CommitDone Done) {
  ++OperationCounts_.Writes;
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = BaseUrl_ + "/table/commit";
  Call.Body = encodeTransaction(Change).dump();
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = CommitTimeout;
  Client_.send(std::move(Call), [this, Done = std::move(Done)](
                                    const HttpResult &Response) {
    ControlLoop_.post(
        [Done, Outcome = parseCommitResponse(Response)] { Done(Outcome); });
  });
}

void HttpTable::read(std::string Key, RowDone Done) {
  ++OperationCounts_.Reads;
  HttpCall Call;
  Call.Url = fmt::format("{}/table/row?key={}", BaseUrl_, Key);
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = ReadTimeout;
  Client_.send(std::move(Call), [this, Done = std::move(Done)](
                                    const HttpResult &Response) {
    auto Rows = decodeRows(parseReadResponse(Response));
    Result<TableRow> Row =
        Rows && Rows->size() == 1
            ? Result<TableRow>(Rows->front())
            : Result<TableRow>(failure(ErrorCode::PlatformUnavailable));
    ControlLoop_.post([Done, Row = std::move(Row)] { Done(Row); });
  });
}

void HttpTable::scan(std::string Prefix, RowsDone Done) {
  ++OperationCounts_.Reads;
  HttpCall Call;
  Call.Url = fmt::format("{}/table/scan?prefix={}", BaseUrl_, Prefix);
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = ReadTimeout;
  Client_.send(std::move(Call), [this, Done = std::move(Done)](
                                    const HttpResult &Response) {
    auto Rows = decodeRows(parseReadResponse(Response));
    ControlLoop_.post([Done, Rows = std::move(Rows)] { Done(Rows); });
  });
}

} // namespace cuminroad
