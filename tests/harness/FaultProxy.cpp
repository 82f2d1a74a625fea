#include "FaultProxy.h"

#include <boost/asio.hpp>

#include <array>
#include <set>

namespace tanagerlanding::test {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds HoldPause{10};
constexpr std::size_t BufferBytes = 64 * 1024;

} // namespace

/// Forwards bytes on its own thread.
class FaultProxy::Worker {
public:
  Worker(FaultProxy &Owner, std::uint16_t Upstream)
      : Owner(Owner),
        Upstream(boost::asio::ip::address_v4::loopback(), Upstream),
        Acceptor(this->Context,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    this->accept();
    this->Thread = std::thread([this] { this->Context.run(); });
  }

  ~Worker() {
    this->Context.stop();
    this->Thread.join();
  }

  std::uint16_t port() const { return this->Acceptor.local_endpoint().port(); }

  void cutAll() {
    boost::asio::post(this->Context, [this] {
      const auto Open = this->Pairs;
      for (const auto &Each : Open)
        this->cut(Each);
    });
  }

private:
  /// The two sockets of a forwarded connection.
  struct Pair {
    explicit Pair(boost::asio::io_context &Context)
        : Near(Context), Far(Context), Timer(Context), BackTimer(Context) {}
    tcp::socket Near;
    tcp::socket Far;
    boost::asio::steady_timer Timer;
    boost::asio::steady_timer BackTimer;
    std::array<char, BufferBytes> Forth{};
    std::array<char, BufferBytes> Back{};
    std::uint64_t AnswerBytes = 0;
  };
  using PairPointer = std::shared_ptr<Pair>;

  void accept() {
    auto Fresh = std::make_shared<Pair>(this->Context);
    this->Acceptor.async_accept(Fresh->Near, [this, Fresh](const auto &Error) {
      if (!Error && !this->Owner.IsRefusing)
        this->connect(Fresh);
      this->accept();
    });
  }

  void connect(const PairPointer &Fresh) {
    this->Pairs.insert(Fresh);
    Fresh->Far.async_connect(this->Upstream, [this, Fresh](const auto &Error) {
      if (Error) {
        this->cut(Fresh);
        return;
      }
      boost::system::error_code Ignored;
      Fresh->Near.set_option(tcp::no_delay(true), Ignored);
      Fresh->Far.set_option(tcp::no_delay(true), Ignored);
      this->pump(Fresh, true);
      this->pump(Fresh, false);
    });
  }

  void pump(const PairPointer &Each, bool IsForth) {
    tcp::socket &From = IsForth ? Each->Near : Each->Far;
    auto &Buffer = IsForth ? Each->Forth : Each->Back;
    From.async_read_some(
        boost::asio::buffer(Buffer),
        [this, Each, IsForth](const auto &Error, std::size_t Count) {
          if (Error)
            this->cut(Each);
          else
            this->pass(Each, IsForth, Count);
        });
  }

  void pass(const PairPointer &Each, bool IsForth, std::size_t Count) {
    if (this->Owner.IsHolding) {
      auto &Timer = IsForth ? Each->Timer : Each->BackTimer;
      Timer.expires_after(HoldPause);
      Timer.async_wait([this, Each, IsForth, Count](const auto &Error) {
        if (!Error)
          this->pass(Each, IsForth, Count);
      });
      return;
    }
    if (!IsForth && this->Owner.IsLosingAnswers) {
      this->pump(Each, IsForth);
      return;
    }
    if (!IsForth && this->isCutDue(*Each, Count)) {
      this->cut(Each);
      return;
    }
    tcp::socket &To = IsForth ? Each->Far : Each->Near;
    auto &Buffer = IsForth ? Each->Forth : Each->Back;
    boost::asio::async_write(
        To, boost::asio::buffer(Buffer.data(), Count),
        [this, Each, IsForth](const auto &Error, std::size_t) {
          if (Error)
            this->cut(Each);
          else
            this->pump(Each, IsForth);
        });
  }

  bool isCutDue(Pair &Each, std::size_t Count) {
    Each.AnswerBytes += Count;
    const std::uint64_t Limit = this->Owner.CutAfter;
    return Limit > 0 && Each.AnswerBytes >= Limit;
  }

  void cut(const PairPointer &Each) {
    boost::system::error_code Ignored;
    Each->Near.close(Ignored);
    Each->Far.close(Ignored);
    Each->Timer.cancel();
    Each->BackTimer.cancel();
    this->Pairs.erase(Each);
  }

  FaultProxy &Owner;
  const tcp::endpoint Upstream;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::set<PairPointer> Pairs;
  std::thread Thread;
};

FaultProxy::FaultProxy(std::uint16_t Upstream)
    : Running(std::make_unique<Worker>(*this, Upstream)) {
  this->Port = this->Running->port();
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::setRefusing(bool Refuse) {
  this->IsRefusing = Refuse;
  if (Refuse)
    this->cutAll();
}

void FaultProxy::setHolding(bool Hold) { this->IsHolding = Hold; }

void FaultProxy::setLosingAnswers(bool Lose) { this->IsLosingAnswers = Lose; }

void FaultProxy::cutAll() { this->Running->cutAll(); }

void FaultProxy::setCutAfterAnswerBytes(std::uint64_t Bytes) {
  this->CutAfter = Bytes;
}

} // namespace tanagerlanding::test
