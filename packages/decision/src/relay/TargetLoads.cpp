#include "TargetLoads.h"

#include "Directory.h"
#include "TargetSpeed.h"
#include "Turns.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// How long a target's statement of how fast it is at the moment is used; it
/// changes several times a second.
constexpr Milliseconds SlowdownLifetime{200};
/// A gathering replica that sends nothing for this long is replaced by the next
/// one: it sends every 200 ms at least.
constexpr Milliseconds GathererTimeout{350};
/// How long a replica that sent nothing is passed over.
constexpr Milliseconds GathererRetryInterval{2000};
/// The same report is received with ages that differ by the delays on the way.
constexpr Milliseconds DelayTolerance{100};

bool hasRecentReport(const RelayState &State, const TargetLoadKnowledge &Load) {
  const Milliseconds Lifetime =
      hasRecentLoadView(State) ? SharedReportLifetime : LoadReportLifetime;
  return Load.ReportedAt && State.Now - *Load.ReportedAt < Lifetime;
}

/// Returns the numbers of own requests sent to a target and ended there until
/// Until.
OwnRequestCounts countsAt(const TargetLoadKnowledge &Load, Instant Until) {
  OwnRequestCounts Found;
  for (const OwnRequestCounts &Each : Load.Recent) {
    if (Until < Each.At)
      break;
    Found = Each;
  }
  return Found;
}

/// Adds the counts as of now, and drops those that are older than any report in
/// use, except for the last of them.
void rememberCounts(const RelayState &State, TargetLoadKnowledge &Load) {
  Load.Own.At = State.Now;
  if (!Load.Recent.empty() && State.Now <= Load.Recent.back().At)
    Load.Recent.back() = Load.Own;
  else
    Load.Recent.push_back(Load.Own);
  while (Load.Recent.size() > 1 &&
         SharedReportLifetime + DelayTolerance <= State.Now - Load.Recent[1].At)
    Load.Recent.pop_front();
}

/// Returns the replica that gathers loads: the first live member in the order
/// of the view that has not failed to answer lately. All relays choose the same
/// one, as long as all reach it.
std::optional<HolderId> gathererOf(const RelayState &State) {
  const std::set<HolderId> Live = liveReplicas(State);
  for (const LedgerMember &Each : State.View.allMembers()) {
    const auto Passed = State.Loads.PassedOverUntil.find(Each.Holder);
    const bool IsPassedOver = Passed != State.Loads.PassedOverUntil.end() &&
                              State.Now < Passed->second;
    if (Live.count(Each.Holder) > 0 && !IsPassedOver)
      return Each.Holder;
  }
  return std::nullopt;
}

std::string viewAge(const RelayState &State) {
  return State.Loads.ViewReceivedAt
             ? RelayContext::millis(State.Now - *State.Loads.ViewReceivedAt)
             : std::string();
}

void chooseGatherer(RelayContext &Context) {
  RelayState &State = Context.State;
  LoadExchange &Loads = State.Loads;
  if (Loads.Gatherer && GathererTimeout <= State.Now - Loads.GathererHeardAt)
    Loads.PassedOverUntil[*Loads.Gatherer] = State.Now + GathererRetryInterval;
  const auto Chosen = gathererOf(State);
  if (Chosen == Loads.Gatherer)
    return;
  Context.log("load_gatherer_changed",
              {{"before", Loads.Gatherer.value_or(HolderId()).Value},
               {"now", Chosen.value_or(HolderId()).Value},
               {"view_age_ms", viewAge(State)}});
  Loads.Gatherer = Chosen;
  Loads.GathererHeardAt = State.Now;
}

/// Returns what is new of one target.
TargetLoadRow takeRow(const RelayState &State, RelayTarget &Target) {
  TargetLoadKnowledge &Load = Target.Load;
  TargetLoadRow Row;
  Row.Run = keyOf(Target.Entry.run());
  if (Load.HasUnsentReport) {
    Row.Report = Load.Report;
    Row.Age = State.Now - *Load.ReportedAt;
  } else {
    Row.Age = State.Now - Load.Own.At;
  }
  Row.Sent = Load.UnsentRequests;
  Row.Slowness = takeSpeedSamples(Target);
  Load.HasUnsentReport = false;
  Load.UnsentRequests = 0;
  return Row;
}

/// Returns the rows of the next message, by turns if not all fit into one.
std::vector<TargetLoadRow> takeRows(RelayState &State) {
  LoadExchange &Loads = State.Loads;
  std::vector<TargetLoadRow> Rows;
  while (!Loads.Unsent.empty() && Rows.size() < MaxLoadRowsPerMessage) {
    auto Next = Loads.Unsent.upper_bound(Loads.LastSent);
    if (Next == Loads.Unsent.end())
      Next = Loads.Unsent.begin();
    Loads.LastSent = *Next;
    const auto Found = State.Targets.find(*Next);
    Loads.Unsent.erase(Next);
    if (Found != State.Targets.end())
      Rows.push_back(takeRow(State, Found->second));
  }
  return Rows;
}

