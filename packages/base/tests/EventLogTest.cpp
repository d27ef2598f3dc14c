// The log's volume under load, and a reader that stops reading.

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "cuminroad/base/EventLog.h"

using namespace cuminroad;

namespace {

/// A pipe with the log at its writing end.
struct Pipe {
  Pipe() {
    BOOST_REQUIRE_EQUAL(pipe(Ends), 0);
    Out = fdopen(Ends[1], "w");
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    fclose(Out);
    close(Ends[0]);
  }
  std::size_t readLines() const {
    std::size_t Lines = 0;
    char Buffer[4096];
    for (ssize_t Got = 0; (Got = read(Ends[0], Buffer, sizeof Buffer)) > 0;)
      for (ssize_t At = 0; At < Got; ++At)
        Lines += Buffer[At] == '\n';
    return Lines;
  }
  int Ends[2] = {-1, -1};
  std::FILE *Out = nullptr;
};

} // namespace

BOOST_AUTO_TEST_CASE(stoppedReaderCostsLinesAndNotService) {
  const Pipe To;
  EventLog Log("p", 10, To.Out);
  // Far more than a pipe holds: this would block without end.
  const std::string Detail(500, 'x');
  for (int Each = 0; Each < 300; ++Each)
    for (const EventId Id : {EventId::RunStarted, EventId::RunEnded,
                             EventId::JobAccepted, EventId::RunLost})
      Log.record(Id, "subject", Detail);
  BOOST_CHECK_GT(To.readLines(), 10);
}

BOOST_AUTO_TEST_CASE(linesOfAKindAreBoundedInASecond) {
  LineBudget Budget;
  const TimePoint Now = TimePoint(seconds(100));
  int Info = 0;
  int Warnings = 0;
  for (int Each = 0; Each < 4000; ++Each) {
    Info += Budget.take(EventId::RunStarted, Now);
    Warnings += Budget.take(EventId::RunLost, Now);
  }
  BOOST_CHECK_LE(Info, 400);
  BOOST_CHECK_GT(Warnings, Info);
  BOOST_CHECK_EQUAL(Budget.takeDropped(), 8000 - Info - Warnings);
  BOOST_CHECK(Budget.take(EventId::RunStarted, Now + seconds(1)));
}
