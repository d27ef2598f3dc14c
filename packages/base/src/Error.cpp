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
              "the input has an unknown field"},
    ErrorInfo{ErrorCode::MissingField, "missing_field",
              "a required field is missing"},
    ErrorInfo{ErrorCode::ValueOutOfRange, "value_out_of_range",
              "a value has the wrong type or is out of range"},
    ErrorInfo{ErrorCode::BodyTooLarge, "body_too_large",
              "the body exceeds the size limit"},
    ErrorInfo{ErrorCode::UnknownCustomer, "unknown_customer",
              "no contract is in force for this customer"},
    ErrorInfo{ErrorCode::UnknownService, "unknown_service",
              "no backend server offers this service"},
    ErrorInfo{ErrorCode::UnknownJob, "unknown_job", "no job has this id"},
    ErrorInfo{ErrorCode::UnknownPath, "unknown_path",
              "no resource matches this path and method"},
    ErrorInfo{ErrorCode::Unauthorized, "unauthorized",
              "the bearer token is missing or wrong"},
    ErrorInfo{ErrorCode::VersionConflict, "version_conflict",
              "the contract's version is not the expected one; the change was "
              "not made"},
    ErrorInfo{
        ErrorCode::ChangePending, "change_pending",
        "another change to this contract is pending; this one was not made"},
    ErrorInfo{ErrorCode::ContractRetired, "contract_retired",
              "the contract is retired and accepts no new work"},
    ErrorInfo{ErrorCode::JobNeverFits, "job_never_fits",
              "the VMs of the failure domain are too small for this job, even "
              "when idle"},
    ErrorInfo{
        ErrorCode::QuotaTooSmall, "quota_too_small",
        "the job needs more capacity than the customer's contract allows"},
    ErrorInfo{ErrorCode::ConnectFailed, "connect_failed",
              "the connection was refused or could not be established; nothing "
              "was sent"},
    ErrorInfo{ErrorCode::AnswerLost, "answer_lost",
              "the connection closed before a response arrived"},
    ErrorInfo{ErrorCode::AnswerIncomplete, "answer_incomplete",
              "the response was truncated"},
    ErrorInfo{ErrorCode::AnswerMismatched, "answer_mismatched",
              "the response carries the id of another request"},
    ErrorInfo{ErrorCode::Timeout, "timeout", "no response arrived in time"},
    ErrorInfo{ErrorCode::BackendRefused, "backend_refused",
              "the backend server refused the work before running it"},
    ErrorInfo{ErrorCode::AnswerUnreadable, "answer_unreadable",
              "the response does not have the expected format"},
    ErrorInfo{ErrorCode::AnswerTooSlow, "answer_too_slow",
              "the response was still arriving when the timeout expired"},
    ErrorInfo{ErrorCode::ConnectTimedOut, "connect_timed_out",
              "no connection was established in time; nothing was sent"},
    ErrorInfo{ErrorCode::PlatformUnavailable, "platform_unavailable",
              "the platform's table service is unavailable"},
    ErrorInfo{ErrorCode::WriteOutcomeUnknown, "write_outcome_unknown",
              "it is unknown whether the write took effect"},
    ErrorInfo{ErrorCode::HistoryGone, "history_gone",
              "the store no longer retains the requested changes"},
    ErrorInfo{ErrorCode::NoOwner, "no_owner",
              "the failure domain or pool currently has no owner"},
    ErrorInfo{ErrorCode::StaleEpoch, "stale_epoch",
              "another daemon holds a newer epoch"},
    ErrorInfo{ErrorCode::NoCapacity, "no_capacity",
              "no backend server has free capacity"},
    ErrorInfo{ErrorCode::DeadlineTooClose, "deadline_too_close",
              "the work can't start before its deadline"},
    ErrorInfo{ErrorCode::RetryBudgetSpent, "retry_budget_spent",
              "the retry budget is exhausted"},
    ErrorInfo{ErrorCode::CustomerLimitReached, "customer_limit_reached",
              "the customer has reached the limit of its contract"},
    ErrorInfo{ErrorCode::KeyAlreadyClaimed, "key_already_claimed",
              "a request with this idempotency key was accepted before"},
    ErrorInfo{ErrorCode::TicketUnknown, "ticket_unknown",
              "the ticket is unknown or has expired"},
    ErrorInfo{ErrorCode::TicketOwnerGone, "ticket_owner_gone",
              "the daemon named by the ticket can't be reached"},
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
