#include "cuminroad/pool/PoolVm.h"

#include <algorithm>

namespace cuminroad {

bool PoolVm::hasLabel(std::string_view Label) const {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

} // namespace cuminroad
