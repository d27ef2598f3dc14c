#include "cuminroad/base/SipHash.h"

#include <bit>

namespace cuminroad {

namespace {

constexpr std::size_t WordBytes = 8;
constexpr int BitsPerByte = 8;
constexpr int CompressionRounds = 2;
constexpr int FinalRounds = 4;

/// The four words of state, with the constants of the published algorithm.
// NOLINTBEGIN(readability-magic-numbers)
class SipState {
public:
  explicit SipState(const Bits128 &Key)
      : A_(Key.Low ^ 0x736f6d6570736575), B_(Key.High ^ 0x646f72616e646f83),
        C_(Key.Low ^ 0x6c7967656e657261), D_(Key.High ^ 0x7465646279746573) {}

  void add(std::uint64_t Word) {
    D_ ^= Word;
    mix(CompressionRounds);
    A_ ^= Word;
  }
  Bits128 finish() {
    C_ ^= 0xee;
    mix(FinalRounds);
    const std::uint64_t Low = A_ ^ B_ ^ C_ ^ D_;
    B_ ^= 0xdd;
    mix(FinalRounds);
    return Bits128{Low, A_ ^ B_ ^ C_ ^ D_};
  }

private:
  void mix(int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      A_ += B_;
      C_ += D_;
      B_ = std::rotl(B_, 13) ^ A_;
      D_ = std::rotl(D_, 16) ^ C_;
      A_ = std::rotl(A_, 32);
      C_ += B_;
      A_ += D_;
      B_ = std::rotl(B_, 17) ^ C_;
      D_ = std::rotl(D_, 21) ^ A_;
      C_ = std::rotl(C_, 32);
    }
  }

  std::uint64_t A_;
  std::uint64_t B_;
  std::uint64_t C_;
  std::uint64_t D_;
};
// NOLINTEND(readability-magic-numbers)

std::uint64_t littleEndianWord(std::string_view Bytes) {
  std::uint64_t Word = 0;
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index)
    Word |= std::uint64_t{static_cast<unsigned char>(Bytes[Index])}
            << (BitsPerByte * Index);
  return Word;
}

} // namespace

Bits128 sipHash(const Bits128 &Key, std::string_view Text) {
  SipState State(Key);
  std::string_view Rest = Text;
  for (; Rest.size() >= WordBytes; Rest.remove_prefix(WordBytes))
    State.add(littleEndianWord(Rest.substr(0, WordBytes)));
  constexpr int LengthShift = BitsPerByte * (WordBytes - 1);
  State.add(littleEndianWord(Rest) |
            (std::uint64_t{Text.size()} << LengthShift));
  return State.finish();
}

} // namespace cuminroad
