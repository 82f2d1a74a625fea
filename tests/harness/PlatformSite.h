/// \file
/// Test fixture: relays and ledger replicas as processes between stand-ins for
/// the platform's store and workers.
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
  /// Id of the turn that it continues; empty for the first turn.
  std::string Previous;
  std::string Input;
  int Budget = 10000;
  unsigned TimeLeftMillis = 4000;
};

/// What clients may send, as the operators' configuration states it.
struct ClientLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1000000;
  unsigned HeaderTimeoutMillis = 3000;
  unsigned IdleTimeoutMillis = 15000;
};

/// Size and settings of a PlatformSite.
struct PlatformSiteOptions {
  std::size_t RelayCount = 1;
  /// Whether relays accept keys only with a proof of their configuration.
  bool IsRevocationStrict = false;
  /// Memory and descriptors that the relays' settings state, unless 0.
  unsigned RelayMemoryMegabytes = 0;
  unsigned RelayDescriptors = 0;
  /// Memory that the replicas' settings state, unless 0.
  unsigned LedgerMemoryMegabytes = 0;
  /// Whether the relays are started with --limit-buffers.
  bool AreBuffersLimited = false;
  ClientLimits Limits;
  /// Connections that a target accepts.
  unsigned ConnectionLimit = 64;
  /// Time-out of the route of turns.
  unsigned TurnTimeoutMillis = 5000;
};

/// Runs relays, three ledger replicas, a store and two workers. The folder of
/// settings, logs and records is deleted on destruction, unless the environment
/// variable TANAGERLANDING_KEEP_FOLDERS is set.
class PlatformSite {
public:
  static constexpr const char *Host = "shop.example";
  static constexpr std::size_t ReplicaCount = 3;
  /// Tokens that each event counts for, and the maximum of a turn.
  static constexpr int TokensPerEvent = 10;
  static constexpr int MaxTurnTokens = 40;

  /// Starts all processes and waits until the relays are ready. Throws
  /// std::runtime_error if a relay does not become ready.
  explicit PlatformSite(const PlatformSiteOptions &Options);
  /// With RelayMemoryMegabytes, the relays' buffers are limited too.
  explicit PlatformSite(std::size_t RelayCount = 1,
                        bool IsRevocationStrict = false,
                        unsigned RelayMemoryMegabytes = 0);
  ~PlatformSite();
  PlatformSite(const PlatformSite &) = delete;
  PlatformSite &operator=(const PlatformSite &) = delete;

  /// Returns the operators' configuration with a version number, as JSON.
  static std::string configuration(int Version,
                                   const PlatformSiteOptions &Options = {});

  void startLedger(std::size_t Number);
  void startRelay(std::size_t Number);
  bool awaitReady(std::size_t Relay = 0);
  /// Waits until a relay knows exactly this number of targets. Throws
  /// std::runtime_error if it does not.
  void awaitTargets(std::size_t Relay, std::size_t Count);
  /// Returns the data folder of a ledger replica.
  std::filesystem::path ledgerFolder(std::size_t Number) const;

  Response sendPlain(const std::string &Id);
  /// Sends a call to a plain service; without a body it is a GET request.
  Response sendCall(const std::string &Path, const std::string &Id,
                    const std::string &Body, std::size_t Relay);
  Response sendTurn(const TurnRequest &Turn, std::size_t Relay = 0);
  Response sendTurn(const std::string &Id, const std::string &Previous,
                    const std::string &Input, int Budget = 10000);
  /// Retries a turn, each time under a new id, until the response is neither
  /// missing nor 503.
  Response sendTurnUntilServed(const std::string &Id,
                               const std::string &Previous,
                               const std::string &Input);

  const PlatformSiteOptions Options;
  const std::filesystem::path Folder;
  StoreStandin Store;
  WorkerStandin FirstWorker;
  WorkerStandin SecondWorker;
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
