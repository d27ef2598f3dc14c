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

/// What this process knows of a request that may run only once.
enum class IdempotencyState {
  /// Known, and certainly not sent so far.
  NotStarted,
  InFlight,
  /// Ran; the answer is kept.
  Completed,
  /// Ran or may have run; the answer is no longer kept.
  ResponseDropped,
  /// Not known to this process.
  Unknown,
};

/// Remembers the requests that this process alone may run, and their answers,
/// so that a retry gets the first run's answer and never a second run.
class IdempotencyCache {
public:
  /// \param Life how long a ticket can be used and an answer is kept.
  /// \param AnswerBytes answers kept at most, in bytes; the oldest go first.
  IdempotencyCache(const Clock &Clock, milliseconds Lifetime,
                   std::size_t MaxResponseBytes);

  /// Adds \p Name as fresh, unless it is known.
  void add(const std::string &Key);
  IdempotencyState state(std::string_view Key) const;
  /// Marks a fresh entry as in flight.
  void markInFlight(const std::string &Key);
  /// The request certainly did not run: it may be tried again.
  void markNotStarted(const std::string &Key);
  /// Adds a caller that waits for an entry in flight.
  void addWaiter(const std::string &Key, HttpResponder Respond);
  /// Keeps the answer. \returns the callers that waited.
  std::vector<HttpResponder> complete(const std::string &Key,
                                      const HttpResponse &Response);
  /// \returns the kept answer of an entry that is done.
  HttpResponse cachedResponse(const std::string &Key) const;
  /// Drops entries whose life is over.
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

  const Clock &Clock_;
  milliseconds Lifetime_;
  std::size_t MaxResponseBytes_;
  std::size_t CachedBytes_ = 0;
  std::map<std::string, Entry, std::less<>> Entries_;
  std::vector<std::string> CompletionOrder_;
};

} // namespace cuminroad

#endif