/// Returns the only target with a key; null if there is none, or if there are
/// several, as the key does not say which one is meant.
RelayTarget *findByKey(RelayState &State, TargetRunKey Run) {
  const auto [First, Last] = State.Loads.TargetsByKey.equal_range(Run);
  if (First == Last || std::next(First) != Last)
    return nullptr;
  const auto Found = State.Targets.find(First->second);
  return Found == State.Targets.end() ? nullptr : &Found->second;
}

/// Takes over a report of another relay unless an own or newer one is known.
void adoptReport(const RelayState &State, TargetLoadKnowledge &Load,
                 const TargetLoadRow &Row) {
  const Instant ReportedAt = State.Now - Row.Age;
  const Milliseconds Tolerance =
      Load.IsOwnReport ? Milliseconds(0) : DelayTolerance;
  if (Load.ReportedAt && ReportedAt + Tolerance <= *Load.ReportedAt)
    return;
  Load.Report = *Row.Report;
  Load.ReportedAt = ReportedAt;
  Load.IsOwnReport = false;
  Load.AtReport = countsAt(Load, ReportedAt);
  Load.SentByOthers = Row.Sent;
  // The gathering replica has the newer report already.
  Load.HasUnsentReport = false;
}

/// Takes over how many requests the others have sent since the own report.
void adoptSends(const RelayState &State, TargetLoadKnowledge &Load,
                const TargetLoadRow &Row) {
  if (!Load.IsOwnReport || !Load.ReportedAt)
    return;
  const Milliseconds Delay = State.Now - Row.Age - *Load.ReportedAt;
  // The replica rounds ages up to the next 8 ms.
  if (Milliseconds(-8) <= Delay && Delay < DelayTolerance)
    Load.SentByOthers = Row.Sent;
}

/// Records what an answer states, with an overload for each form.
class StatedLoadRecorder {
public:
  StatedLoadRecorder(RelayContext &Context, RelayTarget &Target)
      : Context(Context), Target(Target) {}

  void operator()(const std::monostate &) {}
  void operator()(const InvalidTargetLoad &Invalid) {
    this->Context.count("relay_load_reports_total", "invalid");
    if (this->Target.Load.IsInvalidLogged)
      return;
    this->Target.Load.IsInvalidLogged = true;
    this->Context.log(
        "target_load_invalid",
        {{"target", this->Target.Entry.Id.Value}, {"value", Invalid.Text}});
  }
  void operator()(const TargetLoad &Report) {
    RelayState &State = this->Context.State;
    TargetLoadKnowledge &Load = this->Target.Load;
    Load.Report = Report;
    Load.ReportedAt = State.Now;
    Load.IsOwnReport = true;
    Load.AtReport = Load.Own;
    Load.SentByOthers = 0;
    Load.HasUnsentReport = true;
    Load.UnsentRequests = 0;
    State.Loads.Unsent.insert(this->Target.Entry.Id);
  }

private:
  RelayContext &Context;
  RelayTarget &Target;
};

} // namespace

std::optional<KnownTargetLoad> knownLoadOf(const RelayState &State,
                                           const RelayTarget &Target) {
  const TargetLoadKnowledge &Load = Target.Load;
  if (!hasRecentReport(State, Load))
    return std::nullopt;
  const double Reported =
      static_cast<double>(Load.Report.Running) + Load.Report.Waiting;
  const auto Sent = static_cast<double>(Load.Own.Sent - Load.AtReport.Sent);
  const auto Ended = static_cast<double>(Load.Own.Ended - Load.AtReport.Ended);
  const double Requests = std::max<double>(
      Target.Outstanding, Reported + Load.SentByOthers + Sent - Ended);
  KnownTargetLoad Known;
  Known.Slots = slotsOf(State, Target);
  Known.Running = std::min(Requests, Known.Slots);
  Known.Waiting = Requests - Known.Running;
  Known.Age = State.Now - *Load.ReportedAt;
  return Known;
}

double externalLoadOf(const RelayState &State, const RelayTarget &Target) {
  const auto Known = knownLoadOf(State, Target);
  return Known ? std::max(0.0, Known->requests() - Target.Outstanding) : 0;
}

double averageExternalLoad(const RelayState &State,
                           const ServiceName &Service) {
  const auto Registered = State.TargetsByService.find(Service);
  if (Registered == State.TargetsByService.end())
    return 0;
  double Sum = 0;
  double Count = 0;
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!hasRecentReport(State, Target.Load))
      continue;
    Sum += externalLoadOf(State, Target);
    ++Count;
  }
  return Count > 0 ? Sum / Count : 0;
}

bool hasLoadReports(const RelayState &State, const ServiceName &Service) {
  const auto Registered = State.TargetsByService.find(Service);
  return Registered != State.TargetsByService.end() &&
         std::any_of(Registered->second.begin(), Registered->second.end(),
                     [&](const TargetId &Id) {
                       return hasRecentReport(State, State.Targets.at(Id).Load);
                     });
}

