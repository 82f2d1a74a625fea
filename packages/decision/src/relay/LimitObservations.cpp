#include "LimitObservations.h"

namespace tanagerlanding {

namespace {

/// Longer than a target lives without an answer to any relay.
constexpr Milliseconds LimitRetention{600000};
/// Bounds the memory for values that were logged as invalid.
constexpr std::size_t MaxReportedInvalidLimits = 1000;

void logChange(RelayContext &Context, const TargetRun &Run, LimitChange Change,
               const LimitObservation &Observed, const std::string &Source) {
  Context.log(
      "target_limit",
      {{"target", Run.Target.Value},
       {"started_at_ms", std::to_string(Run.StartedAtMillis)},
       {"change", toString(Change)},
       {"per_second", RelayContext::rate(Observed.Limit)},
       {"source", Source},
       {"age_ms", RelayContext::millis(Context.now() - Observed.AnsweredAt)}});
  Context.count("relay_target_limits_total", toString(Change));
}

/// Logs an invalid limit once for each run and value.
void reportInvalidLimit(RelayContext &Context, const TargetRun &Run,
                        const InvalidRequestRate &Invalid) {
  Context.count("relay_target_limits_total", "invalid");
  auto &Reported = Context.State.ReportedInvalidLimits;
  if (MaxReportedInvalidLimits <= Reported.size())
    return;
  if (!Reported.insert({Run, Invalid.Text}).second)
    return;
  Context.log("target_limit_invalid",
              {{"target", Run.Target.Value},
               {"started_at_ms", std::to_string(Run.StartedAtMillis)},
               {"value", Invalid.Text},
               {"kept", RelayContext::rate(limitOf(Context.State.Limits, Run))},
               {"expected", "a positive decimal number"}});
}

/// Records one stated limit, with an overload for each form.
class StatedLimitRecorder {
public:
  StatedLimitRecorder(RelayContext &Context, const RelayCall &Call)
      : Context(Context), Call(Call) {}

  void operator()(const std::monostate &) { this->merge(std::nullopt); }
  void operator()(const RequestRate &Limit) { this->merge(Limit); }
  void operator()(const InvalidRequestRate &Invalid) {
    reportInvalidLimit(this->Context, this->Call.SentTo.run(), Invalid);
  }

private:
  void merge(std::optional<RequestRate> Limit) {
    const TargetRun Run = this->Call.SentTo.run();
    const LimitObservation Observed{Limit, this->Call.SentAt,
                                    this->Context.now()};
    const LimitChange Change =
        mergeObservation(this->Context.State.Limits, Run, Observed);
    if (Change == LimitChange::None)
      return;
    logChange(this->Context, Run, Change, Observed, "answer");
    this->Context.sendToReplicas(
        *noticeOf(this->Context.State.Limits, Run, this->Context.now()));
  }

  RelayContext &Context;
  const RelayCall &Call;
};

} // namespace

void recordStatedLimit(RelayContext &Context, const RelayCall &Call,
                       const TargetAnswerHead &Head) {
  // The answer is of another target.
  if (Head.IsMisdirected)
    return;
  std::visit(StatedLimitRecorder(Context, Call), Head.RequestLimit);
}

void handleLimitNotice(RelayContext &Context, const HolderId &Holder,
                       const TargetLimitNotice &Notice) {
  const LimitChange Change =
      mergeNotice(Context.State.Limits, Notice, Context.now());
  if (Change == LimitChange::None)
    return;
  logChange(Context, Notice.Run, Change,
            Context.State.Limits.Observations.at(Notice.Run), Holder.Value);
}

void exchangeLimits(RelayContext &Context, const HolderId &Holder) {
  for (TargetLimitNotice &Each :
       allNotices(Context.State.Limits, Context.now()))
    Context.send(Holder, std::move(Each));
  Context.send(Holder, TargetLimitQuery{});
}

std::optional<RequestRate> limitOf(const RelayState &State,
                                   const RegisteredTarget &Target) {
  return limitOf(State.Limits, Target.run());
}

void expireLimitObservations(RelayState &State) {
  expireLimits(State.Limits, LimitRetention, State.Now);
}

} // namespace tanagerlanding
