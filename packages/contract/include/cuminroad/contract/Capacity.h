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
  friend Capacity operator*(Capacity Left, std::int64_t Times) {
    return Capacity{Left.MilliCores * Times, Left.MemoryMb * Times,
                    Left.Accelerators * Times};
  }
  bool operator==(const Capacity &) const = default;

  /// \returns whether all three parts are within \p Room.
  bool fitsIn(const Capacity &Room) const {
    return MilliCores <= Room.MilliCores && MemoryMb <= Room.MemoryMb &&
           Accelerators <= Room.Accelerators;
  }
};

/// \returns the smaller of each part.
inline Capacity smaller(const Capacity &Left, const Capacity &Right) {
  return Capacity{
      Left.MilliCores < Right.MilliCores ? Left.MilliCores : Right.MilliCores,
      Left.MemoryMb < Right.MemoryMb ? Left.MemoryMb : Right.MemoryMb,
      Left.Accelerators < Right.Accelerators ? Left.Accelerators
                                             : Right.Accelerators};
}

} // namespace cuminroad

#endif
