#ifndef CUMINROAD_BASE_IDS_H
#define CUMINROAD_BASE_IDS_H

#include <string>

namespace cuminroad {

/// \returns 128 bits of the system's random device as 32 hexadecimal digits,
/// for ids that no two processes may share.
std::string randomId();

} // namespace cuminroad

#endif
