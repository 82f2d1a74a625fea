/// \file
/// The line that a call stands in, and the steps that end or repeat its call.
#ifndef TANAGERLANDING_DECISION_CALLLINES_H
#define TANAGERLANDING_DECISION_CALLLINES_H

#include "EntryContext.h"

namespace tanagerlanding {

/// A line with all that it belongs to. Line is null where there is none.
struct LineView {
  OwnedShard *Shard = nullptr;
  ProgramLedger *Ledger = nullptr;
  AgentLine *Line = nullptr;
  LineRef Ref;

  bool hasActive() const { return this->Line && this->Line->Active; }
  ActiveCall &active() const { return *this->Line->Active; }
};

/// Returns a line; its parts that are not there are null.
LineView findLine(EntryContext &Context, const LineRef &Ref);

/// Returns the line whose active call's present attempt is Id; without an
/// active call where there is none.
LineView findAttempt(EntryContext &Context, const AttemptId &Id);

/// Sets how far a call is, and since when.
void setPhase(EntryContext &Context, ActiveCall &Active, CallPhase Phase);

/// Notes that a call's present attempt is no load for its target any more.
void leaveTarget(EntryState &State, ActiveCall &Active);

/// Ends the active call of a line, whose waiters have their answers.
void closeCall(EntryContext &Context, const LineView &View);

/// Gives the active call up and says so at once.
void failCall(EntryContext &Context, const LineView &View, CallError Code,
              bool MayRetry, const char *Detail);

/// Ends a call that may have run and must not run again.
void finishUnknown(EntryContext &Context, const LineView &View);

/// Ends the present attempt without an answer; the call may go on.
void releaseAttempt(EntryContext &Context, const LineView &View, Execution Ran);

/// Tries the call again later, or gives it up.
void retryOrFail(EntryContext &Context, const LineView &View);

} // namespace tanagerlanding

#endif
