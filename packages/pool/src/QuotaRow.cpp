#include "cuminroad/pool/QuotaRow.h"

#include <algorithm>

#include "cuminroad/base/MessagePack.h"

namespace cuminroad {

namespace {

nlohmann::json toJson(const QuotaEntry &Entry) {
  nlohmann::json Given = nlohmann::json::object();
  for (const auto &[Pool, Sum] : Entry.Given)
    Given[Pool] = Sum;
  auto Out = nlohmann::json::array({Entry.Needed, std::move(Given)});
  if (Entry.Claim != QuotaFractions{}) {
    Out.push_back(Entry.Claim);
    Out.push_back(Entry.ClaimedSinceMs);
  }
  return Out;
}

/// A sum that is given may exceed the whole, as parts may come back.
QuotaFractions fractionsFrom(const nlohmann::json &Input) {
  return Input.get<QuotaFractions>();
}

bool isValid(const QuotaFractions &Fractions) {
  return std::all_of(Fractions.begin(), Fractions.end(),
                     [](std::int64_t Each) { return Each >= 0; });
}

Result<QuotaEntry> entryFrom(const nlohmann::json &Input) {
  QuotaEntry Out;
  Out.Needed = fractionsFrom(Input.at(0));
  bool Valid = isValid(Out.Needed);
  for (const auto &[Pool, Sum] : Input.at(1).items()) {
    Out.Given[Pool] = fractionsFrom(Sum);
    Valid = Valid && isValid(Out.Given[Pool]);
  }
  if (Input.size() > 3) {
    Out.Claim = fractionsFrom(Input.at(2));
    Out.ClaimedSinceMs = Input.at(3).get<std::int64_t>();
    Valid = Valid && isValid(Out.Claim);
  }
  if (!Valid)
    return failure(ErrorCode::ValueOutOfRange, "fraction");
  return Out;
}

} // namespace

std::string encodeQuotaRow(const QuotaRow &Row) {
  nlohmann::json Accounts = nlohmann::json::object();
  for (const auto &[Name, Entry] : Row.Accounts)
    Accounts[Name] = toJson(Entry);
  return packMessage(nlohmann::json::array({Row.Pools, std::move(Accounts)}));
}

Result<QuotaRow> decodeQuotaRow(std::string_view Bytes) {
  return unpackMessage<QuotaRow>(
      Bytes, [](const nlohmann::json &Input) -> Result<QuotaRow> {
        QuotaRow Out;
        Out.Pools = Input.at(0).get<std::vector<std::string>>();
        for (const auto &[Name, Entry] : Input.at(1).items()) {
          auto Decoded = entryFrom(Entry);
          if (!Decoded)
            return tl::unexpected(Decoded.error());
          Out.Accounts.emplace(Name, std::move(*Decoded));
        }
        return Out;
      });
}

} // namespace cuminroad
