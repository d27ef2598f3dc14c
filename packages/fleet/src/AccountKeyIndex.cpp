#include "cuminroad/fleet/AccountKeyIndex.h"

#include <bit>
#include <random>

namespace cuminroad {

namespace {

constexpr int HalfWordBits = 32;

/// Compares without a branch on the bits.
bool areEqual(const Bits128 &Left, const Bits128 &Right) {
  return ((Left.Low ^ Right.Low) | (Left.High ^ Right.High)) == 0;
}

} // namespace

Bits128 AccountKeyIndex::makeSalt() {
  std::random_device Random;
  const auto Word = [&Random] {
    const std::uint64_t High = Random();
    return High << HalfWordBits | Random();
  };
  return Bits128{Word(), Word()};
}

void AccountKeyIndex::build(std::span<const AccountEntry> Accounts) {
  std::size_t Keys = 0;
  for (const AccountEntry &Entry : Accounts)
    Keys += Entry.Keys.size();
  Slots_.assign(Keys == 0 ? 0 : std::bit_ceil(2 * Keys), Slot{});
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index)
    for (const std::string &Key : Accounts[Index].Keys) {
      const Bits128 Hash = sipHash(Salt_, Key);
      std::size_t Place = Hash.Low & (Slots_.size() - 1);
      while (Slots_[Place].Owner != 0)
        Place = (Place + 1) & (Slots_.size() - 1);
      Slots_[Place] = Slot{Hash, static_cast<std::uint32_t>(Index + 1)};
    }
}

std::optional<std::size_t> AccountKeyIndex::find(std::string_view Key) const {
  if (Slots_.empty())
    return std::nullopt;
  const Bits128 Hash = sipHash(Salt_, Key);
  for (std::size_t Place = Hash.Low & (Slots_.size() - 1);
       Slots_[Place].Owner != 0; Place = (Place + 1) & (Slots_.size() - 1))
    if (areEqual(Slots_[Place].Hash, Hash))
      return Slots_[Place].Owner - 1;
  return std::nullopt;
}

} // namespace cuminroad
