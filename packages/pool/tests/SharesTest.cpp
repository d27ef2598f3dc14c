// Tests what accounts get of a pool that is full.

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "OverloadedPool.h"

using namespace cuminroad;

BOOST_AUTO_TEST_CASE(sharesFollowWeightsWhenThePoolIsFull) {
  // The load: entitled work of three accounts exceeds the pool. The third has
  // been idle until the middle; it must reach its share without more.
  JobKind Quick;
  Quick.Name = "quick";
  Quick.Stretch = 1.5;
  Quick.Target = milliseconds(300);
  Quick.Tasks = 10;
  Quick.Size = {5000, 2000, 0};
  Quick.RunTime = milliseconds(700);
  Quick.EstimateSigma = 0.7;
  OverloadedPool Pool{PoolOptions{}};
  Pool.addVms(10, Capacity{32000, 64000, 0});
  std::vector<ClientAccount> Accounts(3);
  const double Weights[] = {30, 10, 10};
  for (std::size_t Number = 0; Number < Accounts.size(); ++Number) {
    Accounts[Number].Name = fmt::format("a{}", Number);
    Accounts[Number].Weight = Weights[Number];
  }
  Pool.setAccounts(Accounts);
  for (const ClientAccount &Each : Accounts)
    Pool.submitAtRate(Quick, Each.Name, 9,
                      milliseconds(Each.Name == "a2" ? 10000 : 0),
                      milliseconds(20000));
  const auto UsedBy = [&] {
    std::vector<double> Out(3);
    for (int Tick = 0; Tick < 50; ++Tick) {
      Pool.runFor(milliseconds(100));
      const std::vector<AccountLoad> Loads = Pool.Scheduler->accountLoads();
      for (std::size_t Number = 0; Number < Out.size(); ++Number)
        Out[Number] += static_cast<double>(Loads[Number].Used.MilliCores);
    }
    return Out;
  };
  Pool.runFor(milliseconds(4000));
  const std::vector<double> Two = UsedBy();
  BOOST_TEST_MESSAGE("two accounts " << Two[0] / Two[1]);
  BOOST_CHECK_CLOSE(Two[0] / Two[1], 3.0, 25);
  Pool.runFor(milliseconds(4000));
  const std::vector<double> Three = UsedBy();
  BOOST_TEST_MESSAGE("three accounts " << Three[0] / Three[1] << " "
                                       << Three[2] / Three[1]);
  BOOST_CHECK_CLOSE(Three[0] / Three[1], 3.0, 25);
  BOOST_CHECK_CLOSE(Three[2] / Three[1], 1.0, 25);
}
