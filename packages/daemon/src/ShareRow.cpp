#include "cuminroad/daemon/ShareRow.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/daemon/DomainShare.h"

namespace cuminroad {

namespace {

nlohmann::json amountJson(const ShareAmount &Amount) {
  return {Amount.Held.MilliCores, Amount.Held.MemoryMb,
          Amount.Held.Accelerators, Amount.Requests};
}

ShareAmount readAmount(const nlohmann::json &Input) {
  return ShareAmount{Capacity{Input.at(0), Input.at(1), Input.at(2)},
                     Input.at(3)};
}

std::map<std::string, ShareAmount> readAmounts(const nlohmann::json &Input) {
  std::map<std::string, ShareAmount> Out;
  for (const auto &[Domain, Amount] : Input.items())
    Out[Domain] = readAmount(Amount);
  return Out;
}

nlohmann::json amountsJson(const std::map<std::string, ShareAmount> &Amounts) {
  nlohmann::json Out = nlohmann::json::object();
  for (const auto &[Domain, Amount] : Amounts)
    Out[Domain] = amountJson(Amount);
  return Out;
}

/// One of the numbers of an amount.
using Field = std::int64_t &(*)(ShareAmount &);
constexpr Field Fields[] = {
    [](ShareAmount &Of) -> std::int64_t & { return Of.Held.MilliCores; },
    [](ShareAmount &Of) -> std::int64_t & { return Of.Held.MemoryMb; },
    [](ShareAmount &Of) -> std::int64_t & { return Of.Held.Accelerators; },
    [](ShareAmount &Of) -> std::int64_t & { return Of.Requests; }};

} // namespace

ShareAmount &ShareAmount::operator+=(const ShareAmount &Other) {
  Held += Other.Held;
  Requests += Other.Requests;
  return *this;
}

ShareAmount &ShareAmount::operator-=(const ShareAmount &Other) {
  Held -= Other.Held;
  Requests -= Other.Requests;
  return *this;
}

bool ShareAmount::any() const {
  return Held.MilliCores > 0 || Held.MemoryMb > 0 || Held.Accelerators > 0 ||
         Requests > 0;
}

ShareAmount smaller(const ShareAmount &Left, const ShareAmount &Right) {
  return ShareAmount{smaller(Left.Held, Right.Held),
                     std::min(Left.Requests, Right.Requests)};
}

ShareAmount clampToZero(const ShareAmount &Amount) {
  const auto Clamp = [](std::int64_t Value) {
    return std::max<std::int64_t>(Value, 0);
  };
  return ShareAmount{Capacity{Clamp(Amount.Held.MilliCores),
                              Clamp(Amount.Held.MemoryMb),
                              Clamp(Amount.Held.Accelerators)},
                     Clamp(Amount.Requests)};
}

void ShareRow::move(const std::string &From, const std::string &To,
                    const ShareAmount &Amount) {
  Parts[From] -= Amount;
  Parts[To] += Amount;
  ShareAmount &Want = Wants[To].Amount;
  Want -= Amount;
  Want = clampToZero(Want);
  if (!Want.any())
    Wants.erase(To);
}

void ShareRow::want(const std::string &Domain, const ShareAmount &Amount) {
  std::int64_t Last = 0;
  for (const auto &[Other, Want] : Wants)
    Last = std::max(Last, Want.Order);
  const auto [Found, New] = Wants.try_emplace(Domain);
  Found->second.Amount = Amount;
  if (New)
    Found->second.Order = Last + 1;
}

std::string ShareRow::firstInLine() const {
  const auto First = std::min_element(Wants.begin(), Wants.end(),
                                      [](const auto &A, const auto &B) {
                                        return A.second.Order < B.second.Order;
                                      });
  return First == Wants.end() ? std::string() : First->first;
}

Result<ShareRow> parseShareRow(const nlohmann::json &Input) {
  try {
    ShareRow Row{
        readAmount(Input.at("limit")), readAmounts(Input.at("parts")), {}};
    for (const auto &[Domain, Want] : Input.at("wants").items())
      Row.Wants[Domain] =
          ShareWant{readAmount(Want.at("amount")), Want.at("order")};
    return Row;
  } catch (const nlohmann::json::exception &Fault) {
    return failure(ErrorCode::MalformedInput, Fault.what());
  }
}

nlohmann::json toJson(const ShareRow &Row) {
  nlohmann::json Wants = nlohmann::json::object();
  for (const auto &[Domain, Want] : Row.Wants)
    Wants[Domain] = {{"amount", amountJson(Want.Amount)},
                     {"order", Want.Order}};
  return {{"limit", amountJson(Row.Limit)},
          {"parts", amountsJson(Row.Parts)},
          {"wants", Wants}};
}

ShareAmount limitOf(const ContractTerms &Terms) {
  return ShareAmount{Terms.MaxHeld, Terms.MaxRequests};
}

ShareRow evenShares(const ContractTerms &Terms, const std::string &Customer,
                    const std::vector<std::string> &Domains) {
  ShareRow Out;
  Out.Limit = limitOf(Terms);
  for (const std::string &Domain : Domains)
    Out.Parts[Domain] = limitOf(domainShare(Terms, Customer, Domain, Domains));
  return Out;
}

ShareRow scaledTo(const ShareRow &Row, const ContractTerms &Terms,
                  const std::string &Customer,
                  const std::vector<std::string> &Domains) {
  ShareRow Out = Row;
  ShareRow Even = evenShares(Terms, Customer, Domains);
  ShareAmount Now = limitOf(Terms);
  for (const Field Part : Fields) {
    const std::int64_t Before = Part(Out.Limit);
    if (Part(Now) == 0 || Part(Now) == Before)
      continue;
    for (const std::string &Domain : Domains) {
      std::int64_t &Value = Part(Out.Parts[Domain]);
      // Limits stay below 1e9, so the product stays within 64 bits.
      Value =
          Before == 0 ? Part(Even.Parts[Domain]) : Value * Part(Now) / Before;
    }
    Part(Out.Limit) = Part(Now);
  }
  return Out;
}

ContractTerms shareUnder(const ShareRow &Row, const ContractTerms &Terms,
                         const std::string &Customer, const std::string &Domain,
                         const std::vector<std::string> &Domains) {
  const ShareRow Scaled = scaledTo(Row, Terms, Customer, Domains);
  const auto Found = Scaled.Parts.find(Domain);
  ContractTerms Out = Terms;
  // A part that the row keeps for later is more than a limit of 0.
  const ShareAmount Part =
      smaller(Found == Scaled.Parts.end() ? ShareAmount() : Found->second,
              limitOf(Terms));
  Out.MaxHeld = Part.Held;
  Out.MaxRequests = Part.Requests;
  return Out;
}

ShareAmount keptPart(const ContractTerms &Terms, const std::string &Customer,
                     const std::string &Domain,
                     const std::vector<std::string> &Domains) {
  const ShareAmount Even =
      limitOf(domainShare(Terms, Customer, Domain, Domains));
  ShareAmount Out;
  Out.Requests = Even.Requests / 2;
  if (Terms.Urgent)
    Out.Held = Capacity{Even.Held.MilliCores / 2, Even.Held.MemoryMb / 2,
                        Even.Held.Accelerators / 2};
  return Out;
}

} // namespace cuminroad
