// Checks that valid settings are read, and that all errors of invalid ones are
// reported with their paths.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "cuminroad/contract/Settings.h"

using namespace cuminroad;

namespace {

const char *const ValidSettings = R"({
  // comments are allowed
  "name": "d1-a", "failure_domain": "d1", "all_failure_domains": ["d1", "d2"],
  "http": {"address": "127.0.0.1", "port": 7400},
  "peer": {"address": "127.0.0.1", "port": 7401},
  "platform_url": "http://127.0.0.1:7500",
  "operator_token": "0123456789",
  "address_map": {"10.0.0.1:80": "127.0.0.1:8080"}
})";

bool anyDetailContains(const std::vector<Error> &Errors,
                       const std::string &Text) {
  return std::any_of(Errors.begin(), Errors.end(), [&](const Error &Each) {
    return Each.Detail.find(Text) != std::string::npos;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(readsSettingsWithComments) {
  const auto Config = parseSettings(ValidSettings);
  BOOST_REQUIRE(Config);
  BOOST_CHECK_EQUAL(Config->Name, "d1-a");
  BOOST_CHECK_EQUAL(Config->Http.text(), "127.0.0.1:7400");
  BOOST_CHECK_EQUAL(Config->translateUrl("http://10.0.0.1:80/vm/x"),
                    "http://127.0.0.1:8080/vm/x");
  BOOST_CHECK_EQUAL(Config->translateUrl("10.0.0.1:80"), "127.0.0.1:8080");
  BOOST_CHECK_EQUAL(Config->translateUrl("http://10.0.0.2:80/"),
                    "http://10.0.0.2:80/");
}

BOOST_AUTO_TEST_CASE(reportsAllErrorsWithTheirPaths) {
  const auto Config = parseSettings(
      R"({"name": "", "failure_domain": "d9", "all_failure_domains": ["d1"],
          "http": {"address": "127.0.0.1", "port": 99999},
          "peer": {"port": 1, "adress": "x"},
          "operator_token": "short", "colour": 1,
          "timings_ms": {"owner_lease": 100, "owner_renewal": 90}})");
  BOOST_REQUIRE(!Config);
  for (const char *Text :
       {"name:", "all_failure_domains:", "http.port:", "peer.address:",
        "peer.adress:", "platform_url:", "operator_token:", "colour:",
        "timings_ms.owner_lease:"})
    BOOST_CHECK_MESSAGE(anyDetailContains(Config.error(), Text), Text);
}

BOOST_AUTO_TEST_CASE(reportsTheLineOfAJsonError) {
  const auto Config = parseSettings("{\n\"name\": }");
  BOOST_REQUIRE(!Config);
  BOOST_CHECK(anyDetailContains(Config.error(), "line 2"));
}
