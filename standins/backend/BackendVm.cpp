#include "BackendVm.h"

#include <algorithm>

namespace cuminroad::standin {

namespace {

constexpr milliseconds CheckpointTime{100};
constexpr milliseconds LeaseCheck{50};
constexpr milliseconds NewsDelay{20};

std::int64_t millisSince(TimePoint Then, TimePoint Now) {
  return std::chrono::duration_cast<milliseconds>(Now - Then).count();
}

void refuseRequest(const HttpResponder &Respond, int Status, const char *Why) {
  Respond(HttpResponse{Status, {{"X-Refused", Why}}, "{}"});
}

} // namespace

BackendVm::BackendVm(const nlohmann::json &Spec, Loop &Home, History &Log)
    : Home_(Home), Log_(Log), Id_(Spec.at("id")),
      MilliCores_(Spec.at("milli_cores")), MemoryMb_(Spec.at("memory_mb")),
      Accelerators_(Spec.at("accelerators")), Slots_(Spec.at("slots")) {
  watchLease();
}

BackendVm::TaskKey BackendVm::keyOf(const nlohmann::json &Input) {
  return {Input.at("job"), Input.at("index"), Input.at("attempt")};
}

nlohmann::json BackendVm::keyJson(const TaskKey &Key) {
  return {{"job", std::get<0>(Key)},
          {"index", std::get<1>(Key)},
          {"attempt", std::get<2>(Key)}};
}

void BackendVm::handle(const std::string &Path, const HttpRequest &Request,
                       const HttpResponder &Respond) {
  checkLease();
  if (Path == "requests")
    return request(Request, Respond);
  if (Path == "holder")
    return reply(Respond, 200,
                 {{"fence", Fence_},
                  {"holder", Holder_},
                  {"renewed_ms_ago", millisSince(RenewedAt_, Clock_.now())}});
  const nlohmann::json Body = nlohmann::json::parse(Request.Body);
  if (Path == "control")
    return control(Body, Respond);
  if (Faults_.Unreachable)
    return;
  if (Path == "claim")
    return claim(Body, Respond);
  if (!checkFence(Body, Respond))
    return;
  if (Path == "renew")
    return renew(Body, Respond);
  if (Path == "start")
    return start(Body, Respond);
  if (Path == "stop")
    return stop(Body, Respond);
  if (Path == "in_flight")
    return listRequests(Respond);
  if (Path == "throttle")
    return throttle(Body, Respond);
  reply(Respond, 404);
}

void BackendVm::request(const HttpRequest &Request,
                        const HttpResponder &Respond) {
  const std::string Id(findHeader(Request.Headers, "X-Request-Id"));
  if (Faults_.Unreachable)
    return;
  if (Faults_.Leaving) {
    Log_.write({{"ev", "request_refused_leaving"}, {"vm", Id_}, {"id", Id}});
    return refuseRequest(Respond, 503, "leaving");
  }
  if (Busy_ >= Slots_) {
    Log_.write({{"ev", "request_over_slots"}, {"vm", Id_}, {"id", Id}});
    return refuseRequest(Respond, 429, "slots");
  }
  ++Busy_;
  InFlight_[Id] = findHeader(Request.Headers, "X-Customer");
  nlohmann::json Body = nlohmann::json::parse(Request.Body, nullptr, false);
  const bool Plain = !Body.is_object();
  const int Work = (Plain ? 0 : Body.value("work_ms", 0)) + Faults_.SlowMs;
  const std::string Mark = Plain ? "" : Body.value("mark", "");
  Log_.write({{"ev", "request_start"},
              {"vm", Id_},
              {"id", Id},
              {"mark", Mark},
              {"customer", findHeader(Request.Headers, "X-Customer")}});
  const bool Hang = Faults_.HangRequests;
  const auto Finish = [this, Id, Mark, Hang, Respond, Text = Request.Body] {
    --Busy_;
    InFlight_.erase(Id);
    Log_.write(
        {{"ev", "request_end"}, {"vm", Id_}, {"id", Id}, {"mark", Mark}});
    // A hanging VM has done the work, but its answer never leaves it.
    if (!Hang)
      Respond(HttpResponse{200, {{"X-Request-Id", Id}}, Text});
  };
  if (Work == 0)
    Finish();
  else
    Home_.after(milliseconds(Work), Finish);
}

bool BackendVm::checkFence(const nlohmann::json &Body,
                           const HttpResponder &Respond) {
  if (Body.at("fence").get<std::int64_t>() == Fence_)
    return true;
  refuseFence(Respond);
  return false;
}

void BackendVm::refuseFence(const HttpResponder &Respond) {
  reply(Respond, 409,
        {{"fence", Fence_},
         {"holder", Holder_},
         {"renewed_ms_ago", millisSince(RenewedAt_, Clock_.now())}});
}

void BackendVm::claim(const nlohmann::json &Body,
                      const HttpResponder &Respond) {
  if (Body.at("fence").get<std::int64_t>() <= Fence_)
    return refuseFence(Respond);
  if (Renewal_)
    refuseFence(std::exchange(Renewal_, nullptr));
  Fence_ = Body.at("fence");
  Holder_ = Body.at("holder");
  RenewedAt_ = Clock_.now();
  LeaseEnds_ = RenewedAt_ + milliseconds(Body.at("lease_ms").get<int>());
  LeavingReported_ = Faults_.Leaving;
  nlohmann::json Running = nlohmann::json::array();
  for (const auto &[Key, Entry] : Tasks_) {
    nlohmann::json Row = keyJson(Key);
    Row["milli_cores"] = Entry.MilliCores;
    Row["memory_mb"] = Entry.MemoryMb;
    Row["accelerators"] = Entry.Accelerators;
    Running.push_back(Row);
  }
  const nlohmann::json Ended = reportEnds();
  Log_.write({{"ev", "claim"}, {"vm", Id_}, {"fence", Fence_}});
  reply(Respond, 200,
        {{"running", Running}, {"ended", Ended}, {"leaving", Faults_.Leaving}});
}

void BackendVm::renew(const nlohmann::json &Body,
                      const HttpResponder &Respond) {
  RenewedAt_ = Clock_.now();
  LeaseEnds_ = RenewedAt_ + milliseconds(Body.at("lease_ms").get<int>());
  for (const nlohmann::json &Ack : Body.at("acks"))
    Ended_.erase(keyOf(Ack));
  if (Renewal_)
    refuseFence(std::exchange(Renewal_, nullptr));
  Renewal_ = Respond;
  const std::uint64_t Count = ++RenewalCount_;
  if (hasNews())
    return answerRenewal();
  Home_.after(milliseconds(Body.at("wait_ms").get<int>()), [this, Count] {
    if (Renewal_ && RenewalCount_ == Count)
      answerRenewal();
  });
}

bool BackendVm::hasNews() const {
  const bool Ended =
      std::any_of(Ended_.begin(), Ended_.end(),
                  [](const auto &Entry) { return !Entry.second.Reported; });
  const bool Usage =
      std::any_of(Tasks_.begin(), Tasks_.end(), [](const auto &Entry) {
        return Entry.second.UsedMemoryMb > 0 && !Entry.second.UsageReported;
      });
  return Ended || Usage || (Faults_.Leaving && !LeavingReported_);
}

nlohmann::json BackendVm::reportEnds() {
  nlohmann::json Ended = nlohmann::json::array();
  for (auto &[Key, Entry] : Ended_) {
    nlohmann::json Row = keyJson(Key);
    Row["failed"] = Entry.Failed;
    Row["stopped"] = Entry.Stopped;
    Entry.Reported = true;
    Ended.push_back(Row);
  }
  return Ended;
}

void BackendVm::answerRenewal() {
  const nlohmann::json Ended = reportEnds();
  nlohmann::json Usage = nlohmann::json::array();
  for (auto &[Key, Entry] : Tasks_) {
    if (Entry.UsedMemoryMb == 0 || Entry.UsageReported)
      continue;
    nlohmann::json Row = keyJson(Key);
    Row["milli_cores"] = Entry.MilliCores;
    Row["memory_mb"] = Entry.UsedMemoryMb;
    Entry.UsageReported = true;
    Usage.push_back(Row);
  }
  LeavingReported_ = Faults_.Leaving;
  reply(std::exchange(Renewal_, nullptr), 200,
        {{"ended", Ended}, {"usage", Usage}, {"leaving", Faults_.Leaving}});
}

void BackendVm::start(const nlohmann::json &Body,
                      const HttpResponder &Respond) {
  nlohmann::json Results = nlohmann::json::array();
  for (const nlohmann::json &Input : Body.at("tasks"))
    Results.push_back(startOne(Input));
  reply(Respond, 200, {{"results", Results}});
}

std::string BackendVm::startOne(const nlohmann::json &Input) {
  const TaskKey Key = keyOf(Input);
  // The same attempt again is a resent start, not a second run.
  if (Tasks_.contains(Key) || Ended_.contains(Key))
    return "started";
  if (Faults_.Leaving) {
    Log_.write({{"ev", "task_refused_leaving"}, {"vm", Id_}});
    return "leaving";
  }
  if (Faults_.RefuseStarts)
    return "refused";
  if (Clock_.now() >= LeaseEnds_)
    return "no_lease";
  Task New;
  New.MilliCores = Input.at("milli_cores");
  New.MemoryMb = Input.at("memory_mb");
  New.Accelerators = Input.at("accelerators");
  Tasks_[Key] = New;
  note("task_start", Key, New);
  const int Duration = Input.at("duration_ms");
  if (Faults_.FailTasks)
    Home_.after(NewsDelay, [this, Key] { endTask(Key, true, false); });
  else if (Duration > 0)
    Home_.after(milliseconds(Duration),
                [this, Key] { endTask(Key, false, false); });
  if (Faults_.MemoryGrowthMb > 0)
    Tasks_[Key].UsedMemoryMb = New.MemoryMb + Faults_.MemoryGrowthMb;
  return "started";
}

void BackendVm::stop(const nlohmann::json &Body, const HttpResponder &Respond) {
  const bool Checkpoint = Body.at("checkpoint");
  for (const nlohmann::json &Input : Body.at("tasks")) {
    const TaskKey Key = keyOf(Input);
    const auto Found = Tasks_.find(Key);
    if (Found == Tasks_.end()) {
      // Never started here, or ended and acknowledged: confirm all the same.
      Ended_.try_emplace(Key, EndedTask{false, true, false});
      continue;
    }
    if (std::exchange(Found->second.Stopping, true))
      continue;
    Home_.after(Checkpoint ? CheckpointTime : NewsDelay,
                [this, Key] { endTask(Key, false, true); });
  }
  if (Renewal_ && hasNews())
    answerRenewal();
  reply(Respond, 200);
}

void BackendVm::listRequests(const HttpResponder &Respond) const {
  nlohmann::json Out = nlohmann::json::array();
  for (const auto &[Id, Customer] : InFlight_)
    Out.push_back({{"id", Id}, {"customer", Customer}});
  reply(Respond, 200, {{"requests", Out}});
}

void BackendVm::throttle(const nlohmann::json &Body,
                         const HttpResponder &Respond) {
  for (const nlohmann::json &Input : Body.at("tasks"))
    if (const auto Found = Tasks_.find(keyOf(Input)); Found != Tasks_.end())
      note("task_throttled", Found->first, Found->second);
  reply(Respond, 200);
}

void BackendVm::endTask(TaskKey Key, bool Failed, bool Stopped) {
  const auto Found = Tasks_.find(Key);
  if (Found == Tasks_.end())
    return;
  note(Stopped ? "task_stopped" : "task_end", Key, Found->second);
  Tasks_.erase(Found);
  Ended_[Key] = EndedTask{Failed, Stopped, false};
  // Ends that come close together share one answer.
  Home_.after(NewsDelay, [this] {
    if (Renewal_ && hasNews())
      answerRenewal();
  });
}

void BackendVm::checkLease() {
  if (Clock_.now() < LeaseEnds_)
    return;
  while (!Tasks_.empty())
    endTask(Tasks_.begin()->first, false, true);
}

void BackendVm::watchLease() {
  checkLease();
  Home_.after(LeaseCheck, [this] { watchLease(); });
}

void BackendVm::note(const char *What, const TaskKey &Key, const Task &Entry) {
  nlohmann::json Line = keyJson(Key);
  Line["ev"] = What;
  Line["vm"] = Id_;
  Line["fence"] = Fence_;
  Line["milli_cores"] = Entry.MilliCores;
  Line["memory_mb"] = Entry.MemoryMb;
  Line["accelerators"] = Entry.Accelerators;
  Log_.write(Line);
}

void BackendVm::control(const nlohmann::json &Body,
                        const HttpResponder &Respond) {
  Faults_.RefuseStarts = Body.value("refuse_starts", Faults_.RefuseStarts);
  Faults_.FailTasks = Body.value("fail_tasks", Faults_.FailTasks);
  Faults_.HangRequests = Body.value("hang_requests", Faults_.HangRequests);
  Faults_.Unreachable = Body.value("unreachable", Faults_.Unreachable);
  Faults_.SlowMs = Body.value("slow_ms", Faults_.SlowMs);
  Faults_.MemoryGrowthMb = Body.value("memory_growth_mb", 0);
  if (Body.value("leaving", false) && !std::exchange(Faults_.Leaving, true)) {
    Log_.write({{"ev", "leaving"}, {"vm", Id_}});
    if (Renewal_)
      answerRenewal();
  }
  reply(Respond, 200);
}

} // namespace cuminroad::standin
