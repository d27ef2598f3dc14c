#include "cuminroad/daemon/VmSession.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds CallTimeout{2000};
constexpr milliseconds RetryDelayMin{100};
constexpr milliseconds RetryDelayMax{2000};
/// Starts and stops that are requested within this time share a call.
constexpr milliseconds CommandBatchDelay{5};
/// The clocks of two machines drift apart by at most this percentage of a lease
/// within the lease.
constexpr int MaxClockDriftPercent = 5;
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
/// The shortest wait of a renewal's long poll, as a fraction of the renewal
/// interval.
constexpr double MinRenewalWaitFraction = 0.7;

nlohmann::json toJson(const TaskAttempt &Task) {
  return {{"job", Task.Task.Job},
          {"index", Task.Task.Index},
          {"attempt", Task.Attempt}};
}

TaskAttempt parseTaskAttempt(const nlohmann::json &Input) {
  return TaskAttempt{
      TaskRef{Input.at("job").get<std::string>(), Input.at("index").get<int>()},
      Input.at("attempt").get<std::int64_t>()};
}

/// \returns the parsed body of a VM's response, or a failure unless its status
/// is 200.
Result<nlohmann::json> parseResponseBody(const HttpResult &Response) {
  if (!Response)
    return tl::unexpected(Response.error());
  if (Response->Status != StatusOk)
    return failure(ErrorCode::BackendRefused);
  return parseJson(Response->Body, false);
}

Capacity parseCapacity(const nlohmann::json &Input) {
  return Capacity{Input.value("milli_cores", std::int64_t(0)),
                  Input.value("memory_mb", std::int64_t(0)),
                  Input.value("accelerators", std::int64_t(0))};
}

} // namespace

VmSession::VmSession(VmClaim Claim, const Settings &Config,
                     const Clock &MonotonicClock, HttpClient &Client,
                     Loop &ControlLoop, VmSessionListener &Listener)
    : Claim_(std::move(Claim)), Config_(Config),
      MonotonicClock_(MonotonicClock), Client_(Client),
      ControlLoop_(ControlLoop), Listener_(Listener),
      Random_(static_cast<std::uint32_t>(
          std::hash<std::string>{}(Claim_.Vm + Claim_.Holder))) {}

void VmSession::start() { sendClaim(); }

nlohmann::json VmSession::bodyWithFencingToken() const {
  return {{"fence", FencingToken_}};
}

void VmSession::postToVm(const std::string &Path, const nlohmann::json &Body,
                         milliseconds Timeout,
                         std::function<void(HttpResult)> Done) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = Config_.translateUrl(Claim_.Url + "/" + Path);
  Call.Body = Body.dump();
  Call.Timeout = Timeout;
  Client_.send(std::move(Call), [Self = shared_from_this(),
                                 Done = std::move(Done)](HttpResult Response) {
    Self->ControlLoop_.post([Self, Done, Response = std::move(Response)] {
      if (!Self->Closed_)
        Done(Response);
    });
  });
}

void VmSession::sendClaim() {
  if (Closed_)
    return;
  FencingToken_ = (Claim_.Epoch << ClaimCounterBits) + ++ClaimCount_;
  nlohmann::json Body = bodyWithFencingToken();
  Body["holder"] = Claim_.Holder;
  Body["lease_ms"] = Config_.Times.TaskLease.count();
  const TimePoint SentAt = MonotonicClock_.now();
  postToVm("claim", Body, CallTimeout,
           [this, SentAt](const HttpResult &Response) {
             if (Response || !isNotSent(Response.error().Code))
               LastRenewalSentAt_ = SentAt;
             handleClaimResponse(Response);
           });
}

void VmSession::handleClaimResponse(const HttpResult &Response) {
  if (Response && Response->Status == StatusConflict)
    return handleStaleFencingToken(Response);
  const auto Body = parseResponseBody(Response);
  if (!Body)
    return handleLeaseCallFailure();
  Held_ = true;
  ConsecutiveFailures_ = 0;
  MayRunTasks_ = true;
  LastResponseAt_ = MonotonicClock_.now();
  std::vector<InventoryTask> Running;
  for (const nlohmann::json &Item : Body->at("running"))
    Running.push_back(
        InventoryTask{parseTaskAttempt(Item), parseCapacity(Item)});
  reportEndedTasks(Body->at("ended"));
  // The VM rejects commands with an older fencing token; the scheduler decides
  // again from the inventory.
  PendingStarts_.clear();
  PendingStops_.clear();
  UnconfirmedStops_.clear();
  Listener_.onVmClaimed(Claim_.Vm, Running);
  if (Body->value("leaving", false) && !std::exchange(LeavingReported_, true))
    Listener_.onVmLeaving(Claim_.Vm);
  sendRenewal();
}

