// The rules on runs hold in a model of a pool under series of disruptions that
// overlap. CUMINROAD_MODEL_SEEDS=FIRST:LAST plays other seeds, and
// CUMINROAD_MODEL_WITHOUT=KINDS and CUMINROAD_MODEL_WITH=KINDS leave kinds of
// disruptions out and add them.

#include <cstdlib>
#include <sstream>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "DisruptedPool.h"

using namespace cuminroad;

namespace {

/// The seeds of CI, unless the environment names others.
std::pair<unsigned, unsigned> seeds(unsigned First, unsigned Last) {
  if (const char *Given = std::getenv("CUMINROAD_MODEL_SEEDS")) {
    std::istringstream Fields{Given};
    char Separator = ':';
    Fields >> First >> Separator >> Last;
  }
  return {First, Last};
}

/// \returns whether the environment variable names the kind.
bool names(const char *Variable, const char *Kind) {
  const char *Given = std::getenv(Variable);
  return Given != nullptr &&
         std::string_view(Given).find(Kind) != std::string_view::npos;
}

/// Leaves out or adds the kinds that the environment names.
Disruptions chosen(Disruptions Kinds) {
  const std::pair<const char *, bool *> Switches[] = {
      {"orders", &Kinds.Orders},
      {"crashes", &Kinds.Crashes},
      {"reused", &Kinds.ReusedAddresses},
      {"cuts", &Kinds.Cuts},
      {"entries", &Kinds.OddEntries},
      {"shrinks", &Kinds.Shrinks},
      {"store", &Kinds.Store},
      {"daemons", &Kinds.Daemons},
      {"ends", &Kinds.ShortEndLists},
      {"late", &Kinds.LateOrdersSurviveRestarts},
      {"quotas", &Kinds.Quotas},
      {"stale", &Kinds.StaleCapacityBinds}};
  for (const auto &[Kind, Switch] : Switches) {
    if (names("CUMINROAD_MODEL_WITHOUT", Kind))
      *Switch = false;
    if (names("CUMINROAD_MODEL_WITH", Kind))
      *Switch = true;
  }
  return Kinds;
}

void checkRules(unsigned First, unsigned Last, Disruptions Kinds) {
  const auto [Begin, End] = seeds(First, Last);
  for (unsigned Seed = Begin; Seed <= End; ++Seed) {
    DisruptedPool Pool(Seed, chosen(Kinds));
    Pool.run();
    const auto Violations = Pool.violations();
    for (const std::string &Each : Violations)
      BOOST_ERROR("seed " << Seed << ": " << Each);
    if (!Violations.empty() && Begin == End)
      BOOST_TEST_MESSAGE(Pool.history());
  }
}

} // namespace

// Guards against two runs of a task at once, and against starts beyond a VM's
// capacity or a step's limit per VM, on VMs without its label, before earlier
// steps, after the last attempt or a cancellation, after disruptions that
// overlap.
BOOST_AUTO_TEST_CASE(allDisruptionsOverlap) { checkRules(1, 20, {}); }

// Guards against the same where the VMs, their entries, the orders and the
// daemons are disrupted more often.
BOOST_AUTO_TEST_CASE(vmsAndDaemonsAreDisrupted) {
  checkRules(101, 120, {.Shrinks = false, .Store = false});
}

// Guards against the same where a VM lists one end at a time, so that most of
// its answers leave some out.
BOOST_AUTO_TEST_CASE(endsAreListedInPages) {
  checkRules(201, 220, {.ShortEndLists = true});
}

// Guards against an account that has more running than its quota allows after
// the same disruptions: owners that are killed, starts without an answer,
// orders that are carried out late, and VMs that restart.
BOOST_AUTO_TEST_CASE(quotasHoldThroughDisruptions) {
  checkRules(301, 330, {.Quotas = true});
}
