#include "cuminroad/base/Error.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace cuminroad {

namespace {

constexpr std::array ErrorRows{
    ErrorInfo{ErrorCode::MalformedInput, "malformed_input",
              "the input is not well-formed"},
    ErrorInfo{ErrorCode::UnknownField, "unknown_field",
              "the input has a field that is not known"},
    ErrorInfo{ErrorCode::MissingField, "missing_field",
              "a required field is missing"},
    ErrorInfo{ErrorCode::ValueOutOfRange, "value_out_of_range",
              "a value is of the wrong type or out of its range"},
    ErrorInfo{ErrorCode::BodyTooLarge, "body_too_large",
              "the body is larger than the limit"},
    ErrorInfo{ErrorCode::UnknownCustomer, "unknown_customer",
              "no contract is in force for this customer"},
    ErrorInfo{ErrorCode::UnknownService, "unknown_service",
              "no backend server offers this service"},
    ErrorInfo{ErrorCode::UnknownJob, "unknown_job", "no job has this id"},
    ErrorInfo{ErrorCode::UnknownPath, "unknown_path",
              "no resource has this path and method"},
    ErrorInfo{ErrorCode::Unauthorized, "unauthorized",
              "the bearer token is missing or wrong"},
    ErrorInfo{ErrorCode::VersionConflict, "version_conflict",
              "the contract has another version than the one expected"},
    ErrorInfo{ErrorCode::ChangePending, "change_pending",
              "another change of this contract is not yet accepted"},
    ErrorInfo{ErrorCode::ContractRetired, "contract_retired",
              "the contract is retired and takes no new work"},
    ErrorInfo{ErrorCode::JobNeverFits, "job_never_fits",
              "no VM of the domain can ever hold a task of this job"},
    ErrorInfo{ErrorCode::QuotaTooSmall, "quota_too_small",
              "the job needs more than the contract's capacity"},
    ErrorInfo{ErrorCode::ConnectFailed, "connect_failed",
              "no connection was made; nothing was sent"},
    ErrorInfo{ErrorCode::AnswerLost, "answer_lost",
              "the connection ended before an answer came"},
    ErrorInfo{ErrorCode::AnswerIncomplete, "answer_incomplete",
              "the answer was cut off"},
    ErrorInfo{ErrorCode::AnswerMismatched, "answer_mismatched",
              "the answer carries another request's id"},
    ErrorInfo{ErrorCode::Timeout, "timeout", "no answer came in time"},
    ErrorInfo{ErrorCode::BackendRefused, "backend_refused",
              "the backend server refused the work before running it"},
    ErrorInfo{ErrorCode::AnswerUnreadable, "answer_unreadable",
              "the answer does not have the agreed form"},
    ErrorInfo{ErrorCode::PlatformUnavailable, "platform_unavailable",
              "the platform's table service can't be reached"},
    ErrorInfo{ErrorCode::WriteOutcomeUnknown, "write_outcome_unknown",
              "it is unknown whether the table took the write"},
    ErrorInfo{ErrorCode::HistoryGone, "history_gone",
              "the store no longer has the changes asked for"},
    ErrorInfo{ErrorCode::NoOwner, "no_owner",
              "the failure domain has no scheduler at present"},
    ErrorInfo{ErrorCode::StaleEpoch, "stale_epoch",
              "another daemon holds a newer epoch"},
    ErrorInfo{ErrorCode::NoCapacity, "no_capacity",
              "no capacity is free on any backend server"},
    ErrorInfo{ErrorCode::DeadlineTooClose, "deadline_too_close",
              "the work can't start before its deadline"},
    ErrorInfo{ErrorCode::RetryBudgetSpent, "retry_budget_spent",
              "the budget for retries is spent"},
    ErrorInfo{ErrorCode::CustomerLimitReached, "customer_limit_reached",
              "the customer holds all the capacity of its contract"},
    ErrorInfo{ErrorCode::KeyAlreadyClaimed, "key_already_claimed",
              "a request with this idempotency key was taken before"},
    ErrorInfo{ErrorCode::TicketUnknown, "ticket_unknown",
              "the ticket is not one of this system or has expired"},
    ErrorInfo{ErrorCode::TicketOwnerGone, "ticket_owner_gone",
              "the process named by the ticket can't be reached"},
    ErrorInfo{ErrorCode::NotReady, "not_ready",
              "the daemon is starting or stopping"},
};

} // namespace

std::span<const ErrorInfo> errorTable() { return ErrorRows; }

const ErrorInfo &errorInfo(ErrorCode Code) {
  const auto *Row =
      std::find_if(ErrorRows.begin(), ErrorRows.end(),
                   [Code](const ErrorInfo &Info) { return Info.Code == Code; });
  return Row == ErrorRows.end() ? ErrorRows.front() : *Row;
}

std::string Error::text() const {
  const ErrorInfo &Info = errorInfo(Code);
  if (Detail.empty())
    return fmt::format("{}: {}", Info.Name, Info.Message);
  return fmt::format("{}: {} ({})", Info.Name, Info.Message, Detail);
}

} // namespace cuminroad
