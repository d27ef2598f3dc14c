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

nlohmann::json encode(const Transaction &Change) {
  nlohmann::json Out{{"checks", nlohmann::json::array()},
                     {"writes", nlohmann::json::array()}};
  for (const VersionCheck &Check : Change.Checks)
    Out["checks"].push_back({{"key", Check.Key}, {"version", Check.Version}});
  for (const RowWrite &Write : Change.Writes) {
    nlohmann::json Value;
    if (!Write.Value.is_null())
      Value = {{"write_id", Change.WriteId}, {"value", Write.Value}};
    Out["writes"].push_back({{"key", Write.Key}, {"value", Value}});
  }
  return Out;
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

Result<CommitOutcome> judgeCommit(const HttpResult &Answer) {
  if (!Answer) {
    const bool Certain = Answer.error().Code == ErrorCode::ConnectFailed;
    return failure(Certain ? ErrorCode::PlatformUnavailable
                           : ErrorCode::WriteOutcomeUnknown);
  }
  if (Answer->Status == StatusUnavailable)
    return failure(ErrorCode::PlatformUnavailable);
  const auto Body = parseJson(Answer->Body, false);
  if (!Body || (Answer->Status != 200 && Answer->Status != StatusConflict))
    return failure(ErrorCode::WriteOutcomeUnknown);
  try {
    CommitOutcome Out;
    if (Answer->Status == StatusConflict)
      Out.Conflicts = Body->at("conflicts").get<std::vector<std::string>>();
    else
      Out.Revision = Body->at("revision").get<std::int64_t>();
    return Out;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::WriteOutcomeUnknown, Fault.what());
  }
}

Result<nlohmann::json> judgeRead(const HttpResult &Answer) {
  if (!Answer || Answer->Status != 200)
    return failure(ErrorCode::PlatformUnavailable);
  return parseJson(Answer->Body, false);
}

Result<std::vector<TableRow>> decodeRows(const Result<nlohmann::json> &Body) {
  if (!Body)
    return tl::unexpected(Body.error());
  try {
    std::vector<TableRow> Rows;
    for (const nlohmann::json &Row : Body->at("rows"))
      Rows.push_back(decodeRow(Row));
    return Rows;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::PlatformUnavailable, Fault.what());
  }
}

} // namespace

HttpTable::HttpTable(std::string BaseUrl, HttpClient &Client, Loop &Home)
    : BaseUrl_(std::move(BaseUrl)), Client_(Client), Home_(Home) {}

void HttpTable::commit(Transaction Change, CommitDone Done) {
  ++Use_.Writes;
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = BaseUrl_ + "/table/commit";
  Call.Body = encode(Change).dump();
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = CommitTimeout;
  Client_.send(std::move(Call), [this, Done = std::move(Done)](
                                    const HttpResult &Answer) {
    Home_.post([Done, Outcome = judgeCommit(Answer)] { Done(Outcome); });
  });
}

void HttpTable::read(std::string Key, RowDone Done) {
  ++Use_.Reads;
  HttpCall Call;
  Call.Url = fmt::format("{}/table/row?key={}", BaseUrl_, Key);
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = ReadTimeout;
  Client_.send(std::move(Call), [this, Done = std::move(Done)](
                                    const HttpResult &Answer) {
    auto Rows = decodeRows(judgeRead(Answer));
    Result<TableRow> Row =
        Rows && Rows->size() == 1
            ? Result<TableRow>(Rows->front())
            : Result<TableRow>(failure(ErrorCode::PlatformUnavailable));
    Home_.post([Done, Row = std::move(Row)] { Done(Row); });
  });
}

void HttpTable::scan(std::string Prefix, RowsDone Done) {
  ++Use_.Reads;
  HttpCall Call;
  Call.Url = fmt::format("{}/table/scan?prefix={}", BaseUrl_, Prefix);
  Call.ConnectTimeout = ConnectTimeout;
  Call.Timeout = ReadTimeout;
  Client_.send(std::move(Call),
               [this, Done = std::move(Done)](const HttpResult &Answer) {
                 auto Rows = decodeRows(judgeRead(Answer));
                 Home_.post([Done, Rows = std::move(Rows)] { Done(Rows); });
               });
}

} // namespace cuminroad
