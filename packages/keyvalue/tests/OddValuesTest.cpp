/// Tests that values of replicas, shards and the service that someone else has
/// written are recognized as unusable.
#include "tanagerlanding/keyvalue.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace tanagerlanding;

namespace {

using Json = nlohmann::json;

Json member() {
  return {{"holder", "h-1"},
          {"host", "storage-1"},
          {"address", "10.0.0.9"},
          {"port", 7380},
          {"zone", "z"}};
}

Json view() {
  Json Second = member();
  Second["holder"] = "h-2";
  Second["host"] = "storage-2";
  return {{"version", 3},
          {"tolerated", 1},
          {"current", {member()}},
          {"next", {member(), Second}}};
}

HttpOutcome answered(const std::string &Body) {
  HttpOutcome Outcome;
  Outcome.Ended = HttpOutcome::Kind::Answered;
  Outcome.Status = 200;
  Outcome.Body = Body;
  return Outcome;
}

} // namespace

TEST_CASE("Odd values: a registration with an unusable field is no other "
          "replica's") {
  const auto Good = decodeLedgerMember(member().dump());
  REQUIRE(Good);
  CHECK(Good->Port == 7380);
  CHECK(Good->Holder == HolderId("h-1"));
  for (const Json &Port :
       {Json(0), Json(-1), Json(65536), Json(72916), Json(7380.5), Json(1e30),
        Json(true), Json("7380"), Json(), Json(~std::uint64_t{0})}) {
    INFO(Port);
    Json Odd = member();
    Odd["port"] = Port;
    CHECK_FALSE(decodeLedgerMember(Odd.dump()));
  }
  for (const char *Field : {"holder", "host", "address"}) {
    for (const Json &Value : {Json(""), Json(7), Json(), Json::array()}) {
      INFO(Field << " " << Value);
      Json Odd = member();
      Odd[Field] = Value;
      CHECK_FALSE(decodeLedgerMember(Odd.dump()));
    }
    Json Missing = member();
    Missing.erase(Field);
    CHECK_FALSE(decodeLedgerMember(Missing.dump()));
  }
  Json Named = member();
  Named["address"] = "storage-1.example";
  CHECK_FALSE(decodeLedgerMember(Named.dump()));
  for (const char *Text : {"", "null", "7", "[]", "{}", "\"x\"", "{", "\xff"})
    CHECK_FALSE(decodeLedgerMember(Text));
}

TEST_CASE("Odd values: a view that could lower the quorum or end all changes "
          "is no view") {
  const auto Good = decodeLedgerView(view().dump());
  REQUIRE(Good);
  CHECK(Good->Version == ViewVersion(3));
  CHECK(Good->Current.size() == 1);
  CHECK(Good->Next.size() == 2);
  for (const char *Field : {"version", "tolerated"}) {
    for (const Json &Value : {Json(-1), Json(~std::uint64_t{0}), Json(1e30),
                              Json(1.5), Json(true), Json("1"), Json()}) {
      INFO(Field << " " << Value);
      Json Odd = view();
      Odd[Field] = Value;
      CHECK_FALSE(decodeLedgerView(Odd.dump()));
    }
  }
  Json Wrapping = view();
  Wrapping["tolerated"] = 4294967295;
  CHECK_FALSE(decodeLedgerView(Wrapping.dump()));
  for (const Json &List :
       {Json(), Json::array(), Json::object(), Json(7), Json("x"),
        Json::array({7}), Json::array({member(), member()})}) {
    INFO(List);
    Json Odd = view();
    Odd["current"] = List;
    CHECK_FALSE(decodeLedgerView(Odd.dump()));
  }
  for (const char *Field : {"version", "tolerated", "current", "next"}) {
    Json Missing = view();
    Missing.erase(Field);
    CHECK_FALSE(decodeLedgerView(Missing.dump()));
  }
}

TEST_CASE("Odd values: an odd answer of the gateway ends no process") {
  const KeyValueDialect Dialect = makeEtcdDialect();
  for (const char *Body :
       {"7", "[]", "\"x\"", "{\"kvs\":7}", "{\"kvs\":[7]}",
        "{\"kvs\":[{\"key\":7}]}", "{\"kvs\":[{\"key\":\"YQ==\",\"value\":1}]}",
        "{\"kvs\":[{\"key\":\"YQ==\",\"mod_revision\":5}]}",
        "{\"succeeded\":7}", "{\"succeeded\":true,\"header\":7}",
        "{\"succeeded\":true,\"header\":{\"revision\":5}}", "{\"responses\":7}",
        "{\"responses\":[7]}", "{\"responses\":[{\"response_range\":7}]}",
        "{\"header\":1e400}"}) {
    INFO(Body);
    CHECK_NOTHROW(Dialect.Decode(ReadRange{"a", ""}, answered(Body)));
    CHECK_NOTHROW(Dialect.Decode(ConditionalWrite{}, answered(Body)));
  }
}
