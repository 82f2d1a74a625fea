#include "tanagerlanding/decision/CrashEvidence.h"

#include <algorithm>
#include <string>

namespace tanagerlanding {

namespace {

/// The crashes that count against a content.
using CountedCrashes = std::map<TargetRun, ObservedCrash>;

CountedCrashes countedCrashes(const QuarantineTable &Table,
                              const ContentEvidence &Evidence) {
  CountedCrashes Counted;
  for (const auto &[Run, Crash] : Evidence.Crashes) {
    if (Table.RefutedRuns.count(Run) == 0)
      Counted.emplace(Run, Crash);
  }
  return Counted;
}

CountedCrashes countedCrashes(const QuarantineTable &Table,
                              Fingerprint Content) {
  const auto Found = Table.Contents.find(Content);
  return Found == Table.Contents.end() ? CountedCrashes()
                                       : countedCrashes(Table, Found->second);
}

/// Returns the time of the last crash; nothing if there are none.
std::optional<Instant> lastCrashOf(const CountedCrashes &Crashes) {
  std::optional<Instant> Last;
  for (const auto &[Run, Crash] : Crashes)
    Last = std::max(Last, std::optional<Instant>(Crash.At));
  return Last;
}

/// Returns whether another content was in flight in all but one of these
/// crashes, so that it may be the cause: the content may have lost one more
/// target by chance.
bool hasCompanion(const QuarantineTable &Table, Fingerprint Content,
                  const CountedCrashes &Crashes) {
  for (const auto &[Other, Evidence] : Table.Contents) {
    if (Other == Content)
      continue;
    const auto Shared =
        std::count_if(Crashes.begin(), Crashes.end(),
                      [&Evidence = Evidence](const auto &Each) {
                        return Evidence.Crashes.count(Each.first) > 0;
                      });
    if (Crashes.size() <= static_cast<std::size_t>(Shared) + 1)
      return true;
  }
  return false;
}

/// Returns whether a content was in flight in more than two thirds of the
/// crashes within the window before its last one.
bool isInMostCrashes(const QuarantineTable &Table,
                     const CountedCrashes &Crashes, Milliseconds Window) {
  const Instant Last = *lastCrashOf(Crashes);
  const auto Others = std::count_if(
      Table.AllCrashes.begin(), Table.AllCrashes.end(), [&](const auto &Each) {
        return Crashes.count(Each.first) == 0 &&
               Table.RefutedRuns.count(Each.first) == 0 &&
               Each.second <= Last && Last - Each.second < Window;
      });
  return 2 * static_cast<std::size_t>(Others) < Crashes.size();
}

/// Decides whether a content with the given crashes is quarantined, one
/// overload for each policy.
class QuarantineDecision {
public:
  QuarantineDecision(const QuarantineTable &Table, Fingerprint Content,
                     const CountedCrashes &Crashes)
      : Table(Table), Content(Content), Crashes(Crashes) {}

  bool operator()(const IsolatedRunPolicy &Policy) const {
    const std::uint32_t Alone = this->count(
        [](CrashExposure Each) { return Each == CrashExposure::Alone; });
    const bool HasOther = Alone < this->Crashes.size();
    return Policy.RequiredCrashes <= Alone + (HasOther ? 1 : 0);
  }

  bool operator()(const SharedRunPolicy &Policy) const {
    if (Policy.MaxCrashes <= this->Crashes.size())
      return true;
    const std::uint32_t WithoutOutput = this->count(
        [](CrashExposure Each) { return Each != CrashExposure::AfterOutput; });
    return Policy.RequiredCrashes <= WithoutOutput &&
           !hasCompanion(this->Table, this->Content, this->Crashes) &&
           isInMostCrashes(this->Table, this->Crashes, Policy.OtherCrashWindow);
  }

private:
  template <typename Predicate> std::uint32_t count(Predicate IsCounted) const {
    return static_cast<std::uint32_t>(std::count_if(
        this->Crashes.begin(), this->Crashes.end(),
        [&](const auto &Each) { return IsCounted(Each.second.Exposure); }));
  }

