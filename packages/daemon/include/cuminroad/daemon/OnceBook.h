#ifndef CUMINROAD_DAEMON_ONCEBOOK_H
#define CUMINROAD_DAEMON_ONCEBOOK_H

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
enum class OnceState {
  /// Known, and certainly not sent so far.
  Fresh,
  InFlight,
  /// Ran; the answer is kept.
  Done,
  /// Ran or may have run; the answer is no longer kept.
  Spent,
  /// Not known to this process.
  Absent,
};

/// Remembers the requests that this process alone may run, and their answers,
/// so that a retry gets the first run's answer and never a second run.
class OnceBook {
public:
  /// \param Life how long a ticket can be used and an answer is kept.
  /// \param AnswerBytes answers kept at most, in bytes; the oldest go first.
  OnceBook(const Clock &Clock, milliseconds Life, std::size_t AnswerBytes);

  /// Adds \p Name as fresh, unless it is known.
  void add(const std::string &Name);
  OnceState state(std::string_view Name) const;
  /// Marks a fresh entry as in flight.
  void start(const std::string &Name);
  /// The request certainly did not run: it may be tried again.
  void reopen(const std::string &Name);
  /// Adds a caller that waits for an entry in flight.
  void wait(const std::string &Name, HttpResponder Respond);
  /// Keeps the answer. \returns the callers that waited.
  std::vector<HttpResponder> finish(const std::string &Name,
                                    const HttpResponse &Answer);
  /// \returns the kept answer of an entry that is done.
  HttpResponse answer(const std::string &Name) const;
  /// Drops entries whose life is over.
  void expire();
  std::size_t size() const { return Entries_.size(); }

private:
  struct Entry {
    OnceState State = OnceState::Fresh;
    TimePoint Until{};
    HttpResponse Answer;
    std::vector<HttpResponder> Waiters;
  };
  void dropOldAnswers();

  const Clock &Clock_;
  milliseconds Life_;
  std::size_t AnswerBytes_;
  std::size_t Kept_ = 0;
  std::map<std::string, Entry, std::less<>> Entries_;
  std::vector<std::string> Finished_;
};

} // namespace cuminroad

#endif
