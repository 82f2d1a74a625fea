#include "Commands.h"

#include "Report.h"
#include "tanagerlanding/engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr double NanosPerMilli = 1e6;

/// Returns an entry's parsed answer. If there is none with status 200, prints
/// an error and returns a discarded value.
Json queryEntry(const std::string &Url, const std::string &Path) {
  EventLoop Loop;
  HttpClient Client(Loop);
  HttpRequest Request;
  Request.Url = Url + Path;
  HttpOutcome Received;
  Client.start(Request, {}, [&](const HttpOutcome &Outcome) {
    Received = Outcome;
    Loop.stop();
  });
  Loop.run();
  if (Received.Ended == HttpOutcome::Kind::Answered && Received.Status == 200)
    return Json::parse(Received.Body, nullptr, false);
  std::cerr << Url << Path << ": no answer with status 200\n";
  return Json(Json::value_t::discarded);
}

std::string fieldText(const Json &Object, const char *Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

std::string missingState(const Json &Host, std::uint64_t Version) {
  if (!Host.value("connected", false))
    return "connection";
  if (Host.value("version", Version) < Version)
    return "configuration";
  return "-";
}

std::uint64_t parseNanos(const Json &Span, const char *Field) {
  return std::stoull(Span.value(Field, "0"));
}

std::vector<Json> readSpans(const TraceOptions &Options) {
  std::vector<Json> Spans;
  for (const std::string &Path : Options.SpanFiles) {
    std::ifstream File(Path);
    std::string Line;
    while (std::getline(File, Line)) {
      const Json Span = Json::parse(Line, nullptr, false);
      if (Span.is_object() && Span.value("traceId", "") == Options.TraceId)
        Spans.push_back(Span);
    }
  }
  std::sort(Spans.begin(), Spans.end(), [](const Json &A, const Json &B) {
    return parseNanos(A, "startTimeUnixNano") <
           parseNanos(B, "startTimeUnixNano");
  });
  return Spans;
}

} // namespace

ExitCode runStatus(const EntryQuery &Options) {
  const Json Status = queryEntry(Options.EntryUrl, "/v1/status");
  if (!Status.is_object())
    return ExitCode::Failure;
  if (Options.AsJson) {
    std::cout << Status.dump(2) << '\n';
    return ExitCode::Success;
  }
  const std::uint64_t Version = Status.value("version", 0);
  std::vector<TableRow> Rows = {{"HOST", "ZONE", "CONNECTED", "VERSION",
                                 "HEALTHY", "LEAVING", "RUNNING", "QUEUED",
                                 "LACKS"}};
  for (const Json &Host : Status.value("hosts", Json::array()))
    Rows.push_back({fieldText(Host, "host"), fieldText(Host, "zone"),
                    fieldText(Host, "connected"), fieldText(Host, "version"),
                    fieldText(Host, "healthy"), fieldText(Host, "leaving"),
                    fieldText(Host, "running"), fieldText(Host, "queued"),
                    missingState(Host, Version)});
  printTable(Rows);
  std::cout << "\nunserved shards: " << fieldText(Status, "unserved_shards")
            << '\n';
  return ExitCode::Success;
}

ExitCode runPrograms(const EntryQuery &Options) {
  const Json Programs = queryEntry(Options.EntryUrl, "/v1/programs");
  if (!Programs.is_array())
    return ExitCode::Failure;
  if (Options.AsJson) {
    std::cout << Programs.dump(2) << '\n';
    return ExitCode::Success;
  }
  std::vector<TableRow> Rows = {
      {"PROGRAM", "TEAM", "SHARD", "CALLS", "TOKENS", "RESERVED", "ENDED"}};
  for (const Json &Each : Programs)
    Rows.push_back({fieldText(Each, "program"), fieldText(Each, "team"),
                    fieldText(Each, "shard"), fieldText(Each, "calls"),
                    fieldText(Each, "tokens"), fieldText(Each, "reserved"),
                    fieldText(Each, "ended")});
  printTable(Rows);
  return ExitCode::Success;
}

ExitCode runTrace(const TraceOptions &Options) {
  const std::vector<Json> Spans = readSpans(Options);
  if (Options.AsJson) {
    std::cout << Json(Spans).dump(2) << '\n';
    return Spans.empty() ? ExitCode::Failure : ExitCode::Success;
  }
  if (Spans.empty()) {
    std::cerr << "no spans found for trace " << Options.TraceId << '\n';
    return ExitCode::Failure;
  }
  const std::uint64_t Start = parseNanos(Spans.front(), "startTimeUnixNano");
  std::vector<TableRow> Rows = {{"START MS", "TOOK MS", "HOST", "SPAN"}};
  for (const Json &Span : Spans) {
    const std::uint64_t Begin = parseNanos(Span, "startTimeUnixNano");
    const std::uint64_t End = parseNanos(Span, "endTimeUnixNano");
    Rows.push_back(
        {std::to_string(static_cast<double>(Begin - Start) / NanosPerMilli),
         std::to_string(static_cast<double>(End - Begin) / NanosPerMilli),
         fieldText(Span, "host"), fieldText(Span, "name")});
  }
  printTable(Rows);
  return ExitCode::Success;
}

} // namespace tanagerlanding
