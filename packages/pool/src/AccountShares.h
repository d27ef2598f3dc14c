#ifndef CUMINROAD_POOL_SRC_ACCOUNTSHARES_H
#define CUMINROAD_POOL_SRC_ACCOUNTSHARES_H

#include "PoolTables.h"

namespace cuminroad {

/// Sets AccountRecord::OverShare. The use of an account is its share of the
/// component of which it uses most (dominant share), so that accelerators and
/// CPU need no common unit. Only accounts with AccountRecord::HasWaiting are
/// compared: what the others leave belongs to these.
void findAccountsOverShare(const PoolTables &Tables);

} // namespace cuminroad

#endif