  const QuarantineTable &Table;
  const Fingerprint Content;
  const CountedCrashes &Crashes;
};

/// Returns the time of the newest evidence on a content, which must have some.
Instant newestOf(const ContentEvidence &Evidence) {
  return *std::max(Evidence.ClearedAt, lastCrashOf(Evidence.Crashes));
}

/// Drops the crashes of a content that a later complete run voids. Returns
/// whether there were any.
bool dropVoidCrashes(ContentEvidence &Evidence) {
  const std::size_t Before = Evidence.Crashes.size();
  for (auto Each = Evidence.Crashes.begin(); Each != Evidence.Crashes.end();)
    Each = Each->second.At <= *Evidence.ClearedAt ? Evidence.Crashes.erase(Each)
                                                  : std::next(Each);
  return Evidence.Crashes.size() < Before;
}

/// Returns the crashes of a notice. For one that only counts them, each is
/// represented by a made-up run, so that merging keeps the larger count.
std::vector<SuspectNotice::Crash> crashesOf(const SuspectNotice &Notice) {
  if (!Notice.Crashes.empty())
    return Notice.Crashes;
  std::vector<SuspectNotice::Crash> Counted;
  for (std::uint32_t Number = 1; Number <= Notice.CrashCount; ++Number)
    Counted.push_back(
        {TargetRun{TargetId(), Number}, CrashExposure::Alone, Milliseconds(0)});
  return Counted;
}

void dropContentsAboveLimit(QuarantineTable &Table) {
  if (Table.Contents.size() <= Table.ContentLimit)
    return;
  std::vector<std::tuple<std::size_t, Instant, Fingerprint>> Order;
  for (const auto &[Content, Evidence] : Table.Contents)
    Order.emplace_back(Evidence.Crashes.size(), newestOf(Evidence), Content);
  std::sort(Order.begin(), Order.end());
  Order.resize(Table.Contents.size() - Table.ContentLimit);
  for (const auto &[Crashes, Newest, Content] : Order)
    Table.Contents.erase(Content);
}

/// Drops crashes that are too old, and the oldest ones beyond the limit.
void dropOldCrashes(QuarantineTable &Table, Instant Now) {
  auto &Crashes = Table.AllCrashes;
  for (auto Each = Crashes.begin(); Each != Crashes.end();)
    Each = Table.Retention <= Now - Each->second ? Crashes.erase(Each)
                                                 : std::next(Each);
  while (Table.ContentLimit < Crashes.size())
    Crashes.erase(std::min_element(Crashes.begin(), Crashes.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second < Right.second;
                                   }));
}

/// Drops refuted runs whose crash has been dropped.
void dropUnusedRefutations(QuarantineTable &Table) {
  auto &Refuted = Table.RefutedRuns;
  for (auto Each = Refuted.begin(); Each != Refuted.end();)
    Each = Table.AllCrashes.count(*Each) > 0 ? std::next(Each)
                                             : Refuted.erase(Each);
}

} // namespace

const char *toString(CrashExposure Exposure) {
  switch (Exposure) {
  case CrashExposure::Alone:
    return "alone";
  case CrashExposure::BeforeOutput:
    return "before_output";
  case CrashExposure::AfterOutput:
    return "after_output";
  }
  return "unknown";
}

const char *toString(ContentStatus Status) {
  switch (Status) {
  case ContentStatus::Trusted:
    return "trusted";
  case ContentStatus::Suspect:
    return "suspect";
  case ContentStatus::Quarantined:
    return "quarantined";
  }
  return "unknown";
}

Fingerprint
fingerprintOfContent(std::initializer_list<std::string_view> Parts) {
  std::string Content;
  for (const std::string_view Part : Parts) {
    if (!Content.empty())
      Content += '\n';
    Content += Part;
  }
  return Fingerprint(hashBytes(Content));
}

std::uint32_t crashCountOf(const QuarantineTable &Table, Fingerprint Content) {
  return static_cast<std::uint32_t>(countedCrashes(Table, Content).size());
}

