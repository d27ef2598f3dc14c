#ifndef CUMINROAD_BASE_ERROR_H
#define CUMINROAD_BASE_ERROR_H

#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace cuminroad {

/// Codes of all errors that cuminroad reports. The numbers are part of the API
/// and never change their meaning; docs/ERRORS.md lists them.
enum class ErrorCode {
  MalformedInput = 100,
  UnknownField = 101,
  MissingField = 102,
  ValueOutOfRange = 103,
  BodyTooLarge = 104,
  UnknownCustomer = 110,
  UnknownService = 111,
  UnknownJob = 112,
  UnknownPath = 113,
  Unauthorized = 120,
  VersionConflict = 130,
  ChangePending = 131,
  ContractRetired = 132,
  JobNeverFits = 140,
  QuotaTooSmall = 141,
  ConnectFailed = 200,
  AnswerLost = 201,
  AnswerIncomplete = 202,
  AnswerMismatched = 203,
  Timeout = 204,
  BackendRefused = 205,
  AnswerUnreadable = 206,
  AnswerTooSlow = 207,
  ConnectTimedOut = 208,
  PlatformUnavailable = 210,
  WriteOutcomeUnknown = 211,
  HistoryGone = 212,
  NoOwner = 220,
  StaleEpoch = 221,
  NoCapacity = 230,
  DeadlineTooClose = 231,
  RetryBudgetSpent = 232,
  CustomerLimitReached = 233,
  KeyAlreadyClaimed = 240,
  TicketUnknown = 241,
  TicketOwnerGone = 242,
  NotReady = 250,
};

/// \returns whether a call that failed with \p Code was certainly not sent.
constexpr bool isNotSent(ErrorCode Code) {
  return Code == ErrorCode::ConnectFailed || Code == ErrorCode::ConnectTimedOut;
}

/// A row of the error table.
struct ErrorInfo {
  ErrorCode Code;
  /// Stable name, used in JSON.
  std::string_view Name;
  /// Human-readable description in English.
  std::string_view Message;
};

/// \returns all rows in ascending order of their numbers. The views live as
/// long as the program.
std::span<const ErrorInfo> errorTable();
/// \returns the row of \p Code. The views live as long as the program.
const ErrorInfo &errorInfo(ErrorCode Code);

/// An error: its code, and what it concerns.
struct Error {
  ErrorCode Code;
  /// The field, row, peer or URL concerned; may be empty.
  std::string Detail;

  /// \returns name, message and detail in one line.
  std::string text() const;
};

/// A value, or the error because of which there is none. Check it before use.
template <typename T> using Result = tl::expected<T, Error>;

/// Makes the error alternative of a Result.
inline tl::unexpected<Error> failure(ErrorCode Code, std::string Detail = {}) {
  return tl::unexpected<Error>(Error{Code, std::move(Detail)});
}

} // namespace cuminroad

#endif
