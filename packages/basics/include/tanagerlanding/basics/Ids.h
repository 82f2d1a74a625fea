/// \file
/// Strong types for the identifiers of the system.
#ifndef TANAGERLANDING_BASICS_IDS_H
#define TANAGERLANDING_BASICS_IDS_H

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace tanagerlanding {

/// An identifier type that doesn't convert to identifiers of other kinds.
///
/// Tag distinguishes the kind; Rep is the representation, a string or an
/// integer.
template <typename Tag, typename Rep> struct StrongId {
  Rep Value{};

  StrongId() = default;
  explicit StrongId(Rep Value) : Value(std::move(Value)) {}

  bool operator==(const StrongId &Other) const {
    return this->Value == Other.Value;
  }
  bool operator!=(const StrongId &Other) const { return !(*this == Other); }
  bool operator<(const StrongId &Other) const {
    return this->Value < Other.Value;
  }
};

template <typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &Out, const StrongId<Tag, Rep> &Id) {
  return Out << Id.Value;
}

/// A program: a chain of dependent calls that one caller waits for.
using ProgramId = StrongId<struct ProgramTag, std::string>;
/// An agent: a sequence of dependent calls within a program; "main" unless it
/// is a sub-agent.
using AgentId = StrongId<struct AgentTag, std::string>;
/// The customer's team that owns a program.
using TeamId = StrongId<struct TeamTag, std::string>;
/// The caller's idempotency key for one call of a program.
using CallKey = StrongId<struct CallKeyTag, std::string>;
/// A host of the inventory.
using HostId = StrongId<struct HostTag, std::string>;
/// An availability zone.
using ZoneId = StrongId<struct ZoneTag, std::string>;
/// The name by which callers address a model engine or plain service.
using ServiceName = StrongId<struct ServiceTag, std::string>;
/// A run of a process; unique for each start.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// The journal of a data folder; a new one is assigned to an empty folder.
using HolderId = StrongId<struct HolderTag, std::string>;
/// A shard of programs.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/// The ownership epoch of a shard; monotonically increasing.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// A request at one entry process, local to that process.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// A connection between two processes of the deployment, local to one of them.
using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;
/// The version of the accepted configuration; monotonically increasing.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// A revision in the platform's key-value service.
using Revision = StrongId<struct RevisionTag, std::int64_t>;
/// A lease of the key-value service; 0 means no lease.
using LeaseId = StrongId<struct LeaseTag, std::int64_t>;
/// A caller's own identifier of one of its attempts; globally unique and never
/// reused.
using CallerAttemptId = StrongId<struct CallerAttemptTag, std::string>;
/// A turn of a program: the caller's identifier of the attempt that ran it.
using TurnId = CallerAttemptId;
/// A run of a target; unique for each start of the target.
using TargetId = StrongId<struct TargetTag, std::string>;
/// The version of a target's software. Versions have no order; an empty one is
/// unknown.
using SoftwareVersion = StrongId<struct SoftwareVersionTag, std::string>;
/// A route of the configuration.
using RouteName = StrongId<struct RouteTag, std::string>;
/// An attempt at a target, local to the relay that made it.
using RelayAttemptId = StrongId<struct RelayAttemptTag, std::uint64_t>;
/// An operation of the ledger, local to the process that requested it.
using LedgerOperationId = StrongId<struct LedgerOperationTag, std::uint64_t>;
/// The version of the ledger's membership; monotonically increasing.
using ViewVersion = StrongId<struct ViewVersionTag, std::uint64_t>;
/// The keyed hash of a caller's key; comparable only within one process.
using KeyDigest = StrongId<struct KeyDigestTag, std::string>;
/// The hash of a request's content; independent of its sender.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

/// An attempt to run a call at a target. Globally unique and never reused, as
/// the sequence number is unique within the shard's epoch.
struct AttemptId {
  ShardId Shard;
  Epoch OwnerEpoch;
  std::uint64_t Sequence = 0;

  bool operator==(const AttemptId &Other) const {
    return this->Shard == Other.Shard && this->OwnerEpoch == Other.OwnerEpoch &&
           this->Sequence == Other.Sequence;
  }
  bool operator<(const AttemptId &Other) const {
    return std::tie(this->Shard, this->OwnerEpoch, this->Sequence) <
           std::tie(Other.Shard, Other.OwnerEpoch, Other.Sequence);
  }
};

inline std::ostream &operator<<(std::ostream &Out, const AttemptId &Id) {
  return Out << Id.Shard << '.' << Id.OwnerEpoch << '.' << Id.Sequence;
}

} // namespace tanagerlanding

#endif
