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

/// An identifier that can't be mixed up with one of another kind.
///
/// Tag names the kind; Rep is the representation, a string or an integer.
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
/// One line of dependent calls within a program; "main" unless a sub-agent.
using AgentId = StrongId<struct AgentTag, std::string>;
/// The customer's team that owns a program.
using TeamId = StrongId<struct TeamTag, std::string>;
/// The caller's idempotency key for one call of a program.
using CallKey = StrongId<struct CallKeyTag, std::string>;
/// A host of the inventory.
using HostId = StrongId<struct HostTag, std::string>;
/// An availability zone.
using ZoneId = StrongId<struct ZoneTag, std::string>;
/// A model engine or plain service, by the name callers use.
using ServiceName = StrongId<struct ServiceTag, std::string>;
/// One run of one process, new at each start.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// One data folder's journal, new when the folder was empty.
using HolderId = StrongId<struct HolderTag, std::string>;
/// A shard of programs.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;
/// The ownership epoch of a shard; it only grows.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// A request at one entry process, local to that process.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// A connection between two of our processes, local to one of them.
using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;
/// The version of the accepted configuration; it only grows.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// A revision in the platform's key-value service.
using Revision = StrongId<struct RevisionTag, std::int64_t>;
/// A lease of the key-value service; 0 is none.
using LeaseId = StrongId<struct LeaseTag, std::int64_t>;
/// A caller's own identifier of one of its attempts, unique for all time.
using CallerAttemptId = StrongId<struct CallerAttemptTag, std::string>;
/// A turn of a program: the caller's identifier of the attempt that ran it.
using TurnId = CallerAttemptId;
/// One run of one target, new whenever the target starts.
using TargetId = StrongId<struct TargetTag, std::string>;
/// A route of the configuration.
using RouteName = StrongId<struct RouteTag, std::string>;
/// An attempt at a target, local to the relay that made it.
using RelayAttemptId = StrongId<struct RelayAttemptTag, std::uint64_t>;
/// An operation of the ledger, local to the process that asked.
using LedgerOperationId = StrongId<struct LedgerOperationTag, std::uint64_t>;
/// The version of the ledger's membership; it only grows.
using ViewVersion = StrongId<struct ViewVersionTag, std::uint64_t>;
/// The hash of a request's content, the same whoever sends it.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

/// One try to run a call at a target, unique for all time: the sequence
/// number is unique within the shard's epoch.
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
