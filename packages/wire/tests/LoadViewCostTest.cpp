/// \file
/// Measures what the shared view of loads costs the replica that gathers it:
/// messages, bytes, and processor time of this build. Prints the figures; only
/// the bound on the bytes of a relay is checked.
#include "tanagerlanding/decision.h"
#include "tanagerlanding/wire.h"

#include <catch2/catch.hpp>

#include <ctime>
#include <iostream>
#include <random>

using namespace tanagerlanding;

namespace {

constexpr int Seconds = 5;
constexpr double MaxBytesPerSecond = 4000;

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// A replica, and relays that each report a tenth of a second's answers ten
/// times a second.
void measure(int Relays, std::uint32_t Targets, double RequestsPerSecond) {
  std::mt19937 Random(1);
  std::poisson_distribution<int> Answers(RequestsPerSecond / Relays / 10);
  std::uniform_int_distribution<std::uint32_t> Target(1, Targets);
  LedgerState State;
  State.Now = Instant{Milliseconds(1000)};
  double ReportBytes = 0;
  double ViewBytes = 0;
  int Views = 0;
  double Rows = 0;
  double Decoding = 0;
  double Gathering = 0;
  double Encoding = 0;
  for (int Tick = 0; Tick < Seconds * 10; ++Tick) {
    for (int Relay = 0; Relay < Relays; ++Relay) {
      TargetLoadReport Report;
      for (int Count = Answers(Random); Count > 0; --Count)
        Report.Rows.push_back(TargetLoadRow{
            TargetRunKey{Target(Random) * 3900000U}, TargetLoad{5, 1, 8, 1.0},
            Milliseconds(Random() % 100), 1, 1.0});
      const std::string Bytes = makeFrame(encodeMessage(Report));
      ReportBytes += static_cast<double>(Bytes.size());
      double Start = processorSeconds();
      const auto Decoded = decodeMessage(std::string_view(Bytes).substr(4));
      Decoding += processorSeconds() - Start;
      REQUIRE(Decoded);
      Start = processorSeconds();
      reduce(State,
             LedgerMessageReceived{HostId("relay-" + std::to_string(Relay)),
                                   Decoded.value()});
      Gathering += processorSeconds() - Start;
    }
    double Start = processorSeconds();
    const auto Effects =
        reduce(State, LedgerTick{State.Now + Milliseconds(100)});
    Gathering += processorSeconds() - Start;
    Start = processorSeconds();
    for (const LedgerEffect &Each : Effects) {
      const auto *Sent = std::get_if<SendHost>(&Each);
      if (!Sent)
        continue;
      ViewBytes +=
          static_cast<double>(makeFrame(encodeMessage(Sent->Body)).size());
      Rows +=
          static_cast<double>(std::get<TargetLoadView>(Sent->Body).Rows.size());
      ++Views;
    }
    Encoding += processorSeconds() - Start;
  }
  std::cout << Relays << " relays, " << Targets << " targets, "
            << RequestsPerSecond << " requests/s, a second: reports "
            << Relays * 10 << " of " << ReportBytes / (Relays * 10 * Seconds)
            << " bytes, views " << Views / Seconds << " of "
            << ViewBytes / Views << " bytes and " << Rows / Views
            << " rows; of one core: decoding " << Decoding / Seconds
            << ", gathering " << Gathering / Seconds << ", encoding "
            << Encoding / Seconds << "; per relay sent "
            << ReportBytes / Relays / Seconds << " B/s, received "
            << ViewBytes / Relays / Seconds << " B/s; rows kept "
            << State.Loads.Rows.size() << std::endl;
  CHECK(ViewBytes / Relays / Seconds <= MaxBytesPerSecond);
  CHECK(ReportBytes / Relays / Seconds <= MaxBytesPerSecond);
}

} // namespace

TEST_CASE("Cost of the shared view of loads", "[.load-view-cost]") {
  measure(23, 74, 400);
  measure(390, 1100, 8800);
}
