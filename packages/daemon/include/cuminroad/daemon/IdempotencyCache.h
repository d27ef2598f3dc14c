#ifndef CUMINROAD_DAEMON_IDEMPOTENCYCACHE_H
#define CUMINROAD_DAEMON_IDEMPOTENCYCACHE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminroad/base/Clock.h"
#include "cuminroad/net/HttpMessage.h"
#include "cuminroad/net/HttpServer.h"

namespace cuminroad {

/// What this process knows about a request that may run only once.
enum class IdempotencyState {
  /// Registered, and certainly not sent to a backend server.
  NotStarted,
  /// Being processed; it has no outcome yet.
  InFlight,
  /// Finished; the response is cached.
  Completed,
  /// Finished, so it ran or may have run; its response was evicted.
  ResponseDropped,
  /// Not registered in this process, or expired.
  Unknown,
};

/// Tracks the requests that only this process may run, by ticket or idempotency
/// key, and caches their responses, so that a retry gets the response of the
/// first run and never starts a second one. Not thread-safe.
class IdempotencyCache {
public:
  /// \param Lifetime how long a ticket can be used and a response is cached.
  /// \param MaxResponseBytes limit on the bodies of all cached responses; the
  /// oldest ones are evicted first.
  IdempotencyCache(const Clock &MonotonicClock, milliseconds Lifetime,
                   std::size_t MaxResponseBytes);

  /// Registers \p Key as not started, unless it is registered already.
  void add(const std::string &Key);
  IdempotencyState state(std::string_view Key) const;
  /// Marks an entry that is not started as in flight.
  void markInFlight(const std::string &Key);
  /// Resets an entry whose request certainly did not run, so that it may be
  /// sent again. Drops the cached response.
  void markNotStarted(const std::string &Key);
  /// Adds a caller that waits for the response to an entry in flight.
  void addWaiter(const std::string &Key, HttpResponder Respond);
  /// Marks the entry as completed and caches the response. \returns the callers
  /// that wait for it.
  std::vector<HttpResponder> complete(const std::string &Key,
                                      const HttpResponse &Response);
  /// \returns the cached response of a completed entry.
  HttpResponse cachedResponse(const std::string &Key) const;
  /// Removes entries whose lifetime is over, but for those in flight.
  void dropExpired();
  std::size_t size() const { return Entries_.size(); }

private:
  struct Entry {
    IdempotencyState State = IdempotencyState::NotStarted;
    TimePoint ExpiresAt{};
    HttpResponse Response;
    std::vector<HttpResponder> Waiters;
  };
  void evictOldestResponses();

  const Clock &MonotonicClock_;
  milliseconds Lifetime_;
  std::size_t MaxResponseBytes_;
  /// Size of the bodies of all cached responses.
  std::size_t CachedBytes_ = 0;
  std::map<std::string, Entry, std::less<>> Entries_;
  /// Keys of completed entries, the oldest first.
  std::vector<std::string> CompletionOrder_;
};

} // namespace cuminroad

#endif