double loadOf(const RelayState &State, const RelayTarget &Target,
              double AverageExternalLoad) {
  const auto Known = knownLoadOf(State, Target);
  return Known ? Known->requests() : Target.Outstanding + AverageExternalLoad;
}

ServiceLoad loadOfService(const RelayState &State, const ServiceName &Service) {
  ServiceLoad Sum;
  const auto Registered = State.TargetsByService.find(Service);
  if (Registered == State.TargetsByService.end())
    return Sum;
  const double Average = averageExternalLoad(State, Service);
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (isLeaving(State, Target.Entry))
      continue;
    const double Requests = loadOf(State, Target, Average);
    const double Slots = slotsOf(State, Target);
    Sum.Running += std::min(Requests, Slots);
    Sum.Waiting += std::max(0.0, Requests - Slots);
    Sum.Slots += Slots;
    ++Sum.Targets;
    if (hasRecentReport(State, Target.Load))
      ++Sum.KnownTargets;
  }
  return Sum;
}

double slotsOf(const RelayState &State, const RelayTarget &Target) {
  if (Target.Load.Report.Slots)
    return *Target.Load.Report.Slots;
  return Target.Entry.Slots > 0 ? Target.Entry.Slots
                                : State.Options.DefaultSlots;
}

std::size_t countKnownLoads(const RelayState &State) {
  return static_cast<std::size_t>(std::count_if(
      State.Targets.begin(), State.Targets.end(), [&](const auto &Each) {
        return hasRecentReport(State, Each.second.Load);
      }));
}

double currentSlowdownOf(const RelayState &State, const RelayTarget &Target) {
  const TargetLoadKnowledge &Load = Target.Load;
  if (!Load.ReportedAt || SlowdownLifetime <= State.Now - *Load.ReportedAt)
    return 1;
  return Load.Report.Slowdown.value_or(1);
}

bool hasRecentLoadView(const RelayState &State) {
  return State.Loads.ViewReceivedAt &&
         State.Now - *State.Loads.ViewReceivedAt < LoadReportLifetime;
}

void recordStatedLoad(RelayContext &Context, const RelayCall &Call,
                      const TargetAnswerHead &Head) {
  const auto Found = Context.State.Targets.find(Call.Target);
  // The answer is of another target, or of a run that was replaced.
  if (Head.IsMisdirected || Found == Context.State.Targets.end() ||
      !(Found->second.Entry.run() == Call.SentTo.run()))
    return;
  std::visit(StatedLoadRecorder(Context, Found->second), Head.Load);
}

void recordSend(RelayState &State, RelayTarget &Target) {
  ++Target.Load.Own.Sent;
  rememberCounts(State, Target.Load);
  ++Target.Load.UnsentRequests;
  State.Loads.Unsent.insert(Target.Entry.Id);
}

void recordEnd(RelayState &State, RelayTarget &Target) {
  ++Target.Load.Own.Ended;
  rememberCounts(State, Target.Load);
  --Target.Load.UnsentRequests;
  State.Loads.Unsent.insert(Target.Entry.Id);
}

void resetTargetLoad(RelayState &State, RelayTarget &Target, bool IsRemoved) {
  auto &ByKey = State.Loads.TargetsByKey;
  for (auto Each = ByKey.begin(); Each != ByKey.end();)
    Each =
        Each->second == Target.Entry.Id ? ByKey.erase(Each) : std::next(Each);
  Target.Load = TargetLoadKnowledge();
  if (!IsRemoved)
    ByKey.emplace(keyOf(Target.Entry.run()), Target.Entry.Id);
}

void reportTargetLoads(RelayContext &Context) {
  RelayState &State = Context.State;
  LoadExchange &Loads = State.Loads;
  if (!State.Options.IsLoadShared)
    return;
  const Milliseconds Passed = State.Now - Loads.ReportedAt;
  if (Passed < LoadExchangeInterval)
    return;
  chooseGatherer(Context);
  if (!Loads.Gatherer)
    return;
  if (Loads.Unsent.empty() && Passed < MaxLoadMessageInterval)
    return;
  Loads.ReportedAt = State.Now;
  Context.send(*Loads.Gatherer, TargetLoadReport{takeRows(State)});
}

void handleTargetLoadView(RelayContext &Context, const HolderId &Holder,
                          const TargetLoadView &View) {
  RelayState &State = Context.State;
  LoadExchange &Loads = State.Loads;
  if (Loads.Gatherer == Holder)
    Loads.GathererHeardAt = State.Now;
  Loads.ViewReceivedAt = State.Now;
  for (const TargetLoadRow &Row : View.Rows) {
    RelayTarget *Target = findByKey(State, Row.Run);
    if (!Target)
      continue;
    if (Row.Slowness)
      adoptSharedSlowness(Context, *Target, *Row.Slowness);
    if (Row.Report)
      adoptReport(State, Target->Load, Row);
    else
      adoptSends(State, Target->Load, Row);
  }
}

void resetLoadViewTimer(RelayState &State) {
  State.Loads.GathererHeardAt = State.Now;
}

} // namespace tanagerlanding
