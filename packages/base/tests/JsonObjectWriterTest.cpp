// Compares the writer's output with that of a JSON library.

#include <limits>
#include <random>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cuminroad/base/JsonObjectWriter.h"

using namespace cuminroad;

namespace {

std::string dump(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void checkText(const std::string &Text) {
  JsonObjectWriter Writer(16);
  Writer.add("a", Text);
  BOOST_CHECK_EQUAL(Writer.finish(), dump({{"a", Text}}));
}

} // namespace

// Guards against strings that are escaped differently.
BOOST_AUTO_TEST_CASE(textsMatchJsonLibrary) {
  checkText("");
  for (int First = 0; First < 256; ++First)
    for (int Second = 0; Second < 256; ++Second)
      checkText({static_cast<char>(First), static_cast<char>(Second)});
  std::mt19937 Random(1);
  for (int Number = 0; Number < 2000; ++Number) {
    std::string Text(Random() % 300, 'x');
    for (unsigned Changes = Random() % 4; Changes > 0 && !Text.empty();
         --Changes)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    checkText(Text);
  }
}

// Guards against a member that is lost, and against wrong numbers.
BOOST_AUTO_TEST_CASE(membersMatchJsonLibrary) {
  JsonObjectWriter Writer(16);
  Writer.add("a", std::numeric_limits<std::int64_t>::min());
  Writer.add("b", std::numeric_limits<std::uint64_t>::max());
  Writer.add("c", 0);
  Writer.add("d", "text");
  Writer.addJson("e", R"([{"f":1}])");
  BOOST_CHECK_EQUAL(Writer.finish(),
                    dump({{"a", std::numeric_limits<std::int64_t>::min()},
                          {"b", std::numeric_limits<std::uint64_t>::max()},
                          {"c", 0},
                          {"d", "text"},
                          {"e", nlohmann::json::parse(R"([{"f":1}])")}}));
  BOOST_CHECK_EQUAL(JsonObjectWriter(0).finish(), "{}");
}
