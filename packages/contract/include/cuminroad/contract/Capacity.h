#ifndef CUMINROAD_CONTRACT_CAPACITY_H
#define CUMINROAD_CONTRACT_CAPACITY_H

#include <cstdint>

namespace cuminroad {

/// What a VM has, a task declares, or a contract allows.
struct Capacity {
  std::int64_t MilliCores = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  Capacity &operator+=(const Capacity &Other) {
    MilliCores += Other.MilliCores;
    MemoryMb += Other.MemoryMb;
    Accelerators += Other.Accelerators;
    return *this;
  }
  Capacity &operator-=(const Capacity &Other) {
    MilliCores -= Other.MilliCores;
    MemoryMb -= Other.MemoryMb;
    Accelerators -= Other.Accelerators;
    return *this;
  }
  friend Capacity operator+(Capacity Left, const Capacity &Right) {
    return Left += Right;
  }
  friend Capacity operator-(Capacity Left, const Capacity &Right) {
    return Left -= Right;
  }
  friend Capacity operator*(Capacity Left, std::int64_t Factor) {
    return Capacity{Left.MilliCores * Factor, Left.MemoryMb * Factor,
                    Left.Accelerators * Factor};
  }
  bool operator==(const Capacity &) const = default;

  /// \returns whether all three parts are within \p Available.
  bool fitsIn(const Capacity &Available) const {
    return MilliCores <= Available.MilliCores &&
           MemoryMb <= Available.MemoryMb &&
           Accelerators <= Available.Accelerators;
  }
};

/// \returns the smaller of each part.
inline Capacity componentwiseMin(const Capacity &Left, const Capacity &Right) {
  return Capacity{
      Left.MilliCores < Right.MilliCores ? Left.MilliCores : Right.MilliCores,
      Left.MemoryMb < Right.MemoryMb ? Left.MemoryMb : Right.MemoryMb,
      Left.Accelerators < Right.Accelerators ? Left.Accelerators
                                             : Right.Accelerators};
}

} // namespace cuminroad

#endif
