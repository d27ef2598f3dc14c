#include "cuminroad/daemon/VmSession.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectReader.h"

namespace cuminroad {

namespace {

constexpr milliseconds CallTimeout{2000};
constexpr milliseconds RetryDelayMin{100};
constexpr milliseconds RetryDelayMax{2000};
/// Starts and stops that come within this time share a call.
constexpr milliseconds GatherTime{5};
/// Clocks of two machines run apart by no more than this share of a lease.
constexpr int DriftPercent = 5;
constexpr int StatusOk = 200;
constexpr int StatusStale = 409;
/// The shortest wait, as a part of the renewal time.
constexpr double RenewalSpread = 0.7;

nlohmann::json toJson(const TaskAttempt &Task) {
  return {{"job", Task.Task.Job},
          {"index", Task.Task.Index},
          {"attempt", Task.Attempt}};
}

TaskAttempt readTask(const nlohmann::json &Input) {
  return TaskAttempt{
      TaskRef{Input.at("job").get<std::string>(), Input.at("index").get<int>()},
      Input.at("attempt").get<std::int64_t>()};
}

/// \returns the body of a VM's answer, or a failure where it is not a good one.
Result<nlohmann::json> bodyOf(const HttpResult &Answer) {
  if (!Answer)
    return tl::unexpected(Answer.error());
  if (Answer->Status != StatusOk)
    return failure(ErrorCode::BackendRefused);
  return parseJson(Answer->Body, false);
}

Capacity readSize(const nlohmann::json &Input) {
  return Capacity{Input.value("milli_cores", std::int64_t(0)),
                  Input.value("memory_mb", std::int64_t(0)),
                  Input.value("accelerators", std::int64_t(0))};
}

} // namespace

VmSession::VmSession(VmClaim Claim, const Settings &Config, const Clock &Time,
                     HttpClient &Client, Loop &Home, VmEvents &Events)
    : Claim_(std::move(Claim)), Config_(Config), Time_(Time), Client_(Client),
      Home_(Home), Events_(Events),
      Random_(static_cast<std::uint32_t>(
          std::hash<std::string>{}(Claim_.Vm + Claim_.Holder))) {}

void VmSession::start() { claim(); }

nlohmann::json VmSession::fenced() const { return {{"fence", Fence_}}; }

void VmSession::call(const std::string &Path, const nlohmann::json &Body,
                     milliseconds Timeout,
                     std::function<void(HttpResult)> Done) {
  HttpCall Out;
  Out.Method = "POST";
  Out.Url = Config_.translateUrl(Claim_.Url + "/" + Path);
  Out.Body = Body.dump();
  Out.Timeout = Timeout;
  Client_.send(std::move(Out), [Self = shared_from_this(),
                                Done = std::move(Done)](HttpResult Answer) {
    Self->Home_.post([Self, Done, Answer = std::move(Answer)] {
      if (!Self->Closed_)
        Done(Answer);
    });
  });
}

void VmSession::claim() {
  if (Closed_)
    return;
  Fence_ = (Claim_.Epoch << FenceClaimBits) + ++ClaimCount_;
  nlohmann::json Body = fenced();
  Body["holder"] = Claim_.Holder;
  Body["lease_ms"] = Config_.Times.TaskLease.count();
  const TimePoint SentAt = Time_.now();
  call("claim", Body, CallTimeout, [this, SentAt](const HttpResult &Answer) {
    if (Answer || Answer.error().Code != ErrorCode::ConnectFailed)
      LastRenewal_ = SentAt;
    claimAnswered(Answer);
  });
}

void VmSession::claimAnswered(const HttpResult &Answer) {
  if (Answer && Answer->Status == StatusStale)
    return checkRefusal(Answer);
  const auto Body = bodyOf(Answer);
  if (!Body)
    return renewalFailed();
  Held_ = true;
  Failures_ = 0;
  MayHoldTasks_ = true;
  LastAnswer_ = Time_.now();
  std::vector<InventoryTask> Running;
  for (const nlohmann::json &Row : Body->at("running"))
    Running.push_back(InventoryTask{readTask(Row), readSize(Row)});
  tellEnds(Body->at("ended"));
  // Commands under the old fence are void; the scheduler decides anew.
  Starts_.clear();
  Stops_.clear();
  Stopping_.clear();
  Events_.claimed(Claim_.Vm, Running);
  if (Body->value("leaving", false) && !std::exchange(LeavingTold_, true))
    Events_.leaving(Claim_.Vm);
  renew();
}

void VmSession::checkRefusal(const HttpResult &Answer) {
  const auto Body = parseJson(Answer->Body, false);
  const std::int64_t Fence = Body ? Body->value("fence", std::int64_t(0)) : 0;
  const std::int64_t Epoch = epochOfFence(Fence);
  const std::string Holder = Body ? Body->value("holder", "") : "";
  if (Epoch >= Claim_.Epoch && Holder != Claim_.Holder) {
    Held_ = false;
    Events_.superseded(Claim_.Vm, Epoch, Holder);
    return;
  }
  // A claim of this session's own overtook the call, or the VM is new.
  ClaimCount_ = std::max<int>(
      ClaimCount_, static_cast<int>(Fence & ((1 << FenceClaimBits) - 1)));
  Held_ = false;
  Home_.after(RetryDelayMin, [Self = shared_from_this()] { Self->claim(); });
}

void VmSession::renew() {
  if (Closed_ || !Held_)
    return;
  nlohmann::json Body = fenced();
  Body["lease_ms"] = Config_.Times.TaskLease.count();
  // Spread, so that the VMs of a domain do not all renew at once.
  std::uniform_real_distribution<double> Spread(RenewalSpread, 1.0);
  const auto Wait = std::chrono::duration_cast<milliseconds>(
      Config_.Times.TaskRenewal * Spread(Random_));
  Body["wait_ms"] = Wait.count();
  Body["acks"] = nlohmann::json::array();
  const std::vector<TaskAttempt> Acks = std::exchange(Acks_, {});
  for (const TaskAttempt &Task : Acks)
    Body["acks"].push_back(toJson(Task));
  const TimePoint SentAt = Time_.now();
  const std::int64_t Fence = Fence_;
  call("renew", Body, Config_.Times.TaskRenewal + CallTimeout,
       [this, SentAt, Fence, Acks](const HttpResult &Answer) {
         if (Answer || Answer.error().Code != ErrorCode::ConnectFailed)
           LastRenewal_ = SentAt;
         if (!Answer)
           Acks_.insert(Acks_.end(), Acks.begin(), Acks.end());
         renewAnswered(Fence, Answer);
       });
}

void VmSession::renewAnswered(std::int64_t Fence, const HttpResult &Answer) {
  if (Fence != Fence_)
    return;
  if (Answer && Answer->Status == StatusStale)
    return checkRefusal(Answer);
  const auto Body = bodyOf(Answer);
  if (!Body)
    return renewalFailed();
  Failures_ = 0;
  LastAnswer_ = Time_.now();
  tellEnds(Body->at("ended"));
  for (const nlohmann::json &Row : Body->at("usage"))
    Events_.used(Claim_.Vm, readTask(Row), readSize(Row));
  if (Body->value("leaving", false) && !std::exchange(LeavingTold_, true))
    Events_.leaving(Claim_.Vm);
  renew();
}

void VmSession::tellEnds(const nlohmann::json &Ends) {
  std::vector<EndedTask> Tasks;
  for (const nlohmann::json &Row : Ends) {
    Tasks.push_back(EndedTask{readTask(Row), Row.value("failed", false),
                              Row.value("stopped", false)});
    Stopping_.erase(Tasks.back().Task);
  }
  if (!Tasks.empty())
    Events_.ended(Claim_.Vm, Tasks);
}

void VmSession::renewalFailed() {
  ++Failures_;
  // Half of the lease for trying again; then silence, so that it lapses.
  const bool GiveUp =
      MayHoldTasks_ && Time_.now() - LastAnswer_ > Config_.Times.TaskLease / 2;
  if (GiveUp && LastAnswer_ != TimePoint()) {
    Held_ = false;
    return waitForLapse();
  }
  const auto Delay =
      std::min(RetryDelayMin * (1 << std::min(Failures_, 8)), RetryDelayMax);
  Home_.after(Delay, [Self = shared_from_this()] {
    if (Self->Held_)
      Self->renew();
    else
      Self->claim();
  });
}

void VmSession::waitForLapse() {
  const milliseconds Lease = Config_.Times.TaskLease;
  const milliseconds Margin = Lease * DriftPercent / 100;
  const TimePoint Lapse = LastRenewal_ + Lease + Margin;
  if (Time_.now() < Lapse) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Lapse - Time_.now());
    Home_.after(Left + milliseconds(1), [Self = shared_from_this()] {
      if (!Self->Closed_)
        Self->waitForLapse();
    });
    return;
  }
  MayHoldTasks_ = false;
  Events_.lapsed(Claim_.Vm);
  claim();
}

