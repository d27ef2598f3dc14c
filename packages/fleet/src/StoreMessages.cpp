#include "StoreMessages.h"

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

namespace {

using nlohmann::json;

json binary(const std::string &Bytes) {
  return json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
}

std::string bytesFromJson(const json &Input) {
  const auto &Bytes = Input.get_binary();
  return std::string(Bytes.begin(), Bytes.end());
}

json nameToJson(const RowName &Name) {
  return json::array({Name.Table, Name.Partition, Name.Key});
}

RowName nameFromJson(const json &Input) {
  return RowName{Input.at(0).get<std::string>(), Input.at(1).get<std::string>(),
                 Input.at(2).get<std::string>()};
}

json rowsToJson(const std::vector<StoredRow> &Rows) {
  json Out = json::array();
  for (const StoredRow &Row : Rows)
    Out.push_back(json::array(
        {nameToJson(Row.Name), binary(Row.Value), Row.Version, Row.Removed}));
  return Out;
}

std::vector<StoredRow> rowsFromJson(const json &Input) {
  std::vector<StoredRow> Rows;
  for (const json &Row : Input)
    Rows.push_back(StoredRow{nameFromJson(Row.at(0)), bytesFromJson(Row.at(1)),
                             Row.at(2).get<std::int64_t>(),
                             Row.at(3).get<bool>()});
  return Rows;
}

json toJson(const CommitCall &Call) {
  json Checks = json::array();
  for (const RowCheck &Check : Call.Change.Checks)
    Checks.push_back(json::array({nameToJson(Check.Name), Check.Version}));
  json Puts = json::array();
  for (const RowPut &Put : Call.Change.Puts)
    Puts.push_back(json::array({nameToJson(Put.Name), binary(Put.Value)}));
  json Removals = json::array();
  for (const RowName &Name : Call.Change.Removals)
    Removals.push_back(nameToJson(Name));
  return {{"call", "commit"},
          {"checks", std::move(Checks)},
          {"puts", std::move(Puts)},
          {"removals", std::move(Removals)},
          {"timeout_ms", Call.Timeout.count()}};
}

json toJson(const ReadCall &Call) {
  return {{"call", "read"},
          {"table", Call.Range.Table},
          {"partition", Call.Range.Partition},
          {"from", Call.Range.From},
          {"until", Call.Range.Until},
          {"limit", Call.Range.Limit},
          {"timeout_ms", Call.Timeout.count()}};
}

json toJson(const ChangesCall &Call) {
  return {{"call", "changes"},
          {"table", Call.Request.Table},
          {"after", Call.Request.After},
          {"wait_ms", Call.Request.Wait.count()}};
}

milliseconds millisecondsAt(const json &Input, const char *Name) {
  return milliseconds(Input.at(Name).get<std::int64_t>());
}

CommitCall commitCallFromJson(const json &Input) {
  CommitCall Call;
  for (const json &Entry : Input.at("checks"))
    Call.Change.Checks.push_back(
        RowCheck{nameFromJson(Entry.at(0)), Entry.at(1).get<std::int64_t>()});
  for (const json &Entry : Input.at("puts"))
    Call.Change.Puts.push_back(
        RowPut{nameFromJson(Entry.at(0)), bytesFromJson(Entry.at(1))});
  for (const json &Entry : Input.at("removals"))
    Call.Change.Removals.push_back(nameFromJson(Entry));
  Call.Timeout = millisecondsAt(Input, "timeout_ms");
  return Call;
}

ReadCall readCallFromJson(const json &Input) {
  ReadCall Call;
  Call.Range = RowRange{Input.at("table").get<std::string>(),
                        Input.at("partition").get<std::string>(),
                        Input.at("from").get<std::string>(),
                        Input.at("until").get<std::string>(),
                        Input.at("limit").get<int>()};
  Call.Timeout = millisecondsAt(Input, "timeout_ms");
  return Call;
}

template <typename T>
json responseToJson(const StoreResponse<T> &Response,
                    json (*Encode)(const T &)) {
  json Out{{"time_ms", Response.StoreTime.count()}};
  if (Response.Value)
    Out["value"] = Encode(*Response.Value);
  else
    Out["error"] = json::array({static_cast<int>(Response.Value.error().Code),
                                Response.Value.error().Detail});
  return Out;
}

template <typename T>
Result<StoreResponse<T>> decodeResponse(std::string_view Bytes,
                                        T (*Decode)(const json &)) {
  return unpackMessage<StoreResponse<T>>(Bytes, [Decode](const json &Input) {
    StoreResponse<T> Out{T{}, millisecondsAt(Input, "time_ms")};
    if (Input.contains("error"))
      Out.Value =
          failure(static_cast<ErrorCode>(Input.at("error").at(0).get<int>()),
                  Input.at("error").at(1).get<std::string>());
    else
      Out.Value = Decode(Input.at("value"));
    return Out;
  });
}

json commitResultToJson(const RowCommit &Commit) {
  return json::array({Commit.Version, rowsToJson(Commit.CheckedRows)});
}

RowCommit commitResultFromJson(const json &Input) {
  return RowCommit{Input.at(0).get<std::int64_t>(), rowsFromJson(Input.at(1))};
}

json pageToJson(const RowPage &Page) {
  return json::array({rowsToJson(Page.Rows), Page.HasMore, Page.Version});
}

RowPage pageFromJson(const json &Input) {
  return RowPage{rowsFromJson(Input.at(0)), Input.at(1).get<bool>(),
                 Input.at(2).get<std::int64_t>()};
}

} // namespace

std::string encode(const StoreCall &Call) {
  return packMessage(
      std::visit([](const auto &Each) { return toJson(Each); }, Call));
}

Result<StoreCall> decodeStoreCall(std::string_view Bytes) {
  return unpackMessage<StoreCall>(
      Bytes, [](const json &Input) -> Result<StoreCall> {
        const std::string Kind = Input.at("call").get<std::string>();
        if (Kind == "commit")
          return StoreCall(commitCallFromJson(Input));
        if (Kind == "read")
          return StoreCall(readCallFromJson(Input));
        if (Kind == "changes")
          return StoreCall(
              ChangesCall{ChangesQuery{Input.at("table").get<std::string>(),
                                       Input.at("after").get<std::int64_t>(),
                                       millisecondsAt(Input, "wait_ms")}});
        return failure(ErrorCode::MalformedInput, "unknown call " + Kind);
      });
}

std::string encode(const StoreResponse<RowCommit> &Response) {
  return packMessage(responseToJson(Response, commitResultToJson));
}

std::string encode(const StoreResponse<RowPage> &Response) {
  return packMessage(responseToJson(Response, pageToJson));
}

Result<StoreResponse<RowCommit>> decodeCommitResponse(std::string_view Bytes) {
  return decodeResponse<RowCommit>(Bytes, commitResultFromJson);
}

Result<StoreResponse<RowPage>> decodePageResponse(std::string_view Bytes) {
  return decodeResponse<RowPage>(Bytes, pageFromJson);
}

} // namespace cuminroad
