#include "BackendVm.h"

#include <algorithm>

namespace cuminroad::standin {

namespace {

/// How long a task takes to write a checkpoint before it stops.
constexpr milliseconds CheckpointDuration{100};
constexpr milliseconds LeaseCheckInterval{50};
/// Delay of the end of a task without a checkpoint, and of its report.
constexpr milliseconds ReportDelay{20};

std::int64_t millisecondsBetween(TimePoint Start, TimePoint Now) {
  return std::chrono::duration_cast<milliseconds>(Now - Start).count();
}

void rejectRequest(const HttpResponder &Respond, int Status,
                   const char *Reason) {
  Respond(HttpResponse{Status, {{"X-Refused", Reason}}, "{}"});
}

} // namespace

BackendVm::BackendVm(const nlohmann::json &Spec, Loop &ControlLoop,
                     HistoryFile &History)
    : ControlLoop_(ControlLoop), History_(History), Id_(Spec.at("id")),
      MilliCores_(Spec.at("milli_cores")), MemoryMb_(Spec.at("memory_mb")),
      Accelerators_(Spec.at("accelerators")), Slots_(Spec.at("slots")) {
  checkLeasePeriodically();
}

BackendVm::TaskKey BackendVm::parseTaskKey(const nlohmann::json &Input) {
  return {Input.at("job"), Input.at("index"), Input.at("attempt")};
}

nlohmann::json BackendVm::taskKeyJson(const TaskKey &Key) {
  return {{"job", std::get<0>(Key)},
          {"index", std::get<1>(Key)},
          {"attempt", std::get<2>(Key)}};
}

void BackendVm::handle(const std::string &Path, const HttpRequest &Request,
                       const HttpResponder &Respond) {
  stopTasksIfLeaseExpired();
  if (Path == "requests")
    return handleServiceRequest(Request, Respond);
  if (Path == "holder")
    return respondJson(
        Respond, 200,
        {{"fence", FencingToken_},
         {"holder", LeaseHolder_},
         {"renewed_ms_ago", millisecondsBetween(RenewedAt_, Clock_.now())}});
  const nlohmann::json Body = nlohmann::json::parse(Request.Body);
  if (Path == "control")
    return setFaults(Body, Respond);
  if (Faults_.Unreachable)
    return;
  if (Path == "claim")
    return claimLease(Body, Respond);
  if (!checkFencingToken(Body, Respond))
    return;
  if (Path == "renew")
    return renewLease(Body, Respond);
  if (Path == "start")
    return startTasks(Body, Respond);
  if (Path == "stop")
    return stopTasks(Body, Respond);
  if (Path == "in_flight")
    return listRequestsInFlight(Respond);
  if (Path == "throttle")
    return throttleTasks(Body, Respond);
  respondJson(Respond, 404);
}

void BackendVm::handleServiceRequest(const HttpRequest &Request,
                                     const HttpResponder &Respond) {
  const std::string Id(findHeader(Request.Headers, "X-Request-Id"));
  if (Faults_.Unreachable)
    return;
  if (Faults_.Leaving) {
    History_.write(
        {{"ev", "request_refused_leaving"}, {"vm", Id_}, {"id", Id}});
    return rejectRequest(Respond, 503, "leaving");
  }
  if (BusySlots_ >= Slots_) {
    History_.write({{"ev", "request_over_slots"}, {"vm", Id_}, {"id", Id}});
    return rejectRequest(Respond, 429, "slots");
  }
  ++BusySlots_;
  RequestCustomers_[Id] = findHeader(Request.Headers, "X-Customer");
  nlohmann::json Body = nlohmann::json::parse(Request.Body, nullptr, false);
  const bool IsPlainText = !Body.is_object();
  const int WorkMs =
      (IsPlainText ? 0 : Body.value("work_ms", 0)) + Faults_.SlowMs;
  const std::string Mark = IsPlainText ? "" : Body.value("mark", "");
  History_.write({{"ev", "request_start"},
                  {"vm", Id_},
                  {"id", Id},
                  {"mark", Mark},
                  {"customer", findHeader(Request.Headers, "X-Customer")}});
  const bool Hang = Faults_.HangRequests;
  const auto Finish = [this, Id, Mark, Hang, Respond,
                       ResponseBody = Request.Body] {
    --BusySlots_;
    RequestCustomers_.erase(Id);
    History_.write(
        {{"ev", "request_end"}, {"vm", Id_}, {"id", Id}, {"mark", Mark}});
    // A hanging VM has done the work but does not send the response.
    if (!Hang)
      Respond(HttpResponse{200, {{"X-Request-Id", Id}}, ResponseBody});
  };
  if (WorkMs == 0)
    Finish();
  else
    ControlLoop_.after(milliseconds(WorkMs), Finish);
}

bool BackendVm::checkFencingToken(const nlohmann::json &Body,
                                  const HttpResponder &Respond) {
  if (Body.at("fence").get<std::int64_t>() == FencingToken_)
    return true;
  rejectFencingToken(Respond);
  return false;
}

void BackendVm::rejectFencingToken(const HttpResponder &Respond) {
  respondJson(
      Respond, 409,
      {{"fence", FencingToken_},
       {"holder", LeaseHolder_},
       {"renewed_ms_ago", millisecondsBetween(RenewedAt_, Clock_.now())}});
}

void BackendVm::claimLease(const nlohmann::json &Body,
                           const HttpResponder &Respond) {
  if (Body.at("fence").get<std::int64_t>() <= FencingToken_)
    return rejectFencingToken(Respond);
  if (PendingRenewal_)
    rejectFencingToken(std::exchange(PendingRenewal_, nullptr));
  FencingToken_ = Body.at("fence");
  LeaseHolder_ = Body.at("holder");
  RenewedAt_ = Clock_.now();
  LeaseExpiry_ = RenewedAt_ + milliseconds(Body.at("lease_ms").get<int>());
  LeavingReported_ = Faults_.Leaving;
  nlohmann::json Running = nlohmann::json::array();
  for (const auto &[Key, Entry] : Tasks_) {
    nlohmann::json Row = taskKeyJson(Key);
    Row["milli_cores"] = Entry.MilliCores;
    Row["memory_mb"] = Entry.MemoryMb;
    Row["accelerators"] = Entry.Accelerators;
    Running.push_back(Row);
  }
  const nlohmann::json Ended = reportTaskEnds();
  History_.write({{"ev", "claim"}, {"vm", Id_}, {"fence", FencingToken_}});
  respondJson(
      Respond, 200,
      {{"running", Running}, {"ended", Ended}, {"leaving", Faults_.Leaving}});
}

void BackendVm::renewLease(const nlohmann::json &Body,
                           const HttpResponder &Respond) {
  RenewedAt_ = Clock_.now();
  LeaseExpiry_ = RenewedAt_ + milliseconds(Body.at("lease_ms").get<int>());
  for (const nlohmann::json &AcknowledgedEnd : Body.at("acks"))
    Ended_.erase(parseTaskKey(AcknowledgedEnd));
  if (PendingRenewal_)
    rejectFencingToken(std::exchange(PendingRenewal_, nullptr));
  PendingRenewal_ = Respond;
  const std::uint64_t Number = ++RenewalNumber_;
  if (hasUnreportedChanges())
    return respondToRenewal();
  ControlLoop_.after(milliseconds(Body.at("wait_ms").get<int>()),
                     [this, Number] {
                       if (PendingRenewal_ && RenewalNumber_ == Number)
                         respondToRenewal();
                     });
}

bool BackendVm::hasUnreportedChanges() const {
  const bool Ended =
      std::any_of(Ended_.begin(), Ended_.end(),
                  [](const auto &Entry) { return !Entry.second.Reported; });
  const bool Usage =
      std::any_of(Tasks_.begin(), Tasks_.end(), [](const auto &Entry) {
        return Entry.second.UsedMemoryMb > 0 && !Entry.second.UsageReported;
      });
  return Ended || Usage || (Faults_.Leaving && !LeavingReported_);
}

nlohmann::json BackendVm::reportTaskEnds() {
  nlohmann::json Ended = nlohmann::json::array();
  for (auto &[Key, Entry] : Ended_) {
    nlohmann::json Row = taskKeyJson(Key);
    Row["failed"] = Entry.Failed;
    Row["stopped"] = Entry.Stopped;
    Entry.Reported = true;
    Ended.push_back(Row);
  }
  return Ended;
}

void BackendVm::respondToRenewal() {
  const nlohmann::json Ended = reportTaskEnds();
  nlohmann::json Usage = nlohmann::json::array();
  for (auto &[Key, Entry] : Tasks_) {
    if (Entry.UsedMemoryMb == 0 || Entry.UsageReported)
      continue;
    nlohmann::json Row = taskKeyJson(Key);
    Row["milli_cores"] = Entry.MilliCores;
    Row["memory_mb"] = Entry.UsedMemoryMb;
    Entry.UsageReported = true;
    Usage.push_back(Row);
  }
  LeavingReported_ = Faults_.Leaving;
  respondJson(
      std::exchange(PendingRenewal_, nullptr), 200,
      {{"ended", Ended}, {"usage", Usage}, {"leaving", Faults_.Leaving}});
}

void BackendVm::startTasks(const nlohmann::json &Body,
                           const HttpResponder &Respond) {
  nlohmann::json Results = nlohmann::json::array();
  for (const nlohmann::json &Input : Body.at("tasks"))
    Results.push_back(startTask(Input));
  respondJson(Respond, 200, {{"results", Results}});
}

std::string BackendVm::startTask(const nlohmann::json &Input) {
  const TaskKey Key = parseTaskKey(Input);
  // A start that was sent again; the attempt must not run twice.
  if (Tasks_.contains(Key) || Ended_.contains(Key))
    return "started";
  if (Faults_.Leaving) {
    History_.write({{"ev", "task_refused_leaving"}, {"vm", Id_}});
    return "leaving";
  }
  if (Faults_.RefuseStarts)
    return "refused";
  if (Clock_.now() >= LeaseExpiry_)
    return "no_lease";
  Task NewTask;
  NewTask.MilliCores = Input.at("milli_cores");
  NewTask.MemoryMb = Input.at("memory_mb");
  NewTask.Accelerators = Input.at("accelerators");
  Tasks_[Key] = NewTask;
  recordTaskEvent("task_start", Key, NewTask);
  const int Duration = Input.at("duration_ms");
  if (Faults_.FailTasks)
    ControlLoop_.after(ReportDelay, [this, Key] { endTask(Key, true, false); });
  else if (Duration > 0)
    ControlLoop_.after(milliseconds(Duration),
                       [this, Key] { endTask(Key, false, false); });
  if (Faults_.MemoryGrowthMb > 0)
    Tasks_[Key].UsedMemoryMb = NewTask.MemoryMb + Faults_.MemoryGrowthMb;
  return "started";
}

void BackendVm::stopTasks(const nlohmann::json &Body,
                          const HttpResponder &Respond) {
  const bool Checkpoint = Body.at("checkpoint");
  for (const nlohmann::json &Input : Body.at("tasks")) {
    const TaskKey Key = parseTaskKey(Input);
    const auto Found = Tasks_.find(Key);
    if (Found == Tasks_.end()) {
      // Never started here, or its end is acknowledged already: the stop is
      // confirmed nevertheless.
      Ended_.try_emplace(Key, EndedTask{false, true, false});
      continue;
    }
    if (std::exchange(Found->second.Stopping, true))
      continue;
    ControlLoop_.after(Checkpoint ? CheckpointDuration : ReportDelay,
                       [this, Key] { endTask(Key, false, true); });
  }
  if (PendingRenewal_ && hasUnreportedChanges())
    respondToRenewal();
  respondJson(Respond, 200);
}

void BackendVm::listRequestsInFlight(const HttpResponder &Respond) const {
  nlohmann::json Requests = nlohmann::json::array();
  for (const auto &[Id, Customer] : RequestCustomers_)
    Requests.push_back({{"id", Id}, {"customer", Customer}});
  respondJson(Respond, 200, {{"requests", Requests}});
}

void BackendVm::throttleTasks(const nlohmann::json &Body,
                              const HttpResponder &Respond) {
  for (const nlohmann::json &Input : Body.at("tasks"))
    if (const auto Found = Tasks_.find(parseTaskKey(Input));
        Found != Tasks_.end())
      recordTaskEvent("task_throttled", Found->first, Found->second);
  respondJson(Respond, 200);
}

void BackendVm::endTask(TaskKey Key, bool Failed, bool Stopped) {
  const auto Found = Tasks_.find(Key);
  if (Found == Tasks_.end())
    return;
  recordTaskEvent(Stopped ? "task_stopped" : "task_end", Key, Found->second);
  Tasks_.erase(Found);
  Ended_[Key] = EndedTask{Failed, Stopped, false};
  // Delayed, so that ends close together are reported in one response.
  ControlLoop_.after(ReportDelay, [this] {
    if (PendingRenewal_ && hasUnreportedChanges())
      respondToRenewal();
  });
}

void BackendVm::stopTasksIfLeaseExpired() {
  if (Clock_.now() < LeaseExpiry_)
    return;
  while (!Tasks_.empty())
    endTask(Tasks_.begin()->first, false, true);
}

void BackendVm::checkLeasePeriodically() {
  stopTasksIfLeaseExpired();
  ControlLoop_.after(LeaseCheckInterval, [this] { checkLeasePeriodically(); });
}

void BackendVm::recordTaskEvent(const char *EventName, const TaskKey &Key,
                                const Task &Entry) {
  nlohmann::json Event = taskKeyJson(Key);
  Event["ev"] = EventName;
  Event["vm"] = Id_;
  Event["fence"] = FencingToken_;
  Event["milli_cores"] = Entry.MilliCores;
  Event["memory_mb"] = Entry.MemoryMb;
  Event["accelerators"] = Entry.Accelerators;
  History_.write(Event);
}

void BackendVm::setFaults(const nlohmann::json &Body,
                          const HttpResponder &Respond) {
  Faults_.RefuseStarts = Body.value("refuse_starts", Faults_.RefuseStarts);
  Faults_.FailTasks = Body.value("fail_tasks", Faults_.FailTasks);
  Faults_.HangRequests = Body.value("hang_requests", Faults_.HangRequests);
  Faults_.Unreachable = Body.value("unreachable", Faults_.Unreachable);
  Faults_.SlowMs = Body.value("slow_ms", Faults_.SlowMs);
  Faults_.MemoryGrowthMb = Body.value("memory_growth_mb", 0);
  if (Body.value("leaving", false) && !std::exchange(Faults_.Leaving, true)) {
    History_.write({{"ev", "leaving"}, {"vm", Id_}});
    if (PendingRenewal_)
      respondToRenewal();
  }
  respondJson(Respond, 200);
}

} // namespace cuminroad::standin