void VmSession::handleStaleFencingToken(const HttpResult &Response) {
  const auto Body = parseJson(Response->Body, false);
  const std::int64_t FencingToken =
      Body ? Body->value("fence", std::int64_t(0)) : 0;
  const std::int64_t Epoch = epochOfFencingToken(FencingToken);
  const std::string Holder = Body ? Body->value("holder", "") : "";
  if (Epoch >= Claim_.Epoch && Holder != Claim_.Holder) {
    Held_ = false;
    Listener_.onClaimSuperseded(Claim_.Vm, Epoch, Holder);
    return;
  }
  // A later claim of this session overtook the call, or the VM has restarted
  // and holds no claim.
  ClaimCount_ = std::max<int>(
      ClaimCount_,
      static_cast<int>(FencingToken & ((1 << ClaimCounterBits) - 1)));
  Held_ = false;
  ControlLoop_.after(RetryDelayMin,
                     [Self = shared_from_this()] { Self->sendClaim(); });
}

void VmSession::sendRenewal() {
  if (Closed_ || !Held_)
    return;
  nlohmann::json Body = bodyWithFencingToken();
  Body["lease_ms"] = Config_.Times.TaskLease.count();
  // A random wait keeps the VMs of a domain from renewing all at once.
  std::uniform_real_distribution<double> Spread(MinRenewalWaitFraction, 1.0);
  const auto Wait = std::chrono::duration_cast<milliseconds>(
      Config_.Times.TaskRenewal * Spread(Random_));
  Body["wait_ms"] = Wait.count();
  Body["acks"] = nlohmann::json::array();
  const std::vector<TaskAttempt> Acks = std::exchange(PendingAcks_, {});
  for (const TaskAttempt &Task : Acks)
    Body["acks"].push_back(toJson(Task));
  const TimePoint SentAt = MonotonicClock_.now();
  const std::int64_t FencingToken = FencingToken_;
  postToVm("renew", Body, Config_.Times.TaskRenewal + CallTimeout,
           [this, SentAt, FencingToken, Acks](const HttpResult &Response) {
             if (Response || !isNotSent(Response.error().Code))
               LastRenewalSentAt_ = SentAt;
             if (!Response)
               PendingAcks_.insert(PendingAcks_.end(), Acks.begin(),
                                   Acks.end());
             handleRenewalResponse(FencingToken, Response);
           });
}

void VmSession::handleRenewalResponse(std::int64_t FencingToken,
                                      const HttpResult &Response) {
  if (FencingToken != FencingToken_)
    return;
  if (Response && Response->Status == StatusConflict)
    return handleStaleFencingToken(Response);
  const auto Body = parseResponseBody(Response);
  if (!Body)
    return handleLeaseCallFailure();
  ConsecutiveFailures_ = 0;
  LastResponseAt_ = MonotonicClock_.now();
  reportEndedTasks(Body->at("ended"));
  for (const nlohmann::json &Item : Body->at("usage"))
    Listener_.onUsageReported(Claim_.Vm, parseTaskAttempt(Item),
                              parseCapacity(Item));
  if (Body->value("leaving", false) && !std::exchange(LeavingReported_, true))
    Listener_.onVmLeaving(Claim_.Vm);
  sendRenewal();
}

void VmSession::reportEndedTasks(const nlohmann::json &EndedItems) {
  std::vector<EndedTask> Tasks;
  for (const nlohmann::json &Item : EndedItems) {
    Tasks.push_back(EndedTask{parseTaskAttempt(Item),
                              Item.value("failed", false),
                              Item.value("stopped", false)});
    UnconfirmedStops_.erase(Tasks.back().Task);
  }
  if (!Tasks.empty())
    Listener_.onTasksEnded(Claim_.Vm, Tasks);
}

void VmSession::handleLeaseCallFailure() {
  ++ConsecutiveFailures_;
  // Retry for half of the lease; then send nothing more until it has lapsed.
  const bool ShouldAwaitLapse =
      MayRunTasks_ &&
      MonotonicClock_.now() - LastResponseAt_ > Config_.Times.TaskLease / 2;
  if (ShouldAwaitLapse && LastResponseAt_ != TimePoint()) {
    Held_ = false;
    return awaitLeaseLapse();
  }
  const auto Delay = std::min(
      RetryDelayMin * (1 << std::min(ConsecutiveFailures_, 8)), RetryDelayMax);
  ControlLoop_.after(Delay, [Self = shared_from_this()] {
    if (Self->Held_)
      Self->sendRenewal();
    else
      Self->sendClaim();
  });
}

void VmSession::awaitLeaseLapse() {
  const milliseconds Lease = Config_.Times.TaskLease;
  const milliseconds Margin = Lease * MaxClockDriftPercent / 100;
  const TimePoint LapseAt = LastRenewalSentAt_ + Lease + Margin;
  if (MonotonicClock_.now() < LapseAt) {
    const auto TimeLeft = std::chrono::duration_cast<milliseconds>(
        LapseAt - MonotonicClock_.now());
    ControlLoop_.after(TimeLeft + milliseconds(1), [Self = shared_from_this()] {
      if (!Self->Closed_)
        Self->awaitLeaseLapse();
    });
    return;
  }
  MayRunTasks_ = false;
  Listener_.onLeasesLapsed(Claim_.Vm);
  sendClaim();
}

