#include "OutputReports.h"

#include "StreamOrigins.h"
#include "Teams.h"
#include "Turns.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns whether a caller may continue the stream of a call and the output of
/// the stream is kept.
bool isOutputReported(const RelayCall &Call) {
  return Call.Route.IsStreaming && Call.Route.KeepsHistory &&
         Call.Route.IsResumable;
}

/// Identifies a turn by what its attempts have in common.
Fingerprint turnKeyOf(const RelayCall &Call) {
  const std::optional<TurnId> Previous = previousOf(Call);
  return fingerprintOfContent({std::to_string(Call.Content.Value),
                               programOf(Call).Value,
                               Previous ? Previous->Value : std::string()});
}

/// Returns the first attempt of the stream that a call begins or continues.
Fingerprint streamOf(const RelayCall &Call) {
  return needsEarlierOutput(Call) ? Call.Ledger.Resumed->Stream
                                  : fingerprintOf(turnOf(Call));
}

/// Returns the part of a call's output that begins at a position and a mark.
StreamOutput makeRow(const RelayState &State, const RelayCall &Call,
                     std::size_t Offset, std::size_t FirstMark) {
  StreamOutput Row;
  Row.Stream = streamOf(Call);
  Row.TurnKey = turnKeyOf(Call);
  Row.Attempt = fingerprintOf(turnOf(Call));
  if (const auto Position = positionOf(Call))
    Row.ContinuedAfter = Position->After;
  Row.Offset = Offset;
  Row.Data = Call.Output.substr(Offset);
  Row.Marks.assign(Call.OutputMarks.begin() +
                       static_cast<std::ptrdiff_t>(FirstMark),
                   Call.OutputMarks.end());
  Row.Retention = std::max(Milliseconds(0), streamRetentionOf(State, Call) -
                                                (State.Now - Call.Arrived));
  return Row;
}

bool isPartlyReported(const RelayCall &Call) {
  return Call.ReportedBytes > 0 || Call.ReportedMarks > 0;
}

/// Returns what of a call's output was not reported, and records it as
/// reported.
StreamOutput takeUnreported(const RelayState &State, RelayCall &Call) {
  StreamOutput Row =
      makeRow(State, Call, Call.ReportedBytes, Call.ReportedMarks);
  Row.IsFirst = !isPartlyReported(Call);
  Call.ReportedBytes = Call.Output.size();
  Call.ReportedMarks = Call.OutputMarks.size();
  return Row;
}

} // namespace

bool needsEarlierOutput(const RelayCall &Call) {
  return isContinuation(Call) && Call.Route.KeepsHistory;
}

std::optional<StreamPosition> positionOf(const RelayCall &Call) {
  const auto &LastEvent = Call.InboundRequest.LastEventId;
  if (!needsEarlierOutput(Call) || isUnnamedContinuation(Call) || !LastEvent)
    return std::nullopt;
  return StreamPosition{*LastEvent, turnKeyOf(Call)};
}

void mergeResumedOutput(TurnLedger &Ledger, const HolderId &Holder,
                        const ResumedOutput &Resumed) {
  Ledger.AnsweredWithOutput.insert(Holder);
  if (!Ledger.Resumed) {
    Ledger.Resumed = Resumed;
    return;
  }
  ResumedOutput &Known = *Ledger.Resumed;
  const bool IsOtherStream = !(Known.Stream == Resumed.Stream);
  if (IsOtherStream || Known.ContinuedAfter == Resumed.ContinuedAfter) {
    Known.IsAmbiguous = Known.IsAmbiguous || Resumed.IsAmbiguous ||
                        IsOtherStream || !(Known.Attempt == Resumed.Attempt);
    if (!Known.Output)
      Known.Output = Resumed.Output;
  } else if (Known.ContinuedAfter < Resumed.ContinuedAfter) {
    // The replica that answered first has missed this attempt.
    Known = Resumed;
  }
}

bool isEarlierOutputKnown(const RelayState &State, const RelayCall &Call) {
  const TurnLedger &Ledger = Call.Ledger;
  return Ledger.Resumed && !Ledger.Resumed->IsAmbiguous &&
         Ledger.Resumed->Output &&
         State.View.hasReadQuorum(Ledger.AnsweredWithOutput);
}

void adoptEarlierOutput(RelayCall &Call) {
  Call.Output = *Call.Ledger.Resumed->Output;
}

void appendOutput(RelayState &State, RelayCall &Call,
                  const StreamEvent &Event) {
  if (Event.HasData)
    Call.Output += Event.Data + '\n';
  if (!isOutputReported(Call))
    return;
  if (Event.Id)
    Call.OutputMarks.push_back(OutputMark{*Event.Id, Call.Output.size()});
  State.UnreportedOutputs.insert(Call.Request);
}

void reportOutputsIfDue(RelayContext &Context) {
  RelayState &State = Context.State;
  if (State.UnreportedOutputs.empty())
    return;
  const RelayOptions &Options = State.Options;
  State.OutputReports.accrue(Options.ImmediateOutputReports, State.Now,
                             Options.OutputReportBurst);
  if (State.OutputReports.take())
    reportOutputs(Context);
}

void reportOutputs(RelayContext &Context) {
  RelayState &State = Context.State;
  if (State.UnreportedOutputs.empty())
    return;
  StreamOutputs Report;
  for (const RequestId Each : State.UnreportedOutputs)
    Report.Rows.push_back(takeUnreported(State, State.Calls.at(Each)));
  State.UnreportedOutputs.clear();
  Context.sendToReplicas(Report);
}

void reportOutput(RelayContext &Context, RelayCall &Call) {
  if (Context.State.UnreportedOutputs.erase(Call.Request) == 0)
    return;
  Context.sendToReplicas(StreamOutputs{{takeUnreported(Context.State, Call)}});
}

void repeatOutputsTo(RelayContext &Context, const HolderId &Holder) {
  StreamOutputs Report;
  for (const auto &[Request, Call] : Context.State.Calls) {
    // The output of a call in the phase Closing has moved to its turn.
    if (isPartlyReported(Call) && Call.Phase != RelayPhase::Closing)
      Report.Rows.push_back(makeRow(Context.State, Call, 0, 0));
  }
  if (!Report.Rows.empty())
    Context.send(Holder, std::move(Report));
}

void reportFailedContinuation(RelayContext &Context, const RelayCall &Call) {
  if (!Call.Ledger.OpenRequest.ResumedAt || Call.HasBegunAnswer)
    return;
  Context.sendToReplicas(
      ContinuationFailed{turnKeyOf(Call), fingerprintOf(turnOf(Call))});
}

} // namespace tanagerlanding
