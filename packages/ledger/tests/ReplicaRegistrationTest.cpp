/// Tests of the calls that keep a replica registered in the key-value service.
#include "tanagerlanding/ledger/ReplicaRegistration.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <vector>

using namespace tanagerlanding;

namespace {

/// A registration with scripted replies from the key-value service. Once no
/// reply is left, calls are not answered. The calls go to a closed port.
class RegistrationFixture {
public:
  RegistrationFixture()
      : Service(Loop, "http://127.0.0.1:1", makeDialect()),
        Registration(Loop, Service) {}

  /// Runs the registration with these replies, of which an absent one stands
  /// for a lost answer, and stops after one call more than there are replies.
  void
  runWithReplies(std::deque<std::optional<KeyValueReply>> ScriptedReplies) {
    this->Replies = std::move(ScriptedReplies);
    LedgerMember Member;
    Member.Holder = HolderId("holder");
    Member.Host = HostId("host");
    this->Registration.start(Member);
    this->Loop.run();
  }

  static LeaseAnswer lease(std::int64_t Number) {
    return LeaseAnswer{LeaseId(Number), Milliseconds(2000), false};
  }
  static LeaseAnswer ended() {
    LeaseAnswer Answer;
    Answer.IsEnded = true;
    return Answer;
  }
  static WriteAnswer written() {
    WriteAnswer Answer;
    Answer.HasSucceeded = true;
    return Answer;
  }
  static WriteAnswer leaseEnded() {
    WriteAnswer Answer;
    Answer.IsLeaseEnded = true;
    return Answer;
  }

  EventLoop Loop;
  /// The calls that were made: their kind and their lease.
  std::vector<std::string> Calls;
  std::vector<Instant> CallTimes;

private:
  static std::string textOf(const KeyValueOperation &Operation) {
    if (const auto *Renewal = std::get_if<RenewLease>(&Operation))
      return "renew " + std::to_string(Renewal->Lease.Value);
    if (const auto *Write = std::get_if<ConditionalWrite>(&Operation)) {
      const bool IsMember =
          Write->Writes.at(0).Key == replicaKey(HostId("host"));
      return (IsMember ? "member " : "synced ") +
             std::to_string(Write->Writes.at(0).Lease.Value);
    }
    return "grant";
  }

  KeyValueDialect makeDialect() {
    KeyValueDialect Dialect;
    Dialect.Encode = [this](const KeyValueOperation &Operation)
        -> Result<KeyValueCall, PlatformError> {
      this->Calls.push_back(textOf(Operation));
      this->CallTimes.push_back(this->Loop.now());
      return KeyValueCall{"GET", "/", ""};
    };
    Dialect.Decode =
        [this](const KeyValueOperation &,
               const HttpOutcome &) -> Result<KeyValueReply, PlatformError> {
      if (this->Replies.empty()) {
        this->Loop.stop();
        return PlatformError{PlatformError::Kind::Unreachable};
      }
      const auto Reply = std::move(this->Replies.front());
      this->Replies.pop_front();
      if (!Reply)
        return PlatformError{PlatformError::Kind::Unreachable};
      return *Reply;
    };
    return Dialect;
  }

  std::deque<std::optional<KeyValueReply>> Replies;
  KeyValueClient Service;

public:
  ReplicaRegistration Registration;
};

using Fixture = RegistrationFixture;
using Texts = std::vector<std::string>;

} // namespace

TEST_CASE(
    "Registration: a write without an answer is repeated under its lease") {
  Fixture Test;
  Test.runWithReplies(
      {Fixture::lease(7), std::nullopt, Fixture::lease(7), Fixture::written()});
  CHECK(Test.Calls ==
        Texts{"grant", "member 7", "renew 7", "member 7", "renew 7"});
}

TEST_CASE("Registration: an ended lease is replaced, its keys rewritten") {
  Fixture Test;
  Test.Registration.publishSynced(ViewVersion(3));
  SECTION("reported by a write") {
    Test.runWithReplies({Fixture::lease(7), Fixture::leaseEnded(),
                         Fixture::lease(8), Fixture::written(),
                         Fixture::written()});
    CHECK(Test.Calls == Texts{"grant", "member 7", "grant", "member 8",
                              "synced 8", "renew 8"});
  }
  SECTION("reported by a renewal") {
    Test.runWithReplies({Fixture::lease(7), Fixture::written(),
                         Fixture::written(), Fixture::ended(),
                         Fixture::lease(8), Fixture::written(),
                         Fixture::written()});
    CHECK(Test.Calls == Texts{"grant", "member 7", "synced 7", "renew 7",
                              "grant", "member 8", "synced 8", "renew 8"});
  }
}

TEST_CASE("Registration: a renewal without an answer is repeated early") {
  Fixture Test;
  Test.runWithReplies(
      {Fixture::lease(7), Fixture::written(), std::nullopt, Fixture::lease(7)});
  CHECK(Test.Calls ==
        Texts{"grant", "member 7", "renew 7", "renew 7", "renew 7"});
  const auto &At = Test.CallTimes;
  CHECK(At[3] - At[2] < At[2] - At[1]);
}