void VmSession::startTask(const StartTask &Command) {
  PendingStarts_.push_back(Command);
  scheduleCommandBatch();
}

void VmSession::stopTask(const StopTask &Command) {
  PendingStops_.push_back(Command);
  scheduleCommandBatch();
}

void VmSession::scheduleCommandBatch() {
  if (std::exchange(CommandBatchScheduled_, true))
    return;
  ControlLoop_.after(CommandBatchDelay, [Self = shared_from_this()] {
    Self->CommandBatchScheduled_ = false;
    if (Self->Closed_ || !Self->Held_)
      return;
    Self->sendStarts();
    Self->sendStops();
  });
}

void VmSession::sendStarts() {
  if (PendingStarts_.empty())
    return;
  const std::vector<StartTask> SentStarts = std::exchange(PendingStarts_, {});
  nlohmann::json Body = bodyWithFencingToken();
  Body["tasks"] = nlohmann::json::array();
  for (const StartTask &Command : SentStarts) {
    nlohmann::json Item = toJson(Command.Task);
    Item["milli_cores"] = Command.Size.MilliCores;
    Item["memory_mb"] = Command.Size.MemoryMb;
    Item["accelerators"] = Command.Size.Accelerators;
    Item["duration_ms"] = Command.Duration.count();
    Body["tasks"].push_back(std::move(Item));
  }
  const std::int64_t FencingToken = FencingToken_;
  postToVm("start", Body, CallTimeout,
           [this, FencingToken, SentStarts](const HttpResult &Response) {
             handleStartsResponse(FencingToken, SentStarts, Response);
           });
}

void VmSession::handleStartsResponse(std::int64_t FencingToken,
                                     std::vector<StartTask> SentStarts,
                                     const HttpResult &Response) {
  if (FencingToken != FencingToken_)
    return;
  const auto Body = parseResponseBody(Response);
  if (!Body) {
    // The VM accepts each attempt only once, so resending is safe. If the VM is
    // lost or claimed again, the new inventory shows which tasks started.
    PendingStarts_.insert(PendingStarts_.end(), SentStarts.begin(),
                          SentStarts.end());
    ControlLoop_.after(RetryDelayMax, [Self = shared_from_this()] {
      Self->scheduleCommandBatch();
    });
    return;
  }
  const nlohmann::json &Results = Body->at("results");
  for (std::size_t Index = 0; Index < SentStarts.size(); ++Index) {
    const std::string Result = Results.at(Index).get<std::string>();
    if (Result == "started")
      Listener_.onTaskStarted(Claim_.Vm, SentStarts[Index].Task);
    else
      Listener_.onStartRefused(Claim_.Vm, SentStarts[Index].Task, Result);
  }
}

void VmSession::sendStops() {
  for (const bool Checkpoint : {false, true}) {
    std::vector<StopTask> SentStops;
    for (const StopTask &Command : PendingStops_)
      if (Command.Checkpoint == Checkpoint)
        SentStops.push_back(Command);
    if (SentStops.empty())
      continue;
    nlohmann::json Body = bodyWithFencingToken();
    Body["checkpoint"] = Checkpoint;
    Body["tasks"] = nlohmann::json::array();
    for (const StopTask &Command : SentStops) {
      Body["tasks"].push_back(toJson(Command.Task));
      UnconfirmedStops_.insert(Command.Task);
    }
    const std::int64_t FencingToken = FencingToken_;
    postToVm("stop", Body, CallTimeout,
             [this, FencingToken, SentStops](const HttpResult &Response) {
               if (FencingToken != FencingToken_ ||
                   (Response && Response->Status == StatusOk))
                 return;
               for (const StopTask &Command : SentStops)
                 if (UnconfirmedStops_.contains(Command.Task))
                   PendingStops_.push_back(Command);
               ControlLoop_.after(RetryDelayMax, [Self = shared_from_this()] {
                 Self->scheduleCommandBatch();
               });
             });
  }
  PendingStops_.clear();
}

void VmSession::throttleTask(const ThrottleTask &Command) {
  nlohmann::json Body = bodyWithFencingToken();
  Body["tasks"] = {toJson(Command.Task)};
  Body["milli_cores"] = Command.MilliCores;
  postToVm("throttle", Body, CallTimeout, [](const HttpResult &) {});
}

void VmSession::fetchInFlightRequests(
    std::function<void(std::optional<std::vector<InFlightRequest>>)> Done) {
  postToVm("in_flight", bodyWithFencingToken(), CallTimeout,
           [Done = std::move(Done)](const HttpResult &Response) {
             const auto Body = parseResponseBody(Response);
             if (!Body)
               return Done(std::nullopt);
             std::vector<InFlightRequest> Requests;
             for (const nlohmann::json &Item : Body->at("requests"))
               Requests.push_back(
                   InFlightRequest{Item.at("id"), Item.at("customer")});
             Done(std::move(Requests));
           });
}

void VmSession::acknowledgeEnd(const TaskAttempt &Task) {
  PendingAcks_.push_back(Task);
}

} // namespace cuminroad
