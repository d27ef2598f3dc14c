#ifndef CUMINROAD_FLEET_FENCINGTOKENS_H
#define CUMINROAD_FLEET_FENCINGTOKENS_H

#include <cstdint>

namespace cuminroad {

/// The fencing tokens of one owner of a pool: higher than those of all earlier
/// owners, and rising. An owner raises the token of a VM to void its own
/// earlier orders.
class FencingTokens {
public:
  /// \param Epoch number of the owner among those of the pool.
  explicit FencingTokens(std::int64_t Epoch) : Last_(Epoch << CountBits) {}

  std::int64_t next() { return ++Last_; }
  /// \returns whether an owner should be succeeded by another before its tokens
  /// reach those of the next epoch.
  bool nearlyExhausted() const {
    return (Last_ & MaxCount) > MaxCount - ReservedCount;
  }

private:
  /// Tokens are numbers in JSON, which are exact up to 2^53.
  static constexpr int CountBits = 28;
  static constexpr std::int64_t MaxCount = (std::int64_t{1} << CountBits) - 1;
  static constexpr std::int64_t ReservedCount = 1000000;

  std::int64_t Last_;
};

} // namespace cuminroad

#endif
