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

/// Crashes without output that a content must share with the judged one to be
/// considered as their cause.
constexpr std::size_t SharedCrashes = 2;

CountedCrashes crashesBeforeOutput(const CountedCrashes &Crashes) {
  CountedCrashes Early;
  for (const auto &[Run, Crash] : Crashes) {
    if (Crash.Exposure != CrashExposure::AfterOutput)
      Early.emplace(Run, Crash);
  }
  return Early;
}

/// The crashes of the contents other than the judged one.
class OtherContents {
public:
  OtherContents(const QuarantineTable &Table, Fingerprint Judged) {
    for (const auto &[Content, Evidence] : Table.Contents) {
      if (Content == Judged || Evidence.Crashes.size() < SharedCrashes)
        continue;
      CountedCrashes Early =
          crashesBeforeOutput(countedCrashes(Table, Evidence));
      if (Evidence.ConvictedAt)
        this->Convicted.push_back(std::move(Early));
      else if (SharedCrashes <= Early.size())
        this->Repeated.push_back(std::move(Early));
    }
  }

  /// Returns whether a convicted content was in flight in a crash.
  bool explain(const TargetRun &Run) const {
    return std::any_of(
        this->Convicted.begin(), this->Convicted.end(),
        [&Run](const CountedCrashes &Each) { return Each.count(Run) > 0; });
  }

  /// Returns whether one content was in flight in all but one of these crashes,
  /// so that it may be the cause: the judged content may have lost one more
  /// target by chance.
  bool haveCompanionIn(const CountedCrashes &Crashes) const {
    return std::any_of(
        this->Repeated.begin(), this->Repeated.end(),
        [&](const CountedCrashes &Each) {
          const auto Shared = static_cast<std::size_t>(std::count_if(
              Crashes.begin(), Crashes.end(), [&Each](const auto &Crash) {
                return Each.count(Crash.first) > 0;
              }));
          return SharedCrashes <= Shared && Crashes.size() <= Shared + 1;
        });
  }

private:
  std::vector<CountedCrashes> Convicted;
  std::vector<CountedCrashes> Repeated;
};

/// Returns whether crashes are too far apart to have one event as their cause.
bool haveSeveralEvents(const CountedCrashes &Crashes,
                       Milliseconds MaxDuration) {
  const auto IsEarlier = [](const auto &Left, const auto &Right) {
    return Left.second.At < Right.second.At;
  };
  const auto [First, Last] =
      std::minmax_element(Crashes.begin(), Crashes.end(), IsEarlier);
  return First != Crashes.end() &&
         MaxDuration <= Last->second.At - First->second.At;
}

/// Decides whether a content with the given crashes is quarantined, one
/// overload for each policy.
class QuarantineDecision {
public:
  QuarantineDecision(const QuarantineTable &Table, Fingerprint Content,
                     const CountedCrashes &Crashes)
      : Table(Table), Content(Content), Crashes(Crashes) {}

  bool operator()(const IsolatedRunPolicy &Policy) const {
    const auto Alone = static_cast<std::uint32_t>(std::count_if(
        this->Crashes.begin(), this->Crashes.end(), [](const auto &Each) {
          return Each.second.Exposure == CrashExposure::Alone;
        }));
    const bool HasOther = Alone < this->Crashes.size();
    return Policy.RequiredCrashes <= Alone + (HasOther ? 1 : 0);
  }

  bool operator()(const SharedRunPolicy &Policy) const {
    if (this->Crashes.size() < Policy.RequiredCrashes)
      return false;
    const OtherContents Others(this->Table, this->Content);
    const CountedCrashes Own = this->unexplained(Others);
    if (!haveSeveralEvents(Own, Policy.MaxEventDuration))
      return false;
    if (Policy.MaxCrashes <= Own.size())
      return true;
    const CountedCrashes Early = crashesBeforeOutput(Own);
    return Policy.RequiredCrashes <= Early.size() &&
           haveSeveralEvents(Early, Policy.MaxEventDuration) &&
           !Others.haveCompanionIn(Early) &&
           this->isInMostCrashes(Own, Others, Policy.OtherCrashWindow);
  }

private:
  /// Returns the crashes that no convicted content explains.
  CountedCrashes unexplained(const OtherContents &Others) const {
    CountedCrashes Own;
    for (const auto &[Run, Crash] : this->Crashes) {
      if (!Others.explain(Run))
        Own.emplace(Run, Crash);
    }
    return Own;
  }

  /// Returns whether a content was in flight in more than two thirds of the
  /// crashes within the window before its last one. Crashes that a convicted
  /// content explains are left out.
  bool isInMostCrashes(const CountedCrashes &Own, const OtherContents &Others,
                       Milliseconds Window) const {
    const Instant Last = *lastCrashOf(Own);
    const auto Unrelated =
        std::count_if(this->Table.AllCrashes.begin(),
                      this->Table.AllCrashes.end(), [&](const auto &Each) {
                        return this->Crashes.count(Each.first) == 0 &&
                               this->Table.RefutedRuns.count(Each.first) == 0 &&
                               Each.second <= Last &&
                               Last - Each.second < Window &&
                               !Others.explain(Each.first);
                      });
    return 2 * static_cast<std::size_t>(Unrelated) < Own.size();
  }

  const QuarantineTable &Table;
  const Fingerprint Content;
  const CountedCrashes &Crashes;
};

/// Returns whether there are as many crashes as a conviction needs at least.
bool hasRequiredCrashes(const QuarantinePolicy &Policy,
                        const CountedCrashes &Crashes) {
  return std::visit(
      [&Crashes](const auto &Each) {
        return Each.RequiredCrashes <= Crashes.size();
      },
      Policy);
}

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
  const bool IsConvicted = Table.Contents.at(Content).ConvictedAt &&
                           hasRequiredCrashes(Table.Policy, Crashes);
  return IsConvicted || std::visit(QuarantineDecision(Table, Content, Crashes),
                                   Table.Policy)
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
  if (!Evidence.Crashes.emplace(Run, Crash).second)
    return false;
  if (!Evidence.ConvictedAt &&
      statusOf(Table, Content) == ContentStatus::Quarantined)
    Evidence.ConvictedAt = Crash.At;
  return true;
}

bool clearContent(QuarantineTable &Table, Fingerprint Content, Instant Now) {
  const auto Found = Table.Contents.find(Content);
  if (Found == Table.Contents.end() || Found->second.Crashes.empty())
    return false;
  Found->second.ClearedAt = Now;
  Found->second.ConvictedAt.reset();
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
  // Who receives them convicts the same contents if they come in the order in
  // which these were convicted.
  std::vector<std::pair<Instant, Fingerprint>> Order;
  for (const auto &[Content, Evidence] : Table.Contents)
    Order.emplace_back(Evidence.ConvictedAt.value_or(Now), Content);
  std::sort(Order.begin(), Order.end());
  std::vector<SuspectNotice> Notices;
  for (const auto &[ConvictedAt, Content] : Order)
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
    if (Evidence.Crashes.empty())
      Evidence.ConvictedAt.reset();
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
