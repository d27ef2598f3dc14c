#ifndef CUMINROAD_POOL_SRC_INDEXSET_H
#define CUMINROAD_POOL_SRC_INDEXSET_H

#include <map>

namespace cuminroad {

/// A set of numbers from 0 on, stored as ranges: its size follows the number of
/// gaps.
class IndexSet {
public:
  void add(int Index) { addRange(Index, 1); }
  /// Adds \p Count numbers from \p First on.
  void addRange(int First, int Count);
  bool contains(int Index) const;
  /// \returns the lowest number from \p From on that is not in the set.
  int firstMissing(int From) const;
  int size() const { return Size_; }
  /// The first number of each range, and the number of its members.
  const std::map<int, int> &ranges() const { return Ranges_; }

private:
  /// \returns the range with the highest first number up to \p Index, or the
  /// end.
  std::map<int, int>::const_iterator rangeBefore(int Index) const;

  /// Neither overlap nor touch.
  std::map<int, int> Ranges_;
  int Size_ = 0;
};

} // namespace cuminroad

#endif
