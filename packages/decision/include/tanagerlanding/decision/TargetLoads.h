/// \file
/// The load of targets as relays learn it from answers, and the messages by
/// which relays share it through a ledger replica.
#ifndef TANAGERLANDING_DECISION_TARGETLOADS_H
#define TANAGERLANDING_DECISION_TARGETLOADS_H

#include "tanagerlanding/decision/CrashEvidence.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// How long a load report of a target is used without a view of what other
/// relays do. Requests last some hundred milliseconds, so older reports do not
/// reflect the current load.
constexpr Milliseconds LoadReportLifetime{500};
/// How long it is used with such a view, which tells what has changed since. A
/// target that turns slow answers, and so reports, nothing for a while.
constexpr Milliseconds SharedReportLifetime{2000};
/// How often relays and the gathering replica send what is new.
constexpr Milliseconds LoadExchangeInterval{100};
/// How often they send at least. A receiver takes a missing message as a sign
/// that the sender is lost.
constexpr Milliseconds MaxLoadMessageInterval{200};
/// Rows of one message, so that it takes at most 400 bytes: a row takes 12
/// bytes, and the frame and the tables around them up to 52.
constexpr std::size_t MaxLoadRowsPerMessage = 29;

/// The load that a target states in an answer.
struct TargetLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Absent if the target does not state it.
  std::optional<std::uint32_t> Slots;
  /// How long work takes at the target at the moment, as a multiple of what is
  /// usual there. Absent if the target does not state it.
  std::optional<double> Slowdown;

  bool operator==(const TargetLoad &Other) const {
    return this->Running == Other.Running && this->Waiting == Other.Waiting &&
           this->Slots == Other.Slots && this->Slowdown == Other.Slowdown;
  }
};

/// A load in an answer that can't be parsed, as the target sent it.
struct InvalidTargetLoad {
  std::string Text;
};

/// What an answer states about the load of its target.
using StatedTargetLoad =
    std::variant<std::monostate, TargetLoad, InvalidTargetLoad>;

/// Identifies a run of a target in messages about its load: a hash, as the full
/// id would not leave room for enough rows.
struct TargetRunKey {
  std::uint32_t Value = 0;

  bool operator==(TargetRunKey Other) const {
    return this->Value == Other.Value;
  }
  bool operator<(TargetRunKey Other) const { return this->Value < Other.Value; }
};

TargetRunKey keyOf(const TargetRun &Run);

/// What a message says about one run of a target.
struct TargetLoadRow {
  TargetRunKey Run;
  /// The newest report. Absent if the sender has no newer one or, in a
  /// TargetLoadView, if the newest one is the receiver's own.
  std::optional<TargetLoad> Report;
  /// The age of the newest report; in a TargetLoadReport without a report, the
  /// age of the last change.
  Milliseconds Age{0};
  /// Requests sent to the run less those ended there, after the report or, in a
  /// TargetLoadReport without one, since the last message: those of the sender
  /// in a TargetLoadReport, those of all other relays in a TargetLoadView.
  std::int32_t Sent = 0;
  /// How long work takes at the run apart from its load, as a multiple of what
  /// it takes at its service. Absent if unknown.
  std::optional<double> Slowness;
};

/// Tells the gathering replica what a relay has learned of targets since its
/// last message, and that it wants TargetLoadView messages.
struct TargetLoadReport {
  std::vector<TargetLoadRow> Rows;
};

/// Tells a relay what has changed of the load of targets.
struct TargetLoadView {
  std::vector<TargetLoadRow> Rows;
};

} // namespace tanagerlanding

#endif
