#ifndef CUMINROAD_CONTRACT_CAPACITY_H
#define CUMINROAD_CONTRACT_CAPACITY_H

#include <cstdint>

namespace cuminroad {

/// An amount of resources: of a VM, declared by a task, or allowed by a
/// contract.
struct Capacity {
  /// CPU time in thousandths of a core.
  std::int64_t MilliCores = 0;
  /// Memory in megabytes.
  std::int64_t MemoryMb = 0;
  /// Number of whole accelerators.
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

  /// \returns whether no component exceeds that of \p Available.
  bool fitsIn(const Capacity &Available) const {
    return MilliCores <= Available.MilliCores &&
           MemoryMb <= Available.MemoryMb &&
           Accelerators <= Available.Accelerators;
  }
};

/// \returns the minimum of each component.
inline Capacity componentwiseMin(const Capacity &Left, const Capacity &Right) {
  return Capacity{
      Left.MilliCores < Right.MilliCores ? Left.MilliCores : Right.MilliCores,
      Left.MemoryMb < Right.MemoryMb ? Left.MemoryMb : Right.MemoryMb,
      Left.Accelerators < Right.Accelerators ? Left.Accelerators
                                             : Right.Accelerators};
}

/// \returns the maximum of each component.
inline Capacity componentwiseMax(const Capacity &Left, const Capacity &Right) {
  return Capacity{
      Left.MilliCores > Right.MilliCores ? Left.MilliCores : Right.MilliCores,
      Left.MemoryMb > Right.MemoryMb ? Left.MemoryMb : Right.MemoryMb,
      Left.Accelerators > Right.Accelerators ? Left.Accelerators
                                             : Right.Accelerators};
}

} // namespace cuminroad

#endif
