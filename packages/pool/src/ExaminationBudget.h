#ifndef CUMINROAD_POOL_SRC_EXAMINATIONBUDGET_H
#define CUMINROAD_POOL_SRC_EXAMINATIONBUDGET_H

#include <cstdint>

namespace cuminroad {

/// Limits how many steps a pass examines in vain. The most urgent ones are
/// examined in each pass; the others take turns over several passes, so that
/// none waits for ever behind more urgent ones that can't start.
///
/// Steps are presented in order of urgency. A round is over when each step has
/// been examined in it.
class ExaminationBudget {
public:
  /// \param MostUrgent steps examined in vain in each pass.
  /// \param InTurn further ones.
  /// \param Round the current round, which outlives the pass; starts at 1.
  ExaminationBudget(int MostUrgent, int InTurn, std::int64_t &Round)
      : MostUrgentLeft_(MostUrgent), InTurnLeft_(InTurn), Round_(Round) {}

  /// \param LastRound the round in which the step was last examined; 0 if it
  /// never was.
  /// \returns whether to examine the step now.
  bool admit(std::int64_t &LastRound) {
    if (MostUrgentLeft_ <= 0) {
      if (LastRound == Round_)
        return false;
      if (InTurnLeft_ <= 0) {
        AllExamined_ = false;
        return false;
      }
    }
    LastRound = Round_;
    return true;
  }
  /// The step that was admitted last was examined in vain.
  void spend() { --(MostUrgentLeft_ > 0 ? MostUrgentLeft_ : InTurnLeft_); }
  /// All steps have been presented.
  void finish() { Round_ += AllExamined_; }

private:
  int MostUrgentLeft_;
  int InTurnLeft_;
  std::int64_t &Round_;
  bool AllExamined_ = true;
};

} // namespace cuminroad

#endif
