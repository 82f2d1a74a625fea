/// \file
/// Evidence that request contents crash their targets, and the decision which
/// contents may run. Entries, relays and ledger replicas share both; they
/// differ in how they notice crashes and how they tell each other.
#ifndef TANAGERLANDING_DECISION_CRASHEVIDENCE_H
#define TANAGERLANDING_DECISION_CRASHEVIDENCE_H

#include "tanagerlanding/basics.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// A run of a target's process. A target may start again under the same id.
struct TargetRun {
  TargetId Target;
  /// Start of the process in milliseconds since the Unix epoch. If it is
  /// unknown, 0 for the first run and lower for each later one.
  std::int64_t StartedAtMillis = 0;

  bool operator==(const TargetRun &Other) const {
    return this->Target == Other.Target &&
           this->StartedAtMillis == Other.StartedAtMillis;
  }
  bool operator<(const TargetRun &Other) const {
    return std::tie(this->Target, this->StartedAtMillis) <
           std::tie(Other.Target, Other.StartedAtMillis);
  }
};

/// How a request was running when its target crashed.
enum class CrashExposure : std::uint8_t {
  /// No other request ran at the target.
  Alone,
  /// Others may have run there too, and it had produced no output.
  BeforeOutput,
  /// Others may have run there too, and it had produced output.
  AfterOutput,
};

const char *toString(CrashExposure Exposure);

/// A crash of a target while a certain content was in flight there.
struct ObservedCrash {
  CrashExposure Exposure = CrashExposure::BeforeOutput;
  Instant At;
};

/// The crashes that a content may have caused.
struct ContentEvidence {
  std::map<TargetRun, ObservedCrash> Crashes;
  /// When the content last ran to completion, which voids all crashes until
  /// then.
  std::optional<Instant> ClearedAt;
  /// When the content was first found to be quarantined. Its crashes then say
  /// nothing about the contents beside it.
  std::optional<Instant> ConvictedAt;
};

/// The evidence on one content in a form that other processes can use: ages
/// instead of times.
struct SuspectNotice {
  struct Crash {
    TargetRun Run;
    CrashExposure Exposure = CrashExposure::BeforeOutput;
    Milliseconds Age{0};
  };
  Fingerprint Content;
  /// Crashes that count against the content. Senders without evidence of their
  /// own set only this; 0 then means that the content is cleared.
  std::uint32_t CrashCount = 0;
  std::vector<Crash> Crashes;
  std::optional<Milliseconds> ClearedAge;
};

/// All evidence of a replica, as it is stored in its data folder.
struct SuspectList {
  /// Wall-clock time of the write, in milliseconds since the Unix epoch.
  std::int64_t WrittenAtMillis = 0;
  std::vector<SuspectNotice> Notices;
};

/// For targets that can run a suspect content alone: the first crash makes a
/// content suspect, and each further one counts only if it ran alone.
struct IsolatedRunPolicy {
  std::uint32_t RequiredCrashes = 2;
};

/// For targets where other requests always run beside a suspect one. Crashes
/// that a convicted content explains do not count against others.
struct SharedRunPolicy {
  /// Crashes without output after which a content is quarantined, unless there
  /// is another explanation: a content that was in flight in all but one of
  /// them, or targets that crash without the content.
  std::uint32_t RequiredCrashes = 4;
  /// Crashes after which a content is quarantined in any case.
  std::uint32_t MaxCrashes = 5;
  /// How far back other crashes are taken into account.
  Milliseconds OtherCrashWindow{30000};
  /// Crashes within this time may have one event as their cause, such as a rack
  /// that fails, and with it all copies of a popular content.
  Milliseconds MaxEventDuration{100};
};

using QuarantinePolicy = std::variant<IsolatedRunPolicy, SharedRunPolicy>;

/// Number of contents that relays and replicas keep. Replicas write all of them
/// at each change.
constexpr std::size_t SharedContentLimit = 1000;

/// Whether, and how, a request content may be run.
enum class ContentStatus : std::uint8_t { Trusted, Suspect, Quarantined };

const char *toString(ContentStatus Status);

/// The evidence that one process has.
struct QuarantineTable {
  QuarantineTable(QuarantinePolicy Policy, std::size_t ContentLimit)
      : Policy(Policy), ContentLimit(ContentLimit) {}

  QuarantinePolicy Policy;
  /// How long evidence is kept and a content stays quarantined after its last
  /// crash.
  Milliseconds Retention{3600000};
  /// Number of contents above which those with the fewest crashes are dropped.
  std::size_t ContentLimit;
  std::map<Fingerprint, ContentEvidence> Contents;
  /// Runs that were taken for crashed and turned out to be alive.
  std::set<TargetRun> RefutedRuns;
  /// All crashes within the retention, also those that count against no content
  /// any more.
  std::map<TargetRun, Instant> AllCrashes;
};

/// Returns the fingerprint of a request's content, made of the parts that are
/// the same each time the content is sent.
Fingerprint fingerprintOfContent(std::initializer_list<std::string_view> Parts);

/// Returns the number of crashes that count against a content.
std::uint32_t crashCountOf(const QuarantineTable &Table, Fingerprint Content);

/// Returns whether a content may run. Only a suspect content has a crash that
/// counts.
ContentStatus statusOf(const QuarantineTable &Table, Fingerprint Content);

/// Returns how long a quarantined content stays so if no crash follows.
Milliseconds quarantineTimeLeft(const QuarantineTable &Table,
                                Fingerprint Content, Instant Now);

/// Records that a content was in flight when a run of a target crashed. Returns
/// whether the crash is new and not voided.
bool recordCrash(QuarantineTable &Table, Fingerprint Content,
                 const TargetRun &Run, const ObservedCrash &Crash);

/// Voids all crashes of a content that ran to completion. Returns whether there
/// were any.
bool clearContent(QuarantineTable &Table, Fingerprint Content, Instant Now);

SuspectNotice noticeOf(const QuarantineTable &Table, Fingerprint Content,
                       Instant Now);
/// Returns the notices of all contents.
std::vector<SuspectNotice> allNotices(const QuarantineTable &Table,
                                      Instant Now);

/// Adds evidence from another process. Returns whether it changed anything.
bool mergeNotice(QuarantineTable &Table, const SuspectNotice &Notice,
                 Instant Now);

/// Drops evidence older than the retention, and contents beyond the limit:
/// those with the fewest crashes first, of these the oldest.
void expireEvidence(QuarantineTable &Table, Instant Now);

} // namespace tanagerlanding

#endif