void VmSession::startTask(const StartTask &Command) {
  Starts_.push_back(Command);
  flush();
}

void VmSession::stopTask(const StopTask &Command) {
  Stops_.push_back(Command);
  flush();
}

void VmSession::flush() {
  if (std::exchange(FlushPlanned_, true))
    return;
  Home_.after(GatherTime, [Self = shared_from_this()] {
    Self->FlushPlanned_ = false;
    if (Self->Closed_ || !Self->Held_)
      return;
    Self->sendStarts();
    Self->sendStops();
  });
}

void VmSession::sendStarts() {
  if (Starts_.empty())
    return;
  const std::vector<StartTask> Sent = std::exchange(Starts_, {});
  nlohmann::json Body = fenced();
  Body["tasks"] = nlohmann::json::array();
  for (const StartTask &Each : Sent) {
    nlohmann::json Row = toJson(Each.Task);
    Row["milli_cores"] = Each.Size.MilliCores;
    Row["memory_mb"] = Each.Size.MemoryMb;
    Row["accelerators"] = Each.Size.Accelerators;
    Row["duration_ms"] = Each.Duration.count();
    Body["tasks"].push_back(std::move(Row));
  }
  const std::int64_t Fence = Fence_;
  call("start", Body, CallTimeout,
       [this, Fence, Sent](const HttpResult &Answer) {
         startsAnswered(Fence, Sent, Answer);
       });
}

