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
                      std::vector<Error> &Faults) {
  const nlohmann::json *Value = Parent.member(Name);
  if (Value == nullptr) {
    Parent.addError(ErrorCode::MissingField, Name, "is required");
    return {};
  }
  JsonObjectReader Reader(*Value, Parent.pathOf(Name), Faults);
  Endpoint Out;
  Out.Address = Reader.text("address");
  Out.Port = static_cast<int>(Reader.integer("port", PortRange));
  Reader.finish();
  return Out;
}

void readDuration(JsonObjectReader &Reader, std::string_view Name,
                  milliseconds &Value) {
  Value = milliseconds(Reader.integer(Name, DurationMsRange, Value.count()));
}

Timings readTimings(JsonObjectReader &Parent, std::vector<Error> &Faults) {
  Timings Out;
  const nlohmann::json *Value = Parent.member("timings_ms");
  if (Value == nullptr)
    return Out;
  JsonObjectReader Reader(*Value, Parent.pathOf("timings_ms"), Faults);
  readDuration(Reader, "owner_lease", Out.OwnerLease);
  readDuration(Reader, "owner_renewal", Out.OwnerRenewal);
  readDuration(Reader, "owner_poll", Out.OwnerPoll);
  readDuration(Reader, "task_lease", Out.TaskLease);
  readDuration(Reader, "task_renewal", Out.TaskRenewal);
  readDuration(Reader, "config_poll", Out.ConfigPoll);
  readDuration(Reader, "vm_list_poll", Out.VmListPoll);
  readDuration(Reader, "grant_renewal", Out.GrantRenewal);
  readDuration(Reader, "grant_lease", Out.GrantLease);
  readDuration(Reader, "max_request_time", Out.MaxRequestTime);
  readDuration(Reader, "shutdown_linger", Out.ShutdownLinger);
  Reader.finish();
  // A lease that is renewed less than twice in its life lapses at the first
  // lost message.
  if (Out.OwnerLease < 2 * Out.OwnerRenewal)
    Reader.addError(ErrorCode::ValueOutOfRange, "owner_lease",
                    "must be at least twice owner_renewal");
  if (Out.TaskLease < 2 * Out.TaskRenewal)
    Reader.addError(ErrorCode::ValueOutOfRange, "task_lease",
                    "must be at least twice task_renewal");
  if (Out.GrantLease < 2 * Out.GrantRenewal)
    Reader.addError(ErrorCode::ValueOutOfRange, "grant_lease",
                    "must be at least twice grant_renewal");
  return Out;
}

void readAddressMap(JsonObjectReader &Parent, Settings &Out) {
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
      Out.AddressMap[From] = To.get<std::string>();
    else
      Parent.addError(ErrorCode::ValueOutOfRange, "address_map." + From,
                      "must be \"address:port\"");
  }
}

} // namespace

std::string Endpoint::text() const {
  return fmt::format("{}:{}", Address, Port);
}

std::string Settings::reachable(std::string_view Url) const {
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
  std::vector<Error> Faults;
  JsonObjectReader Reader(*Input, "", Faults);
  Settings Out;
  Out.Name = Reader.text("name");
  Out.Domain = Reader.text("failure_domain");
  Out.Domains = Reader.texts("all_failure_domains");
  if (std::count(Out.Domains.begin(), Out.Domains.end(), Out.Domain) != 1)
    Reader.addError(ErrorCode::ValueOutOfRange, "all_failure_domains",
                    "must have failure_domain as one of its entries");
  Out.Http = readEndpoint(Reader, "http", Faults);
  Out.Peer = readEndpoint(Reader, "peer", Faults);
  Out.PlatformUrl = Reader.text("platform_url");
  Out.OperatorToken = Reader.text("operator_token");
  if (!Out.OperatorToken.empty() && Out.OperatorToken.size() < MinTokenLength)
    Reader.addError(ErrorCode::ValueOutOfRange, "operator_token",
                    "must have at least 8 characters");
  readAddressMap(Reader, Out);
  Out.MaxBodyBytes =
      Reader.integer("max_body_bytes", BodyBytesRange, Out.MaxBodyBytes);
  Out.EventsKept =
      Reader.integer("events_kept", EventsKeptRange, Out.EventsKept);
  Out.Times = readTimings(Reader, Faults);
  Reader.finish();
  if (!Faults.empty())
    return tl::unexpected(std::move(Faults));
  return Out;
}

} // namespace cuminroad
