#ifndef CUMINROAD_POOL_SRC_EXAMINATIONBUDGET_H
#define CUMINROAD_POOL_SRC_EXAMINATIONBUDGET_H

#include <cstdint>

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// A round in which each waiting step is examined once; see ExaminationBudget.
struct ExaminationRound {
  std::int64_t Number = 1;
  TimePoint StartedAt{};
};

/// Limits how many steps a pass examines in vain. The most urgent ones are
/// examined in each pass. The others take turns, once in a round, so that none
/// waits for ever behind more urgent ones that can't start, and that these are
/// not overtaken whenever there is a little room.
///
/// Steps are presented in order of urgency. A round is over when each step has
/// been examined in it and its time has passed.
class ExaminationBudget {
public:
  struct Limits {
    /// Steps examined in vain in each pass.
    int MostUrgent = 0;
    /// Further ones.
    int InTurn = 0;
    milliseconds RoundTime{0};
  };

  /// \p Round outlives the pass.
  ExaminationBudget(const Limits &Limits, ExaminationRound &Round,
                    TimePoint Now)
      : MostUrgentLeft_(Limits.MostUrgent), InTurnLeft_(Limits.InTurn),
        Round_(Round), Now_(Now) {
    RoundTimeOver_ = Now - Round.StartedAt >= Limits.RoundTime;
  }

  /// \param LastRound the round in which the step was last examined; 0 if it
  /// never was.
  /// \returns whether to examine the step now.
  bool admit(std::int64_t &LastRound) {
    if (MostUrgentLeft_ <= 0) {
      if (LastRound == Round_.Number)
        return false;
      if (InTurnLeft_ <= 0) {
        AllExamined_ = false;
        return false;
      }
    }
    LastRound = Round_.Number;
    return true;
  }
  /// The step that was presented last was examined in vain, or need not be
  /// examined.
  void spend() { --(MostUrgentLeft_ > 0 ? MostUrgentLeft_ : InTurnLeft_); }
  /// \returns whether the present step is one of the most urgent ones.
  bool isMostUrgent() const { return MostUrgentLeft_ > 0; }
  /// All steps have been presented.
  void finish() {
    if (AllExamined_ && RoundTimeOver_)
      Round_ = ExaminationRound{Round_.Number + 1, Now_};
  }

private:
  int MostUrgentLeft_;
  int InTurnLeft_;
  ExaminationRound &Round_;
  TimePoint Now_;
  bool RoundTimeOver_ = false;
  bool AllExamined_ = true;
};

} // namespace cuminroad

#endif