void VmSession::startsAnswered(std::int64_t Fence, std::vector<StartTask> Sent,
                               const HttpResult &Answer) {
  if (Fence != Fence_)
    return;
  const auto Body = bodyOf(Answer);
  if (!Body) {
    // The VM takes each attempt once, so sending it again is safe. Where the
    // VM is lost or claimed anew, the new inventory settles it.
    Starts_.insert(Starts_.end(), Sent.begin(), Sent.end());
    Home_.after(RetryDelayMax, [Self = shared_from_this()] { Self->flush(); });
    return;
  }
  const nlohmann::json &Results = Body->at("results");
  for (std::size_t Index = 0; Index < Sent.size(); ++Index) {
    const std::string Result = Results.at(Index).get<std::string>();
    if (Result == "started")
      Events_.started(Claim_.Vm, Sent[Index].Task);
    else
      Events_.refused(Claim_.Vm, Sent[Index].Task, Result);
  }
}

void VmSession::sendStops() {
  for (const bool Checkpoint : {false, true}) {
    std::vector<StopTask> Sent;
    for (const StopTask &Each : Stops_)
      if (Each.Checkpoint == Checkpoint)
        Sent.push_back(Each);
    if (Sent.empty())
      continue;
    nlohmann::json Body = fenced();
    Body["checkpoint"] = Checkpoint;
    Body["tasks"] = nlohmann::json::array();
    for (const StopTask &Each : Sent) {
      Body["tasks"].push_back(toJson(Each.Task));
      Stopping_.insert(Each.Task);
    }
    const std::int64_t Fence = Fence_;
    call("stop", Body, CallTimeout, [this, Fence, Sent](const HttpResult &Got) {
      if (Fence != Fence_ || (Got && Got->Status == StatusOk))
        return;
      for (const StopTask &Each : Sent)
        if (Stopping_.contains(Each.Task))
          Stops_.push_back(Each);
      Home_.after(RetryDelayMax,
                  [Self = shared_from_this()] { Self->flush(); });
    });
  }
  Stops_.clear();
}

void VmSession::throttleTask(const ThrottleTask &Command) {
  nlohmann::json Body = fenced();
  Body["tasks"] = {toJson(Command.Task)};
  Body["milli_cores"] = Command.MilliCores;
  call("throttle", Body, CallTimeout, [](const HttpResult &) {});
}

void VmSession::askRequests(
    std::function<void(std::optional<std::vector<RequestInFlight>>)> Done) {
  call("in_flight", fenced(), CallTimeout,
       [Done = std::move(Done)](const HttpResult &Answer) {
         const auto Body = bodyOf(Answer);
         if (!Body)
           return Done(std::nullopt);
         std::vector<RequestInFlight> Out;
         for (const nlohmann::json &Row : Body->at("requests"))
           Out.push_back(RequestInFlight{Row.at("id"), Row.at("customer")});
         Done(std::move(Out));
       });
}

void VmSession::acknowledge(const TaskAttempt &Task) { Acks_.push_back(Task); }

} // namespace cuminroad
