#include "cuminroad/net/ConnectionBudget.h"

#include <algorithm>

namespace cuminroad {

namespace {

constexpr int StatusRequestTimeout = 408;
constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusServiceUnavailable = 503;
/// The least bytes of a field with its line end.
constexpr std::size_t MinFieldBytes = 3;
/// A connection that was served and is kept open is closed after others that
/// have been silent for a quarter of its time.
constexpr int ServedIdleDivisor = 4;
/// Refused connections are closed before all others.
constexpr milliseconds RefusedLateness{std::chrono::hours(24)};
/// How long a refused client may take to read the response.
constexpr milliseconds LingerTime{1000};

milliseconds toMilliseconds(TimePoint::duration Duration) {
  return std::chrono::duration_cast<milliseconds>(Duration);
}

} // namespace

std::string_view limitCauseName(LimitCause Cause) {
  switch (Cause) {
  case LimitCause::Connections:
    return "connections";
  case LimitCause::Memory:
    return "memory";
  case LimitCause::HeadSize:
    return "head_size";
  case LimitCause::BodySize:
    return "body_size";
  case LimitCause::HeadTime:
    return "head_time";
  case LimitCause::IdleTime:
    return "idle_time";
  }
  return "unknown";
}

void ConnectionBudget::weigh(Connection &Of) {
  std::size_t Weight =
      ConnectionCost + Of.Meter.weight() + Of.RequestBytes + Of.UnsentBytes;
  // The library has seen a request that the meter has not, so the meter's
  // weight may be too low.
  if (!Of.Meter.isCertain() || Of.RequestsBegan > Of.Meter.completed())
    Weight = std::max(Weight, ConnectionCost + 2 * Limits_.MaxBodyBytes +
                                  Limits_.MaxHeadBytes / MinFieldBytes *
                                      RequestMeter::FieldCost);
  HeldBytes_ += Weight - Of.Held;
  Of.Held = Weight;
}

milliseconds ConnectionBudget::lateness(const Connection &Of, TimePoint Now) {
  const milliseconds Elapsed = toMilliseconds(Now - Of.Since);
  if (Of.Refused)
    return Elapsed + RefusedLateness;
  if (Of.Sending || (Of.Meter.inRequest() && Of.Unanswered == 0))
    return std::max(Elapsed - milliseconds(Of.Transferred * 1000 / SlowestRate),
                    toMilliseconds(Now - Of.LastProgress));
  if (Of.Unanswered > 0)
    return milliseconds(-1);
  return Of.RequestsBegan > 0 ? Elapsed / ServedIdleDivisor : Elapsed;
}

ConnectionClosing ConnectionBudget::makeClosing(Id Number, const Connection &Of,
                                                LimitCause Cause, int Status) {
  // A response may only be sent while the client waits for its request, which
  // has not been handled, and while no other response is under way.
  const bool MayRespond =
      Of.Meter.inRequest() && Of.Unanswered == 0 && !Of.Refused;
  return ConnectionClosing{Number, Cause, MayRespond ? Status : 0, !Of.Refused};
}

void ConnectionBudget::relieve(Id Newest, TimePoint Now, Closings &Out) {
  std::size_t Held = HeldBytes_;
  std::size_t Count = Connections_.size();
  while (Held > Limits_.MaxHeldBytes || Count > Limits_.MaxConnections) {
    const bool OverMemory = Held > Limits_.MaxHeldBytes;
    const std::pair<const Id, Connection> *Worst = nullptr;
    double WorstScore = -1;
    for (const auto &Entry : Connections_) {
      if (Entry.first == Newest ||
          std::any_of(Out.begin(), Out.end(), [&](const auto &Closing) {
            return Closing.Connection == Entry.first;
          }))
        continue;
      const milliseconds Late = lateness(Entry.second, Now);
      if (Late < milliseconds(0))
        continue;
      // A second is added so that size alone decides between connections that
      // have just made progress.
      const double Score = OverMemory
                               ? static_cast<double>(Entry.second.Held) *
                                     static_cast<double>(Late.count() + 1000)
                               : static_cast<double>(Late.count());
      if (Score > WorstScore) {
        Worst = &Entry;
        WorstScore = Score;
      }
    }
    const auto Self = Connections_.find(Newest);
    if (OverMemory && Self != Connections_.end() &&
        lateness(Self->second, Now) >= milliseconds(0)) {
      const double Score =
          static_cast<double>(Self->second.Held) *
          static_cast<double>(lateness(Self->second, Now).count() + 1000);
      if (Score > WorstScore)
        Worst = nullptr;
    }
    if (Worst == nullptr) {
      if (Self != Connections_.end())
        Out.push_back(makeClosing(Newest, Self->second,
                                  OverMemory ? LimitCause::Memory
                                             : LimitCause::Connections,
                                  StatusServiceUnavailable));
      return;
    }
    Out.push_back(
        makeClosing(Worst->first, Worst->second,
                    OverMemory ? LimitCause::Memory : LimitCause::Connections,
                    StatusServiceUnavailable));
    Held -= Worst->second.Held;
    --Count;
  }
}

ConnectionBudget::Closings ConnectionBudget::opened(Id Number, TimePoint Now) {
  Connection &Added = Connections_[Number];
  Added.Since = Now;
  Added.LastProgress = Now;
  HeldBytes_ += Added.Held;
  Closings Out;
  relieve(Number, Now, Out);
  return Out;
}

ConnectionBudget::Closings
ConnectionBudget::received(Id Number, std::string_view Bytes, TimePoint Now) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return {};
  Connection &Of = Found->second;
  const std::uint64_t CompletedBefore = Of.Meter.completed();
  const bool WasInRequest = Of.Meter.inRequest();
  const RequestMeter::Verdict Verdict =
      Of.Meter.consume(Bytes, Limits_.MaxHeadBytes, Limits_.MaxBodyBytes);
  if (!WasInRequest || Of.Meter.completed() != CompletedBefore) {
    Of.Since = Now;
    Of.Transferred = 0;
  }
  Of.Transferred += Bytes.size();
  Of.LastProgress = Now;
  weigh(Of);
  Closings Out;
  if (Verdict == RequestMeter::Verdict::HeadTooLarge)
    Out.push_back(
        makeClosing(Number, Of, LimitCause::HeadSize, StatusHeadTooLarge));
  else if (Verdict == RequestMeter::Verdict::BodyTooLarge)
    Out.push_back(
        makeClosing(Number, Of, LimitCause::BodySize, StatusPayloadTooLarge));
  else
    relieve(Number, Now, Out);
  return Out;
}

