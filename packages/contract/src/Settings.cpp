#include "cuminroad/contract/Settings.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr IntegerRange PortRange{1, 65535};
constexpr IntegerRange DurationMsRange{10, 3'600'000};
constexpr IntegerRange BodyBytesRange{1024, 64 << 20};
constexpr IntegerRange EventsKeptRange{100, 1'000'000};
constexpr std::size_t MinTokenLength = 8;

Endpoint readEndpoint(JsonObjectReader &Parent, std::string_view Name,
                      std::vector<Error> &Errors) {
  const nlohmann::json *Value = Parent.member(Name);
  if (Value == nullptr) {
    Parent.addError(ErrorCode::MissingField, Name, "is required");
    return {};
  }
  JsonObjectReader Reader(*Value, Parent.pathOf(Name), Errors);
  Endpoint Parsed;
  Parsed.Address = Reader.text("address");
  Parsed.Port = static_cast<int>(Reader.integer("port", PortRange));
  Reader.finish();
  return Parsed;
}

void readDuration(JsonObjectReader &Reader, std::string_view Name,
                  milliseconds &Value) {
  Value = milliseconds(Reader.integer(Name, DurationMsRange, Value.count()));
}

Timings readTimings(JsonObjectReader &Parent, std::vector<Error> &Errors) {
  Timings Parsed;
  const nlohmann::json *Value = Parent.member("timings_ms");
  if (Value == nullptr)
    return Parsed;
  JsonObjectReader Reader(*Value, Parent.pathOf("timings_ms"), Errors);
  readDuration(Reader, "owner_lease", Parsed.OwnerLease);
  readDuration(Reader, "owner_renewal", Parsed.OwnerRenewal);
  readDuration(Reader, "owner_poll", Parsed.OwnerPoll);
  readDuration(Reader, "task_lease", Parsed.TaskLease);
  readDuration(Reader, "task_renewal", Parsed.TaskRenewal);
  readDuration(Reader, "config_poll", Parsed.ConfigPoll);
  readDuration(Reader, "vm_list_poll", Parsed.VmListPoll);
  readDuration(Reader, "grant_renewal", Parsed.GrantRenewal);
  readDuration(Reader, "grant_lease", Parsed.GrantLease);
  readDuration(Reader, "max_request_time", Parsed.MaxRequestTime);
  readDuration(Reader, "shutdown_linger", Parsed.ShutdownLinger);
  Reader.finish();
  // A lease shorter than two renewal intervals lapses after a single lost
  // renewal.
  if (Parsed.OwnerLease < 2 * Parsed.OwnerRenewal)
    Reader.addError(ErrorCode::ValueOutOfRange, "owner_lease",
                    "must be at least twice owner_renewal");
  if (Parsed.TaskLease < 2 * Parsed.TaskRenewal)
    Reader.addError(ErrorCode::ValueOutOfRange, "task_lease",
                    "must be at least twice task_renewal");
  if (Parsed.GrantLease < 2 * Parsed.GrantRenewal)
    Reader.addError(ErrorCode::ValueOutOfRange, "grant_lease",
                    "must be at least twice grant_renewal");
  return Parsed;
}

void readAddressMap(JsonObjectReader &Parent, Settings &Parsed) {
  const nlohmann::json *Value = Parent.member("address_map");
  if (Value == nullptr)
    return;
  if (!Value->is_object()) {
    Parent.addError(ErrorCode::ValueOutOfRange, "address_map",
                    "must be an object");
    return;
  }
  for (const auto &[From, To] : Value->items()) {
    if (To.is_string())
      Parsed.AddressMap[From] = To.get<std::string>();
    else
      Parent.addError(ErrorCode::ValueOutOfRange, "address_map." + From,
                      "must be \"address:port\"");
  }
}

} // namespace

std::string Endpoint::text() const {
  return fmt::format("{}:{}", Address, Port);
}

std::string Settings::translateUrl(std::string_view Url) const {
  const std::size_t Scheme = Url.find("://");
  const std::size_t Start = Scheme == std::string_view::npos ? 0 : Scheme + 3;
  const std::size_t End = std::min(Url.find('/', Start), Url.size());
  const auto Found =
      AddressMap.find(std::string(Url.substr(Start, End - Start)));
  if (Found == AddressMap.end())
    return std::string(Url);
  return fmt::format("{}{}{}", Url.substr(0, Start), Found->second,
                     Url.substr(End));
}

tl::expected<Settings, std::vector<Error>>
parseSettings(std::string_view Text) {
  auto Input = parseJson(Text, true);
  if (!Input)
    return tl::unexpected(std::vector{Input.error()});
  std::vector<Error> Errors;
  JsonObjectReader Reader(*Input, "", Errors);
  Settings Parsed;
  Parsed.Name = Reader.text("name");
  Parsed.Domain = Reader.text("failure_domain");
  Parsed.Domains = Reader.texts("all_failure_domains");
  if (std::count(Parsed.Domains.begin(), Parsed.Domains.end(), Parsed.Domain) !=
      1)
    Reader.addError(ErrorCode::ValueOutOfRange, "all_failure_domains",
                    "must contain failure_domain exactly once");
  Parsed.Http = readEndpoint(Reader, "http", Errors);
  Parsed.Peer = readEndpoint(Reader, "peer", Errors);
  Parsed.PlatformUrl = Reader.text("platform_url");
  Parsed.OperatorToken = Reader.text("operator_token");
  if (!Parsed.OperatorToken.empty() &&
      Parsed.OperatorToken.size() < MinTokenLength)
    Reader.addError(ErrorCode::ValueOutOfRange, "operator_token",
                    "must have at least 8 characters");
  readAddressMap(Reader, Parsed);
  Parsed.MaxBodyBytes =
      Reader.integer("max_body_bytes", BodyBytesRange, Parsed.MaxBodyBytes);
  Parsed.EventsKept =
      Reader.integer("events_kept", EventsKeptRange, Parsed.EventsKept);
  Parsed.Times = readTimings(Reader, Errors);
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Parsed;
}

} // namespace cuminroad