ContentStatus statusOf(const QuarantineTable &Table, Fingerprint Content) {
  const CountedCrashes Crashes = countedCrashes(Table, Content);
  if (Crashes.empty())
    return ContentStatus::Trusted;
  return std::visit(QuarantineDecision(Table, Content, Crashes), Table.Policy)
             ? ContentStatus::Quarantined
             : ContentStatus::Suspect;
}

Milliseconds quarantineTimeLeft(const QuarantineTable &Table,
                                Fingerprint Content, Instant Now) {
  const auto Last = lastCrashOf(countedCrashes(Table, Content));
  return Last ? std::max(Milliseconds(0), *Last + Table.Retention - Now)
              : Milliseconds(0);
}

bool recordCrash(QuarantineTable &Table, Fingerprint Content,
                 const TargetRun &Run, const ObservedCrash &Crash) {
  Table.AllCrashes.emplace(Run, Crash.At);
  ContentEvidence &Evidence = Table.Contents[Content];
  if (Evidence.ClearedAt && Crash.At <= *Evidence.ClearedAt)
    return false;
  return Evidence.Crashes.emplace(Run, Crash).second;
}

bool clearContent(QuarantineTable &Table, Fingerprint Content, Instant Now) {
  const auto Found = Table.Contents.find(Content);
  if (Found == Table.Contents.end() || Found->second.Crashes.empty())
    return false;
  Found->second.ClearedAt = Now;
  return dropVoidCrashes(Found->second);
}

SuspectNotice noticeOf(const QuarantineTable &Table, Fingerprint Content,
                       Instant Now) {
  SuspectNotice Notice;
  Notice.Content = Content;
  const auto Found = Table.Contents.find(Content);
  if (Found == Table.Contents.end())
    return Notice;
  Notice.CrashCount = crashCountOf(Table, Content);
  for (const auto &[Run, Crash] : Found->second.Crashes)
    Notice.Crashes.push_back({Run, Crash.Exposure, Now - Crash.At});
  if (Found->second.ClearedAt)
    Notice.ClearedAge = Now - *Found->second.ClearedAt;
  return Notice;
}

std::vector<SuspectNotice> allNotices(const QuarantineTable &Table,
                                      Instant Now) {
  std::vector<SuspectNotice> Notices;
  for (const auto &[Content, Evidence] : Table.Contents)
    Notices.push_back(noticeOf(Table, Content, Now));
  return Notices;
}

bool mergeNotice(QuarantineTable &Table, const SuspectNotice &Notice,
                 Instant Now) {
  const std::vector<SuspectNotice::Crash> Crashes = crashesOf(Notice);
  const bool IsCleared = Notice.ClearedAge || Crashes.empty();
  ContentEvidence &Evidence = Table.Contents[Notice.Content];
  bool HasChanged = false;
  if (IsCleared) {
    const Instant ClearedAt = Now - Notice.ClearedAge.value_or(Milliseconds(0));
    HasChanged = !Evidence.ClearedAt;
    Evidence.ClearedAt =
        std::max(ClearedAt, Evidence.ClearedAt.value_or(ClearedAt));
    HasChanged = dropVoidCrashes(Evidence) || HasChanged;
  }
  for (const SuspectNotice::Crash &Each : Crashes)
    HasChanged = recordCrash(Table, Notice.Content, Each.Run,
                             {Each.Exposure, Now - Each.Age}) ||
                 HasChanged;
  return HasChanged;
}

void expireEvidence(QuarantineTable &Table, Instant Now) {
  for (auto Each = Table.Contents.begin(); Each != Table.Contents.end();) {
    const bool IsOld = Table.Retention <= Now - newestOf(Each->second);
    Each = IsOld ? Table.Contents.erase(Each) : std::next(Each);
  }
  dropContentsAboveLimit(Table);
  dropOldCrashes(Table, Now);
  dropUnusedRefutations(Table);
}

} // namespace tanagerlanding