void ConnectionBudget::requestBegan(Id Number, std::size_t Bytes) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  ++Found->second.Unanswered;
  Found->second.RequestBytes += Bytes;
  ++Found->second.RequestsBegan;
  weigh(Found->second);
}

void ConnectionBudget::responseBegan(Id Number, std::size_t Bytes,
                                     TimePoint Now) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  Connection &Of = Found->second;
  if (!Of.Sending) {
    Of.Sending = true;
    Of.Since = Now;
    Of.LastProgress = Now;
    Of.Transferred = 0;
  }
  Of.UnsentBytes = std::max(Of.UnsentBytes, Bytes);
  weigh(Of);
}

void ConnectionBudget::responseReady(Id Number, std::size_t Bytes) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  Found->second.UnsentBytes = Bytes;
  weigh(Found->second);
}

void ConnectionBudget::responseSent(Id Number, std::size_t Bytes,
                                    TimePoint Now) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  Connection &Of = Found->second;
  Of.UnsentBytes -= std::min(Bytes, Of.UnsentBytes);
  Of.Transferred += Bytes;
  Of.LastProgress = Now;
  weigh(Of);
}

void ConnectionBudget::requestEnded(Id Number, std::size_t Bytes,
                                    TimePoint Now) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  Connection &Of = Found->second;
  --Of.Unanswered;
  Of.Sending = false;
  Of.RequestBytes -= Bytes;
  Of.UnsentBytes = 0;
  Of.Transferred = 0;
  Of.Since = Now;
  Of.LastProgress = Now;
  weigh(Of);
}

void ConnectionBudget::refused(Id Number, TimePoint Now) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  Found->second.Refused = true;
  Found->second.Since = Now;
}

void ConnectionBudget::closed(Id Number) {
  const auto Found = Connections_.find(Number);
  if (Found == Connections_.end())
    return;
  HeldBytes_ -= Found->second.Held;
  Connections_.erase(Found);
}

ConnectionBudget::Closings ConnectionBudget::expired(TimePoint Now) const {
  Closings Out;
  for (const auto &[Number, Of] : Connections_) {
    if (Of.Unanswered > 0 && !Of.Sending)
      continue;
    if (Of.Refused) {
      if (Now - Of.Since > LingerTime)
        Out.push_back(makeClosing(Number, Of, LimitCause::IdleTime, 0));
      continue;
    }
    const bool InHead =
        !Of.Sending && Of.Meter.inRequest() && !Of.Meter.inBody();
    if (InHead && lateness(Of, Now) > Limits_.HeadTimeout) {
      Out.push_back(
          makeClosing(Number, Of, LimitCause::HeadTime, StatusRequestTimeout));
    } else if (Now - Of.LastProgress > Limits_.IdleTimeout) {
      Out.push_back(
          makeClosing(Number, Of, LimitCause::IdleTime, StatusRequestTimeout));
      Out.back().Reported =
          Of.Sending || Of.Meter.inRequest() || Of.RequestsBegan == 0;
    }
  }
  return Out;
}

} // namespace cuminroad
