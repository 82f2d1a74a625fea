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

/// Passes connections on to a port and can cut, hold or lose what passes.
class FaultProxy {
public:
  explicit FaultProxy(std::uint16_t Upstream);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  /// Returns the port that the proxy listens on.
  std::uint16_t port() const { return this->Port; }
  /// Closes all connections and refuses new ones while Refuse is set.
  void setRefusing(bool Refuse);
  /// Lets nothing pass in either direction while Hold is set; nothing is
  /// lost.
  void setHolding(bool Hold);
  /// Lets requests pass and loses answers while Lose is set.
  void setLosingAnswers(bool Lose);
  /// Closes all connections once.
  void cutAll();
  /// Closes a connection after this many answer bytes; 0 means never.
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
