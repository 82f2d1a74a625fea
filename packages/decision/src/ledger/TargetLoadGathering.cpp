#include "TargetLoadGathering.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// A relay that has sent no report for this long gets no views: it is lost or
/// reports to another replica. Relays send every 200 ms at least.
constexpr Milliseconds ReportTimeout{1000};
/// How long a row without news is kept.
constexpr Milliseconds RowRetention{2000};
/// Weight of a relay's samples of a tenth of a second in the moving average of
/// a run. All relays together have some of them a second.
constexpr double SlownessWeight = 0.1;
/// How long relays are told a slowness without new samples. They then fall back
/// to their own samples and, in the end, to the average.
constexpr Milliseconds SlownessRetention{1000};
/// Bounds the memory if relays send rows of unknown targets.
constexpr std::size_t MaxRows = 20000;

void dropSendsBefore(GatheredLoad &Row, Instant Start) {
  while (!Row.Sends.empty() && Row.Sends.front().At <= Start)
    Row.Sends.pop_front();
}

/// Returns the row of a run; null if there are too many.
GatheredLoad *rowOf(LoadGathering &Loads, TargetRunKey Run) {
  const auto Found = Loads.Rows.find(Run);
  if (Found != Loads.Rows.end())
    return &Found->second;
  return Loads.Rows.size() < MaxRows ? &Loads.Rows[Run] : nullptr;
}

void addSends(GatheredLoad &Row, const HostId &Peer, Instant At,
              std::int32_t Count) {
  const auto Position = std::upper_bound(
      Row.Sends.begin(), Row.Sends.end(), At,
      [](Instant Left, const ReportedSends &Right) { return Left < Right.At; });
  Row.Sends.insert(Position, ReportedSends{Peer, At, Count});
}

void mergeSlowness(GatheredLoad &Row, double Sample, Instant Now) {
  const double Former = Row.Slowness.value_or(1);
  Row.Slowness = Former + SlownessWeight * (Sample - Former);
  Row.SlownessAt = Now;
}

void mergeRow(LedgerContext &Context, const HostId &Peer,
              const TargetLoadRow &New) {
  LedgerState &State = Context.State;
  GatheredLoad *Row = rowOf(State.Loads, New.Run);
  if (!Row)
    return;
  const Instant At = State.Now - New.Age;
  if (New.Report && (!Row->ReportedAt || *Row->ReportedAt < At)) {
    Row->Report = *New.Report;
    Row->ReportedAt = At;
    Row->Reporter = Peer;
    dropSendsBefore(*Row, At);
  }
  // The requests were sent between the report of the same message, if there is
  // one, and now.
  const Instant SentAt = New.Report ? At + New.Age / 2 : At;
  if (New.Sent != 0 && (!Row->ReportedAt || *Row->ReportedAt < SentAt))
    addSends(*Row, Peer, SentAt, New.Sent);
  if (New.Slowness)
    mergeSlowness(*Row, *New.Slowness, State.Now);
  Row->UpdatedAt = State.Now;
  Row->Change = ++State.Loads.Changes;
}

void dropOldRows(LedgerState &State) {
  auto &Rows = State.Loads.Rows;
  for (auto Each = Rows.begin(); Each != Rows.end();) {
    dropSendsBefore(Each->second, State.Now - SharedReportLifetime);
    const bool IsOld = RowRetention <= State.Now - Each->second.UpdatedAt;
    Each = IsOld ? Rows.erase(Each) : std::next(Each);
  }
}

/// A row in the order in which rows are sent. There is one list for all relays,
/// as each message may have to pass over most of the rows.
struct ListedRow {
  TargetRunKey Run;
  std::uint64_t Change = 0;
  const GatheredLoad *Row = nullptr;
};

std::vector<ListedRow> listRows(const LoadGathering &Loads) {
  std::vector<ListedRow> Listed;
  Listed.reserve(Loads.Rows.size());
  for (const auto &[Run, Row] : Loads.Rows)
    Listed.push_back(ListedRow{Run, Row.Change, &Row});
  return Listed;
}

