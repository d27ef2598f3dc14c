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

/// Returns a reference to one component of an amount.
using ComponentAccessor = std::int64_t &(*)(ShareAmount &);
constexpr ComponentAccessor ComponentAccessors[] = {
    [](ShareAmount &Amount) -> std::int64_t & {
      return Amount.Held.MilliCores;
    },
    [](ShareAmount &Amount) -> std::int64_t & { return Amount.Held.MemoryMb; },
    [](ShareAmount &Amount) -> std::int64_t & {
      return Amount.Held.Accelerators;
    },
    [](ShareAmount &Amount) -> std::int64_t & { return Amount.Requests; }};

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

bool ShareAmount::anyPositive() const {
  return Held.MilliCores > 0 || Held.MemoryMb > 0 || Held.Accelerators > 0 ||
         Requests > 0;
}

ShareAmount componentMin(const ShareAmount &Left, const ShareAmount &Right) {
  return ShareAmount{componentwiseMin(Left.Held, Right.Held),
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

void ShareRow::transfer(const std::string &From, const std::string &To,
                        const ShareAmount &Amount) {
  Parts[From] -= Amount;
  Parts[To] += Amount;
  ShareAmount &Remaining = TransferRequests[To].Amount;
  Remaining -= Amount;
  Remaining = clampToZero(Remaining);
  if (!Remaining.anyPositive())
    TransferRequests.erase(To);
}

void ShareRow::requestTransfer(const std::string &Domain,
                               const ShareAmount &Amount) {
  std::int64_t LastOrder = 0;
  for (const auto &[Other, Request] : TransferRequests)
    LastOrder = std::max(LastOrder, Request.Order);
  const auto [Found, Inserted] = TransferRequests.try_emplace(Domain);
  Found->second.Amount = Amount;
  if (Inserted)
    Found->second.Order = LastOrder + 1;
}

std::string ShareRow::nextRecipient() const {
  const auto First =
      std::min_element(TransferRequests.begin(), TransferRequests.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.Order < B.second.Order;
                       });
  return First == TransferRequests.end() ? std::string() : First->first;
}

Result<ShareRow> parseShareRow(const nlohmann::json &Input) {
  try {
    ShareRow Row{
        readAmount(Input.at("limit")), readAmounts(Input.at("parts")), {}};
    for (const auto &[Domain, Request] : Input.at("wants").items())
      Row.TransferRequests[Domain] = TransferRequest{
          readAmount(Request.at("amount")), Request.at("order")};
    return Row;
  } catch (const nlohmann::json::exception &Exception) {
    return failure(ErrorCode::MalformedInput, Exception.what());
  }
}

nlohmann::json toJson(const ShareRow &Row) {
  nlohmann::json TransferRequests = nlohmann::json::object();
  for (const auto &[Domain, Request] : Row.TransferRequests)
    TransferRequests[Domain] = {{"amount", amountJson(Request.Amount)},
                                {"order", Request.Order}};
  return {{"limit", amountJson(Row.Limit)},
          {"parts", amountsJson(Row.Parts)},
          {"wants", TransferRequests}};
}

ShareAmount transferableLimits(const ContractTerms &Terms) {
  return ShareAmount{Terms.MaxCapacity, Terms.MaxRequests};
}

ShareRow evenShares(const ContractTerms &Terms, const std::string &Customer,
                    const std::vector<std::string> &Domains) {
  ShareRow Out;
  Out.Limit = transferableLimits(Terms);
  for (const std::string &Domain : Domains)
    Out.Parts[Domain] =
        transferableLimits(domainShare(Terms, Customer, Domain, Domains));
  return Out;
}

ShareRow scaledToTerms(const ShareRow &Row, const ContractTerms &Terms,
                       const std::string &Customer,
                       const std::vector<std::string> &Domains) {
  ShareRow Out = Row;
  ShareRow Even = evenShares(Terms, Customer, Domains);
  ShareAmount Now = transferableLimits(Terms);
  for (const ComponentAccessor Component : ComponentAccessors) {
    const std::int64_t Before = Component(Out.Limit);
    if (Component(Now) == 0 || Component(Now) == Before)
      continue;
    for (const std::string &Domain : Domains) {
      std::int64_t &Value = Component(Out.Parts[Domain]);
      // Limits stay below 1e9, so the product stays within 64 bits.
      Value = Before == 0 ? Component(Even.Parts[Domain])
                          : Value * Component(Now) / Before;
    }
    Component(Out.Limit) = Component(Now);
  }
  return Out;
}

ContractTerms termsForDomain(const ShareRow &Row, const ContractTerms &Terms,
                             const std::string &Customer,
                             const std::string &Domain,
                             const std::vector<std::string> &Domains) {
  const ShareRow Scaled = scaledToTerms(Row, Terms, Customer, Domains);
  const auto Found = Scaled.Parts.find(Domain);
  ContractTerms Out = Terms;
  // For a limit of 0 the row may still have a part; the limit applies.
  const ShareAmount DomainPart =
      componentMin(Found == Scaled.Parts.end() ? ShareAmount() : Found->second,
                   transferableLimits(Terms));
  Out.MaxCapacity = DomainPart.Held;
  Out.MaxRequests = DomainPart.Requests;
  return Out;
}

ShareAmount reservedShare(const ContractTerms &Terms,
                          const std::string &Customer,
                          const std::string &Domain,
                          const std::vector<std::string> &Domains) {
  const ShareAmount Even =
      transferableLimits(domainShare(Terms, Customer, Domain, Domains));
  ShareAmount Out;
  Out.Requests = Even.Requests / 2;
  if (Terms.Urgent)
    Out.Held = Capacity{Even.Held.MilliCores / 2, Even.Held.MemoryMb / 2,
                        Even.Held.Accelerators / 2};
  return Out;
}

} // namespace cuminroad
