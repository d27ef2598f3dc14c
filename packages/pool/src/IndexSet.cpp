#include "IndexSet.h"

#include <algorithm>
#include <iterator>

namespace cuminroad {

std::map<int, int>::const_iterator IndexSet::rangeBefore(int Index) const {
  const auto After = Ranges_.upper_bound(Index);
  return After == Ranges_.begin() ? Ranges_.end() : std::prev(After);
}

void IndexSet::addRange(int First, int Count) {
  if (Count <= 0)
    return;
  int End = First + Count;
  const auto Before = rangeBefore(First);
  if (Before != Ranges_.end() && Before->first + Before->second >= First) {
    First = Before->first;
    End = std::max(End, Before->first + Before->second);
  }
  auto Next = Ranges_.lower_bound(First);
  while (Next != Ranges_.end() && Next->first <= End) {
    End = std::max(End, Next->first + Next->second);
    Size_ -= Next->second;
    Next = Ranges_.erase(Next);
  }
  Ranges_.emplace(First, End - First);
  Size_ += End - First;
}

bool IndexSet::contains(int Index) const {
  const auto Range = rangeBefore(Index);
  return Range != Ranges_.end() && Index < Range->first + Range->second;
}

int IndexSet::firstMissing(int From) const {
  const auto Range = rangeBefore(From);
  if (Range == Ranges_.end())
    return From;
  return std::max(From, Range->first + Range->second);
}

} // namespace cuminroad
