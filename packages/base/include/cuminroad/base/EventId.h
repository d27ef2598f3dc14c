#ifndef CUMINROAD_BASE_EVENTID_H
#define CUMINROAD_BASE_EVENTID_H

#include <span>
#include <string_view>

namespace cuminroad {

/// Identifies the events that a process logs. docs/EVENTS.md lists them; a test
/// checks that the page matches eventCatalogue().
enum class EventId {
  DaemonStarted = 1000,
  DaemonReady = 1001,
  DaemonStopping = 1002,
  DaemonStopped = 1003,
  SettingsRejected = 1004,
  SettingsChanged = 1005,
  OwnershipTaken = 1100,
  OwnershipLost = 1101,
  OwnershipReleased = 1102,
  VmClaimed = 1110,
  VmClaimRefused = 1111,
  VmUnreachable = 1112,
  VmLeaving = 1113,
  VmGone = 1114,
  VmQuarantined = 1115,
  VmLeaseLapsed = 1116,
  VmRestarted = 1117,
  VmCrashed = 1118,
  VmTokenRaised = 1119,
  VmOrderVoided = 1120,
  VmEndsPartial = 1121,
  PlatformLost = 1200,
  PlatformBack = 1201,
  RowUnreadable = 1210,
  StoreLost = 1211,
  StoreBack = 1212,
  StoreRelayed = 1213,
  StoreRelayEnded = 1214,
  StoreWriteUnknown = 1215,
  ContractProposed = 1300,
  ContractAccepted = 1301,
  ContractApplied = 1302,
  ContractConflict = 1303,
  ConfigApplied = 1310,
  ConfigStale = 1311,
  ConfigCurrent = 1312,
  JobAccepted = 1400,
  JobRefused = 1401,
  JobFinished = 1402,
  JobCancelled = 1403,
  JobKnown = 1404,
  JobOutcomeUnknown = 1405,
  JobsLoaded = 1406,
  JobStage = 1407,
  JobGivenUp = 1408,
  JobQueueNotInForce = 1409,
  TaskStarted = 1410,
  TaskStartFailed = 1411,
  TaskEnded = 1412,
  TaskPreempted = 1413,
  TaskLost = 1414,
  TaskThrottled = 1415,
  StepBlocked = 1416,
  RunStarted = 1420,
  RunRefused = 1421,
  RunEnded = 1422,
  RunLost = 1423,
  RunStopped = 1424,
  RunPaced = 1425,
  RunSuspected = 1426,
  RunOrdered = 1427,
  RunUnknown = 1428,
  AdviceFailed = 1430,
  AdviceCame = 1431,
  PoolLoad = 1440,
  PoolCountFailed = 1441,
  RequestUnknown = 1500,
  RequestNotRun = 1501,
  RouteUnknown = 1502,
  KeyUnknown = 1503,
  HttpLimitHit = 1510,
  HttpLimitRaised = 1511,
  PeerMessageRejected = 1600,
  LinesDropped = 1700,
};

/// Severity of an event.
enum class Severity { Info, Warning, Error };

/// A row of the event catalogue.
struct EventInfo {
  EventId Id;
  Severity Level;
  std::string_view Name;
  std::string_view Description;
};

/// \returns all rows in ascending order of their numbers. The views live as
/// long as the program.
std::span<const EventInfo> eventCatalogue();
/// \returns the row of \p Id.
const EventInfo &eventInfo(EventId Id);
/// \returns "info", "warning" or "error".
std::string_view severityName(Severity Level);

} // namespace cuminroad

#endif
