/// \file
/// A TCP proxy that injects faults.
#ifndef TANAGERLANDING_TESTS_FAULTPROXY_H
#define TANAGERLANDING_TESTS_FAULTPROXY_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace tanagerlanding::test {

/// Forwards connections to a loopback port and can close them, stall them or
/// discard responses.
class FaultProxy {
public:
  explicit FaultProxy(std::uint16_t Upstream);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  std::uint16_t port() const { return this->Port; }
  /// Closes all connections and refuses new ones while Refuse is set.
  void setRefusing(bool Refuse);
  /// Stalls both directions while Stall is set; held bytes are forwarded
  /// afterwards.
  void setStalling(bool Stall);
  /// Forwards requests but discards responses while Discard is set.
  void setDiscardingResponses(bool Discard);
  /// Closes all open connections; new ones are accepted.
  void closeConnections();
  /// Closes each connection once its upstream has sent this many bytes;
  /// 0 means never.
  void setCloseAfterResponseBytes(std::uint64_t Bytes);
  /// Forwards only this many bytes of the responses on each connection and
  /// closes it; 0 means all.
  void setCutAfterResponseBytes(std::uint64_t Bytes);

private:
  class Worker;

  std::uint16_t Port = 0;
  std::atomic<bool> IsRefusing{false};
  std::atomic<bool> IsStalling{false};
  std::atomic<bool> IsDiscardingResponses{false};
  std::atomic<std::uint64_t> CloseAfterBytes{0};
  std::atomic<std::uint64_t> CutAfterBytes{0};
  std::unique_ptr<Worker> ActiveWorker;
};

} // namespace tanagerlanding::test

#endif
