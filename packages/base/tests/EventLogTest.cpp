// Checks that the log bounds its volume under load, and that a reader that
// stops reading does not block the process.

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "cuminroad/base/EventLog.h"

using namespace cuminroad;

namespace {

/// A pipe; the log writes to its write end.
struct Pipe {
  Pipe() {
    BOOST_REQUIRE_EQUAL(pipe(Ends), 0);
    Writer = fdopen(Ends[1], "w");
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    fclose(Writer);
    close(Ends[0]);
  }
  std::size_t readLines() const {
    std::size_t Lines = 0;
    char Buffer[4096];
    for (ssize_t ByteCount = 0;
         (ByteCount = read(Ends[0], Buffer, sizeof Buffer)) > 0;)
      for (ssize_t Index = 0; Index < ByteCount; ++Index)
        Lines += Buffer[Index] == '\n';
    return Lines;
  }
  int Ends[2] = {-1, -1};
  std::FILE *Writer = nullptr;
};

} // namespace

BOOST_AUTO_TEST_CASE(stalledReaderDoesNotBlockTheLog) {
  const Pipe LogPipe;
  EventLog Log("p", 10, LogPipe.Writer);
  // Far more than the pipe's buffer: blocking writes would never return.
  const std::string Detail(500, 'x');
  for (int Round = 0; Round < 300; ++Round)
    for (const EventId Id : {EventId::RunStarted, EventId::RunEnded,
                             EventId::JobAccepted, EventId::RunLost})
      Log.record(Id, "subject", Detail);
  BOOST_CHECK_GT(LogPipe.readLines(), 10);
}

BOOST_AUTO_TEST_CASE(limitsLinesPerEventAndSecond) {
  LogRateLimiter Limiter;
  const TimePoint Now = TimePoint(seconds(100));
  int InfoLines = 0;
  int WarningLines = 0;
  for (int Round = 0; Round < 4000; ++Round) {
    InfoLines += Limiter.tryAcquire(EventId::RunStarted, Now);
    WarningLines += Limiter.tryAcquire(EventId::RunLost, Now);
  }
  BOOST_CHECK_LE(InfoLines, 400);
  BOOST_CHECK_GT(WarningLines, InfoLines);
  BOOST_CHECK_EQUAL(Limiter.takeDropCount(), 8000 - InfoLines - WarningLines);
  BOOST_CHECK(Limiter.tryAcquire(EventId::RunStarted, Now + seconds(1)));
}
