/// \file
/// Targets that stop in the middle of the head of their answer. Guards against
/// callers that get an empty answer which looks whole.
#include "Site.h"

#include <catch2/catch.hpp>

#include <string>

using namespace tanagerlanding::test;

TEST_CASE("CutHeads: no caller of an entry gets a success whose head was cut "
          "off") {
  Site Deployment(SiteOptions().withServices(1));
  const Program Log{"log-1"};
  const Response Whole =
      send(serviceRequest(Deployment.httpPort(0), Log, "/log", "find 0", "k0"));
  REQUIRE(Whole.Status == 200);
  REQUIRE_FALSE(Whole.Body.empty());
  // Behind the status line and in the first header.
  for (const unsigned Bytes : {17U, 20U, 25U}) {
    CAPTURE(Bytes);
    Deployment.proxy("service-0-target").setCutAfterResponseBytes(Bytes);
    const std::string Number = std::to_string(Bytes);
    Request Call = serviceRequest(Deployment.httpPort(0), Log, "/log",
                                  "find " + Number, "k" + Number);
    Call.Timeout = std::chrono::seconds(4);
    const Response Result = send(Call);
    INFO(Result.Body);
    CHECK(Result.Status != 200);
    Deployment.proxy("service-0-target").setCutAfterResponseBytes(0);
  }
}
