/// \file
/// Relays and replicas of the ledger as processes between the platform's
/// stand-ins.
#ifndef TANAGERLANDING_TESTS_PLATFORMSITE_H
#define TANAGERLANDING_TESTS_PLATFORMSITE_H

#include "Client.h"
#include "PlatformStandins.h"
#include "Processes.h"

#include <array>
#include <filesystem>
#include <string>
#include <vector>

namespace tanagerlanding::test {

/// One turn of a program, as a caller sends it.
struct TurnRequest {
  std::string Id;
  std::string Program = "p";
  /// The turn that it continues from; empty for none.
  std::string Previous;
  std::string Input;
  int Budget = 10000;
};

/// Relays and three replicas, with a store and two workers. Its folder is kept
/// where TANAGERLANDING_KEEP_FOLDERS is set.
class PlatformSite {
public:
  static constexpr const char *Host = "shop.example";
  static constexpr std::size_t ReplicaCount = 3;
  /// The tokens that each event counts for, and the most of a turn.
  static constexpr int TokensPerEvent = 10;
  static constexpr int MostTokens = 40;

  /// Starts all processes and waits until the relays are ready.
  explicit PlatformSite(std::size_t RelayCount = 1);
  ~PlatformSite();
  PlatformSite(const PlatformSite &) = delete;
  PlatformSite &operator=(const PlatformSite &) = delete;

  /// Returns the operators' configuration of a version.
  static std::string configuration(int Version);

  void startLedger(std::size_t Number);
  void startRelay(std::size_t Number);
  bool awaitReady(std::size_t Relay = 0);
  /// Returns the folder in which a replica keeps its records.
  std::filesystem::path ledgerFolder(std::size_t Number) const;

  Response plain(const std::string &Id);
  Response turn(const TurnRequest &Wanted, std::size_t Relay = 0);
  Response turn(const std::string &Id, const std::string &Previous,
                const std::string &Input, int Budget = 10000);
  /// Asks again, each time under a new id, until the turn is served.
  Response turnUntilServed(const std::string &Id, const std::string &Previous,
                           const std::string &Input);

  const std::filesystem::path Folder;
  StoreStandin Store;
  WorkerStandin First;
  WorkerStandin Second;
  std::array<ChildProcess, ReplicaCount> Ledgers;
  std::vector<ChildProcess> Relays;
  std::vector<std::uint16_t> CallerPorts;
  std::vector<std::uint16_t> StatusPorts;
  std::array<std::uint16_t, ReplicaCount> PeerPorts{};

private:
  ChildProcess start(const std::string &Name, const std::string &Role,
                     const std::string &Settings) const;
};

} // namespace tanagerlanding::test

#endif
