#ifndef CUMINROAD_BASE_SIPHASH_H
#define CUMINROAD_BASE_SIPHASH_H

#include <cstdint>
#include <string_view>

namespace cuminroad {

/// 128 bits: a key of sipHash(), or its result.
struct Bits128 {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;
};

/// \returns the SipHash-2-4 of \p Text with 128 bits. Without the key, the
/// result of no text can be predicted. The time depends only on the length of
/// \p Text.
Bits128 sipHash(const Bits128 &Key, std::string_view Text);

} // namespace cuminroad

#endif
