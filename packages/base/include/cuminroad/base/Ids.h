#ifndef CUMINROAD_BASE_IDS_H
#define CUMINROAD_BASE_IDS_H

#include <string>

namespace cuminroad {

/// \returns 128 random bits as 32 hexadecimal digits, from the system's random
/// device; used where two processes must never choose the same name.
std::string randomId();

} // namespace cuminroad

#endif
