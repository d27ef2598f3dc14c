// Checks the log's lines, that the log bounds its volume under load, and that a
// reader that stops reading does not block the process.

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

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
  /// \returns what was written since the last call.
  std::string readText() const {
    std::string Text;
    char Buffer[4096];
    for (ssize_t ByteCount = 0;
         (ByteCount = read(Ends[0], Buffer, sizeof Buffer)) > 0;)
      Text.append(Buffer, static_cast<std::size_t>(ByteCount));
    return Text;
  }
  std::size_t readLines() const {
    const std::string Text = readText();
    return static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n'));
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

// Guards against lines that readers of the log can't parse, or in which a field
// is lost or changes.
BOOST_AUTO_TEST_CASE(linesMatchJsonLibrary) {
  const Pipe LogPipe;
  std::vector<std::string> Texts{"",
                                 "i-1 cpu 1500/16000",
                                 "\"quoted\" \\ /",
                                 "line\r\nline\ttab",
                                 std::string("a\0b", 3),
                                 "\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80",
                                 "cut \xe2\x82",
                                 "\xff\xfe",
                                 std::string(3000, 'x')};
  for (int Byte = 0; Byte < 256; ++Byte)
    Texts.push_back(std::string("a") + static_cast<char>(Byte) + "z");
  for (const std::string Process : {"p", "\"p\"\n"}) {
    EventLog Log(Process, 10, LogPipe.Writer);
    for (std::size_t Index = 0; Index < Texts.size(); ++Index) {
      const EventInfo &Info = eventCatalogue()[Index % eventCatalogue().size()];
      const std::string &Subject = Texts[Index];
      const std::string &Detail = Texts[(Index + 1) % Texts.size()];
      Log.record(Info.Id, Subject, Detail);
      const nlohmann::json Expected{{"stamp", Log.since(0).back().Stamp},
                                    {"process", Process},
                                    {"level", severityName(Info.Level)},
                                    {"event", static_cast<int>(Info.Id)},
                                    {"name", Info.Name},
                                    {"subject", Subject},
                                    {"detail", Detail}};
      BOOST_CHECK_EQUAL(
          LogPipe.readText(),
          Expected.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace) +
              "\n");
    }
  }
}
