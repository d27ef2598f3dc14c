#include "cuminroad/daemon/IdempotencyCache.h"

#include <algorithm>

namespace cuminroad {

IdempotencyCache::IdempotencyCache(const Clock &MonotonicClock,
                                   milliseconds Lifetime,
                                   std::size_t MaxResponseBytes)
    : MonotonicClock_(MonotonicClock), Lifetime_(Lifetime),
      MaxResponseBytes_(MaxResponseBytes) {}

void IdempotencyCache::add(const std::string &Key) {
  Entry New;
  New.ExpiresAt = MonotonicClock_.now() + Lifetime_;
  Entries_.try_emplace(Key, std::move(New));
}

IdempotencyState IdempotencyCache::state(std::string_view Key) const {
  const auto Existing = Entries_.find(Key);
  return Existing == Entries_.end() ? IdempotencyState::Unknown
                                    : Existing->second.State;
}

void IdempotencyCache::markInFlight(const std::string &Key) {
  Entry &Existing = Entries_[Key];
  Existing.State = IdempotencyState::InFlight;
  Existing.ExpiresAt = MonotonicClock_.now() + Lifetime_;
}

void IdempotencyCache::markNotStarted(const std::string &Key) {
  Entry &Existing = Entries_[Key];
  Existing.State = IdempotencyState::NotStarted;
  CachedBytes_ -= Existing.Response.Body.size();
  Existing.Response = {};
}

void IdempotencyCache::addWaiter(const std::string &Key,
                                 HttpResponder Respond) {
  Entries_[Key].Waiters.push_back(std::move(Respond));
}

std::vector<HttpResponder>
IdempotencyCache::complete(const std::string &Key,
                           const HttpResponse &Response) {
  Entry &Existing = Entries_[Key];
  Existing.State = IdempotencyState::Completed;
  Existing.ExpiresAt = MonotonicClock_.now() + Lifetime_;
  Existing.Response = Response;
  CachedBytes_ += Response.Body.size();
  CompletionOrder_.push_back(Key);
  std::vector<HttpResponder> Waiters;
  Waiters.swap(Existing.Waiters);
  evictOldestResponses();
  return Waiters;
}

void IdempotencyCache::evictOldestResponses() {
  std::size_t Scanned = 0;
  while (CachedBytes_ > MaxResponseBytes_ &&
         Scanned + 1 < CompletionOrder_.size()) {
    const auto Existing = Entries_.find(CompletionOrder_[Scanned++]);
    if (Existing == Entries_.end() ||
        Existing->second.State != IdempotencyState::Completed)
      continue;
    CachedBytes_ -= Existing->second.Response.Body.size();
    Existing->second.Response = {};
    Existing->second.State = IdempotencyState::ResponseDropped;
  }
  CompletionOrder_.erase(CompletionOrder_.begin(),
                         CompletionOrder_.begin() +
                             static_cast<std::ptrdiff_t>(Scanned));
}

HttpResponse IdempotencyCache::cachedResponse(const std::string &Key) const {
  const auto Existing = Entries_.find(Key);
  return Existing == Entries_.end() ? HttpResponse{}
                                    : Existing->second.Response;
}

void IdempotencyCache::dropExpired() {
  const TimePoint Now = MonotonicClock_.now();
  std::erase_if(Entries_, [&](const auto &Item) {
    const Entry &Candidate = Item.second;
    if (Candidate.State == IdempotencyState::InFlight ||
        Now < Candidate.ExpiresAt)
      return false;
    CachedBytes_ -= Candidate.Response.Body.size();
    return true;
  });
  std::erase_if(CompletionOrder_, [this](const std::string &Key) {
    return !Entries_.contains(Key);
  });
}

} // namespace cuminroad