/// Returns a row as one relay needs it; absent if there is nothing that the
/// relay could use.
std::optional<TargetLoadRow>
rowFor(const LedgerState &State, const HostId &Relay, const ListedRow &Listed) {
  const GatheredLoad &Row = *Listed.Row;
  if (!Row.ReportedAt || SharedReportLifetime <= State.Now - *Row.ReportedAt)
    return std::nullopt;
  TargetLoadRow Sent;
  Sent.Run = Listed.Run;
  Sent.Age = State.Now - *Row.ReportedAt;
  if (!(Row.Reporter == Relay))
    Sent.Report = Row.Report;
  if (State.Now - Row.SlownessAt < SlownessRetention)
    Sent.Slowness = Row.Slowness;
  for (const ReportedSends &Each : Row.Sends)
    Sent.Sent += Each.Relay == Relay ? 0 : Each.Count;
  return Sent;
}

/// Returns the rows that have changed since they were last sent to a relay, at
/// most as many as fit into a message. The next message goes on from there, so
/// that the rows that were sent longest ago come first.
std::vector<TargetLoadRow> takeRowsFor(const LedgerState &State,
                                       const std::vector<ListedRow> &Listed,
                                       const HostId &Relay,
                                       LoadSubscriber &Subscriber) {
  std::vector<TargetLoadRow> Rows;
  auto Next =
      std::upper_bound(Listed.begin(), Listed.end(), Subscriber.LastSent,
                       [](TargetRunKey Left, const ListedRow &Right) {
                         return Left < Right.Run;
                       });
  for (std::size_t Passed = 0;
       Passed < Listed.size() && Rows.size() < MaxLoadRowsPerMessage;
       ++Passed, ++Next) {
    if (Next == Listed.end()) {
      Next = Listed.begin();
      Subscriber.SentChanges = Subscriber.RoundChanges;
      Subscriber.RoundChanges = State.Loads.Changes;
    }
    if (State.Loads.Changes <= Subscriber.SentChanges)
      break;
    Subscriber.LastSent = Next->Run;
    if (Next->Change <= Subscriber.SentChanges)
      continue;
    if (auto Each = rowFor(State, Relay, *Next))
      Rows.push_back(std::move(*Each));
  }
  return Rows;
}

} // namespace

void handleTargetLoadReport(LedgerContext &Context, const HostId &Peer,
                            const TargetLoadReport &Report) {
  const auto [Found, IsNew] =
      Context.State.Loads.Relays.emplace(Peer, LoadSubscriber());
  // Relays begin at different rows, so that they do not all learn of the same
  // targets first and send their requests there.
  if (IsNew)
    Found->second.LastSent =
        TargetRunKey{static_cast<std::uint32_t>(hashBytes(Peer.Value))};
  Found->second.ReportedAt = Context.State.Now;
  for (const TargetLoadRow &Each : Report.Rows)
    mergeRow(Context, Peer, Each);
}

void sendTargetLoadViews(LedgerContext &Context) {
  LedgerState &State = Context.State;
  dropOldRows(State);
  const std::vector<ListedRow> Listed = listRows(State.Loads);
  auto &Relays = State.Loads.Relays;
  for (auto Each = Relays.begin(); Each != Relays.end();) {
    LoadSubscriber &Subscriber = Each->second;
    if (ReportTimeout <= State.Now - Subscriber.ReportedAt) {
      Each = Relays.erase(Each);
      continue;
    }
    std::vector<TargetLoadRow> Rows =
        takeRowsFor(State, Listed, Each->first, Subscriber);
    if (!Rows.empty() ||
        MaxLoadMessageInterval <= State.Now - Subscriber.SentAt) {
      Subscriber.SentAt = State.Now;
      Context.send(Each->first, TargetLoadView{std::move(Rows)});
    }
    ++Each;
  }
}

} // namespace tanagerlanding
