#ifndef CUMINROAD_POOL_SRC_TASKTABLE_H
#define CUMINROAD_POOL_SRC_TASKTABLE_H

#include <map>
#include <optional>
#include <vector>

#include "IndexSet.h"
#include "TaskRecord.h"

namespace cuminroad {

struct StepRecord;

/// The tasks of a step. Only tasks that have begun and are not done have a
/// record, so that the memory of a step follows what is at work, not the number
/// of its tasks. A task has begun once a VM was chosen for it.
class TaskTable {
public:
  using Records = std::map<int, TaskRecord>;

  TaskTable() = default;
  /// \p Step must outlive the table.
  TaskTable(StepRecord &Step, int Count) : Step_(&Step), Count_(Count) {}

  /// \returns the number of tasks, with or without a record.
  int size() const { return Count_; }
  /// \returns the tasks that have begun and are not done, by index. Records
  /// stay where they are until their task is done.
  Records &records() { return Records_; }
  const Records &records() const { return Records_; }
  /// \returns the task's record, or nullptr if there is none.
  TaskRecord *find(int Index);
  /// \returns the lowest index from \p From on of a task that has not begun.
  std::optional<int> nextUnbegun(int From) const;
  /// \returns the number of tasks that have not begun.
  int unbegun() const { return Count_ - Begun_.size(); }
  bool isDone(int Index) const {
    return Begun_.contains(Index) && !Records_.contains(Index);
  }
  /// \returns the tasks that are done.
  IndexSet done() const;

  /// \returns the record of a task that is not done; creates it if necessary.
  TaskRecord &begin(int Index);
  /// Removes the records of \p Count tasks from \p First on, which are done.
  /// \returns how many of them were not done before.
  int finish(int First, int Count);

private:
  StepRecord *Step_ = nullptr;
  int Count_ = 0;
  /// Tasks with a record, and tasks that are done.
  IndexSet Begun_;
  Records Records_;
};

} // namespace cuminroad

#endif
