// Checks that docs/EVENTS.md and docs/ERRORS.md list exactly the events and
// errors of the code, with the same texts.

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cuminroad/base/Error.h"
#include "cuminroad/base/EventId.h"

using namespace cuminroad;

namespace {

std::string readDocPage(const char *Name) {
  std::ifstream File(std::string(CUMINROAD_SOURCE_DIR "/docs/") + Name);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

int countRows(const std::string &Text) {
  int Rows = 0;
  std::stringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    Rows += Line.starts_with("| 1") || Line.starts_with("| 2");
  return Rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(docPageListsEveryEvent) {
  const std::string Text = readDocPage("EVENTS.md");
  for (const EventInfo &Info : eventCatalogue()) {
    const std::string Row =
        fmt::format("| {} | {} | {} | {} |", static_cast<int>(Info.Id),
                    severityName(Info.Level), Info.Name, Info.Description);
    BOOST_CHECK_MESSAGE(Text.find(Row) != std::string::npos, Row);
  }
  BOOST_CHECK_EQUAL(countRows(Text), eventCatalogue().size());
}

BOOST_AUTO_TEST_CASE(eventNumbersIncrease) {
  int Last = 0;
  for (const EventInfo &Info : eventCatalogue()) {
    BOOST_CHECK_GT(static_cast<int>(Info.Id), Last);
    Last = static_cast<int>(Info.Id);
  }
}

BOOST_AUTO_TEST_CASE(docPageListsEveryError) {
  const std::string Text = readDocPage("ERRORS.md");
  for (const ErrorInfo &Info : errorTable()) {
    const std::string Row =
        fmt::format("| {} | {} | {} |", static_cast<int>(Info.Code), Info.Name,
                    Info.Message);
    BOOST_CHECK_MESSAGE(Text.find(Row) != std::string::npos, Row);
  }
  BOOST_CHECK_EQUAL(countRows(Text), errorTable().size());
}
