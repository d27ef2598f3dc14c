#ifndef CUMINROAD_POOL_POOLOPTIONS_H
#define CUMINROAD_POOL_POOLOPTIONS_H

#include "cuminroad/base/Clock.h"

namespace cuminroad {

/// Tuning parameters of the pool scheduler.
struct PoolOptions {
  /// Factor by which run time grows when a task is away from its data or a gang
  /// spans racks, as configured by the platform.
  double RemoteFactor = 1.0;
  /// Most blocked steps with reserved VMs at a time. Each reservation withholds
  /// capacity from the steps behind it, so a few suffice.
  int MaxReservedSteps = 6;
  /// A ticket is used only if it is valid for this much longer than a start
  /// takes.
  milliseconds TicketMargin{150};
  /// Time until a start reaches its VM, including the write to the store that
  /// precedes it. This is the initial value; PoolScheduler::setStartDelay()
  /// updates it with measurements.
  milliseconds StartDelay{100};
  /// A start must reach its VM before the VM's listed capacity is older than
  /// this: the VM may have shrunk since it listed it.
  milliseconds MaxCapacityAge{3500};
  /// Most waiting steps whose tickets are kept valid.
  int MaxRenewedSteps = 16;
  /// Most waiting steps examined for ticket renewal in each pass. Examining
  /// hundreds of steps that no VM will have room for soon would delay the
  /// others.
  int MaxRenewalCandidates = 64;
  /// Further steps examined in a pass, in turn.
  int MaxRenewalCandidatesInTurn = 16;
  /// A pass examines steps in order of urgency until this many are blocked, not
  /// counting those that the pool could not hold if it was empty. Examining
  /// thousands of them would delay the more urgent ones.
  int MaxBlockedSteps = 150;
  /// Further steps examined in a pass, in turn.
  int MaxBlockedStepsInTurn = 50;
  /// Steps beyond these limits are examined once in this time, or, if there are
  /// many, as often as the limits allow. It is below the 3 s within which a
  /// task that could run must start.
  milliseconds ExaminationRoundTime{1000};
  /// Most steps with a pending advice request.
  int MaxPendingAdvice = 64;
  /// Most of them whose last request failed. The others are left to steps whose
  /// requests succeed.
  int MaxPendingRetries = 48;
  /// VMs named in a step's first advice request; the latency objective allows
  /// for a call with about 30. Advice on further VMs is requested if these have
  /// no room.
  std::size_t InitialAdviceVms = 40;
  /// Advice on further VMs is requested for a step blocked for this long.
  milliseconds ExtendAdviceAfter{400};
  /// Most VMs for which a step's tickets are renewed at a time.
  int MaxRenewedVms = 6;
  /// Tickets are renewed when capacity is expected to become free within the
  /// advisor's latency plus this time.
  milliseconds RenewalLead{250};
  /// Advice for a step is requested when its dependencies are expected to end
  /// within the advisor's latency plus this time.
  milliseconds AdviceLead{300};
  /// Delay before advice that failed is requested again; it doubles with each
  /// further failure of the step, up to the maximum.
  milliseconds AdviceRetryMin{100};
  milliseconds AdviceRetryMax{1500};
  /// Consecutive failed starts and runs after which a VM is put in quarantine,
  /// where it gets no new tasks.
  int FailuresToQuarantine = 3;
  /// After a failure a VM is used only if no other VM has room, until a run
  /// succeeds on it or this time has passed.
  milliseconds SuspectDuration{5000};
  /// Duration of the first quarantine; each further one lasts twice as long, up
  /// to QuarantineMax.
  milliseconds QuarantineMin{3000};
  milliseconds QuarantineMax{30000};
  /// A step blocked for this long may probe a VM in quarantine; a task on its
  /// last attempt waits twice as long. It is below the 3 s within which a task
  /// that could run must start.
  milliseconds ProbeAfter{1000};
  /// Minimum time between two probes of a VM, since each may cost an attempt.
  milliseconds MinProbeInterval{1000};
  /// A task that makes no progress for this long is stopped and placed again.
  milliseconds StuckAfter{3000};
  /// Most tasks of a job that have had a run and have not ended as done. The
  /// stored progress of the job contains each of them.
  int MaxRecordedTasks = 500;
  /// Most members of a gang. All of them are in the stored progress of the job
  /// at the same time.
  int MaxGangTasks = 2000;
  /// Most steps of unfinished occurrences of a job; at least one occurrence is
  /// open. Later ones that are due begin when these are done.
  std::size_t MaxOpenSteps = 500;
  /// A job may arrive before the contracts that have its account, which come
  /// into force everywhere within 3 s. Nothing of an account whose quota isn't
  /// known starts for this long; later, the contracts have dropped it.
  milliseconds UnknownAccountDelay{4000};
  /// An account saves up its rate for this long, and for twice the length of a
  /// gap in the acceptance of jobs: callers that could not submit while daemons
  /// restarted or the store was away are accepted together afterwards, though
  /// they came within the rate.
  milliseconds RateBurst{1000};
  /// A longer time without any accepted job counts as such a gap.
  milliseconds MinAcceptanceGap{1000};
  /// Delay before a task whose start was refused is placed again.
  milliseconds RefusedStartDelay{150};
  /// Largest delay before a task whose start was invalid is placed again. The
  /// delay is RefusedStartDelay at first, and doubles each time.
  milliseconds MaxInvalidStartDelay{5000};
  /// A run that is younger than this when its VM crashes may be the cause. It
  /// covers the time until the crash is seen.
  milliseconds NewRunDuration{500};
  /// If a VM crashes without new runs, runs up to this age may be the cause. A
  /// run that lives longer clears its task of earlier crashes.
  milliseconds CrashFreeRunTime{10000};
  /// A job fails when a task may have caused this many crashes after its start
  /// was confirmed, and its run was the only possible cause of the last one.
  int ConclusiveCrashes = 2;
  /// A job fails when a task may have caused this many crashes, even if there
  /// are other possible causes for each of them or its starts were not
  /// confirmed.
  int MaxCrashes = 4;
  /// A VM is kept free of other new runs for at most this long, so that a task
  /// that may have caused a crash can be tried on it.
  milliseconds TrialReservation{1000};
  /// VMs that become unreachable within this time of each other may have a
  /// common cause, such as a power failure, if there are many of them.
  milliseconds CommonCauseWindow{100};
  /// A host whose VM crashed without new runs is suspected itself for this
  /// long.
  milliseconds HostSuspectDuration{30000};
  /// A job is very late, and of little value to its client, once this many
  /// latency objectives have passed since it was due.
  double VeryLateFactor = 3.0;
  /// Whether deadlines, forecasts and the slowdown of VMs are computed from
  /// predicted run times, which learn from ended and running tasks, instead of
  /// from estimates.
  bool PredictRunTimes = false;
  /// Whether a job counts as late or very late as soon as it is certain to be,
  /// by the critical path that is left. A late job then also yields to jobs in
  /// time of the next priority.
  bool SlackOrder = false;
};

} // namespace cuminroad

#endif
