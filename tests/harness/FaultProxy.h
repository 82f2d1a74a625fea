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
  /// Stalls both directions while Hold is set; held bytes are forwarded
  /// afterwards.
  void setHolding(bool Hold);
  /// Forwards requests but discards responses while Lose is set.
  void setLosingAnswers(bool Lose);
  /// Closes all open connections; new ones are accepted.
  void cutAll();
  /// Closes each connection once its upstream has sent this many bytes;
  /// 0 means never.
  void setCutAfterAnswerBytes(std::uint64_t Bytes);

private:
  class Worker;

  std::uint16_t Port = 0;
  std::atomic<bool> IsRefusing{false};
  std::atomic<bool> IsHolding{false};
  std::atomic<bool> IsLosingAnswers{false};
  std::atomic<std::uint64_t> CutAfter{0};
  std::unique_ptr<Worker> Running;
};

} // namespace tanagerlanding::test

#endif
