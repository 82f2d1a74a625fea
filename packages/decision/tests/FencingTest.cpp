/// Tests that holders and sidecars accept nothing of a lower epoch once they
/// have seen a higher one.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

const HostId Owner("entry-0");
const ShardId Shard(1);

AppendRecords batchOf(std::uint64_t OwnerEpoch, std::uint64_t Index) {
  return AppendRecords{
      Shard, Epoch(OwnerEpoch), Index, {ProgramEnded{ProgramId("p")}}};
}

bool isRejected(const std::vector<HolderEffect> &Effects) {
  REQUIRE(Effects.size() == 1);
  const auto *Sent = std::get_if<SendFromHolder>(&Effects[0]);
  return Sent && std::holds_alternative<AppendRejected>(Sent->Body);
}

DispatchAttempt workOf(std::uint64_t OwnerEpoch, std::uint64_t Sequence) {
  DispatchAttempt Work;
  Work.Attempt = AttemptId{Shard, Epoch(OwnerEpoch), Sequence};
  Work.Kind = CallKind::Service;
  Work.Deadline = Milliseconds(60000);
  return Work;
}

/// Returns a sidecar with a healthy target, the old owner on connection 1 and
/// the new one on connection 2.
SidecarState readySidecar() {
  SidecarState State;
  reduce(State, SidecarEvent(SidecarTick{Instant{Milliseconds(1)}}));
  reduce(State, SidecarEvent(TargetProbed{true, {}, false}));
  for (const std::uint64_t Link : {1U, 2U})
    reduce(State, SidecarEvent(OwnerConnected{ConnectionId(Link), Hello()}));
  return State;
}

/// Returns whether the sidecar sends this attempt to its target.
bool isRun(SidecarState &State, const DispatchAttempt &Work) {
  for (const SidecarEffect &Effect : reduce(
           State, SidecarEvent(OwnerMessageReceived{ConnectionId(1), Work}))) {
    if (std::holds_alternative<CallTarget>(Effect))
      return true;
  }
  return false;
}

} // namespace

TEST_CASE("Fencing: a sealed holder rejects records of lower epochs") {
  HolderState State;
  REQUIRE_FALSE(isRejected(
      reduce(State, HolderEvent(HolderRequestReceived{Owner, batchOf(1, 1)}))));
  reduce(State, HolderEvent(HolderRequestReceived{
                    Owner, SealLog{Shard, Epoch(1), Epoch(2)}}));
  CHECK(isRejected(
      reduce(State, HolderEvent(HolderRequestReceived{Owner, batchOf(1, 2)}))));
  CHECK_FALSE(isRejected(
      reduce(State, HolderEvent(HolderRequestReceived{Owner, batchOf(2, 1)}))));
}

TEST_CASE("Fencing: a batch of a new epoch also fences the old epoch") {
  HolderState State;
  reduce(State, HolderEvent(HolderRequestReceived{Owner, batchOf(3, 1)}));
  CHECK(isRejected(
      reduce(State, HolderEvent(HolderRequestReceived{Owner, batchOf(2, 1)}))));
}

TEST_CASE("Fencing: a holder with a failed write rejects all records") {
  HolderState State;
  reduce(State, HolderEvent(DataFolderFailed{}));
  CHECK(isRejected(
      reduce(State, HolderEvent(HolderRequestReceived{Owner, batchOf(1, 1)}))));
  CHECK(reduce(State, HolderEvent(BatchPersisted{Owner, RecordsPersisted()}))
            .empty());
}

TEST_CASE("Fencing: an attempt reported as not started never starts") {
  SidecarState State = readySidecar();
  const DispatchAttempt Late = workOf(1, 7);
  reduce(State, SidecarEvent(OwnerMessageReceived{
                    ConnectionId(2), QueryAttempt{Late.Attempt, Epoch(1)}}));
  CHECK_FALSE(isRun(State, Late));
  CHECK(isRun(State, workOf(1, 8)));
}

TEST_CASE("Fencing: a new owner's query stops dispatches of lower epochs") {
  SidecarState State = readySidecar();
  const AttemptId QueriedAttempt{Shard, Epoch(1), 7};
  reduce(State, SidecarEvent(OwnerMessageReceived{
                    ConnectionId(2), QueryAttempt{QueriedAttempt, Epoch(2)}}));
  CHECK_FALSE(isRun(State, workOf(1, 8)));
  CHECK(isRun(State, workOf(2, 1)));
}

TEST_CASE("Fencing: a dispatch of a new epoch fences the old owner") {
  SidecarState State = readySidecar();
  CHECK(isRun(State, workOf(2, 1)));
  CHECK_FALSE(isRun(State, workOf(1, 9)));
}
