/// \file
/// Smoke test of the whole call path, with every component as its own process.
/// A program's calls through two entries must see one shared history.
#include "Site.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding::test;

TEST_CASE("Path: a program runs from one end to the other") {
  Site Deployment(SiteOptions().withEntries(2));
  const Program Log{"log-1"};

  const Response First =
      send(chatRequest(Deployment.httpPort(0), Log, "first find", "k1"));
  CHECK(First.Status == 200);
  CHECK(First.content().find("re[1]: first find") == 0);

  const Response Posted = send(
      serviceRequest(Deployment.httpPort(1), Log, "/log", "find 17", "k2"));
  CHECK(Posted.Status == 200);
  CHECK(Deployment.executions()["find 17"] == 1);

  const Response Second =
      send(chatRequest(Deployment.httpPort(1), Log, "second find", "k3", true));
  INFO(Second.Body);
  CHECK(Second.isCompleteStream());
  CHECK(Second.streamedContent().find("re[3]: second find") == 0);
}
