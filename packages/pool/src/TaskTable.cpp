#include "TaskTable.h"

#include <iterator>

namespace cuminroad {

TaskRecord *TaskTable::find(int Index) {
  const auto Found = Records_.find(Index);
  return Found == Records_.end() ? nullptr : &Found->second;
}

std::optional<int> TaskTable::nextUnbegun(int From) const {
  const int Index = Begun_.firstMissing(From);
  if (Index >= Count_)
    return std::nullopt;
  return Index;
}

IndexSet TaskTable::done() const {
  IndexSet Out;
  auto Record = Records_.begin();
  for (const auto &[First, Count] : Begun_.ranges()) {
    int From = First;
    for (; Record != Records_.end() && Record->first < First + Count;
         ++Record) {
      Out.addRange(From, Record->first - From);
      From = Record->first + 1;
    }
    Out.addRange(From, First + Count - From);
  }
  return Out;
}

TaskRecord &TaskTable::begin(int Index) {
  const auto [Entry, IsNew] = Records_.try_emplace(Index);
  if (IsNew) {
    Entry->second.Step = Step_;
    Entry->second.Index = Index;
    Begun_.add(Index);
  }
  return Entry->second;
}

int TaskTable::finish(int First, int Count) {
  const auto Begin = Records_.lower_bound(First);
  const auto End = Records_.lower_bound(First + Count);
  int Finished = static_cast<int>(std::distance(Begin, End));
  Records_.erase(Begin, End);
  Finished -= Begun_.size();
  Begun_.addRange(First, Count);
  return Finished + Begun_.size();
}

} // namespace cuminroad
