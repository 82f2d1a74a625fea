#include "ClientCrowd.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <sstream>

namespace tanagerlanding::test {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t BlockBytes = 65536;
constexpr std::size_t EndlessBytes = 8 * 1024 * 1024;
constexpr std::size_t MinBlockBytes = 10000;
constexpr std::size_t ReadBytes = 4096;
/// Length of "HTTP/1.1 " and of a status.
constexpr std::size_t StatusStart = 9;
constexpr std::size_t StatusEnd = 12;
constexpr milliseconds PollInterval{50};
/// Polls without progress after which the server counts as not reading.
constexpr unsigned MaxQuietPolls = 20;
constexpr unsigned MaxPolls = 1200;

} // namespace

/// A connection and the state of its script.
struct ClientCrowd::Client {
  Client(boost::asio::io_context &Context, const ClientScript &Script)
      : Socket(Context), Script(Script) {}

  tcp::socket Socket;
  const ClientScript Script;
  /// Index of the part being sent: the start, the blocks, the end.
  std::size_t Part = 0;
  std::size_t SentBytes = 0;
  bool HasSentAll = false;
  bool IsClosed = false;
  std::array<char, ReadBytes> Input{};
  /// The first bytes received.
  std::string Received;
};

std::string repeatToSize(const std::string &Text, std::size_t Bytes) {
  std::string Repeated;
  while (Repeated.size() < Bytes)
    Repeated += Text;
  return Repeated;
}

std::string chunk(const std::string &Bytes) {
  std::ostringstream Size;
  Size << std::hex << Bytes.size();
  return Size.str() + "\r\n" + Bytes + "\r\n";
}

ClientScript endless(const std::string &Start, const std::string &Piece) {
  return {Start, repeatToSize(Piece, BlockBytes), EndlessBytes / BlockBytes,
          ""};
}

ClientScript chunkedBody(const std::string &Head, std::size_t ChunkBytes,
                         std::size_t BodyBytes) {
  const std::size_t PerBlock =
      std::max<std::size_t>(1, MinBlockBytes / ChunkBytes);
  const std::size_t Blocks = BodyBytes / ChunkBytes / PerBlock;
  const std::size_t Rest = BodyBytes - Blocks * PerBlock * ChunkBytes;
  std::string Block;
  for (std::size_t Number = 0; Number < PerBlock; ++Number)
    Block += chunk(std::string(ChunkBytes, 'x'));
  std::string End;
  for (std::size_t Left = Rest; Left > 0;) {
    const std::size_t Next = std::min(Left, ChunkBytes);
    End += chunk(std::string(Next, 'x'));
    Left -= Next;
  }
  return {Head, Block, Blocks, End};
}

ClientCrowd::ClientCrowd(std::uint16_t Port)
    : Port(Port), Thread([this] {
        const auto Work = boost::asio::make_work_guard(this->Context);
        this->Context.run();
      }) {}

ClientCrowd::~ClientCrowd() {
  this->Context.stop();
  this->Thread.join();
}

void ClientCrowd::add(const ClientScript &Script, unsigned Count) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (unsigned Number = 0; Number < Count; ++Number) {
    auto Each = std::make_shared<Client>(this->Context, Script);
    this->Clients.push_back(Each);
    boost::asio::post(this->Context, [this, Each] { this->start(Each); });
  }
}

void ClientCrowd::start(const ClientPtr &Each) {
  Each->Socket.async_connect(
      {boost::asio::ip::address_v4::loopback(), this->Port},
      [this, Each](const auto &Error) {
        const std::lock_guard<std::mutex> Guard(this->Lock);
        if (Error) {
          Each->IsClosed = true;
          return;
        }
        this->receive(Each);
        this->send(Each);
      });
}

void ClientCrowd::send(const ClientPtr &Each) {
  const ClientScript &Script = Each->Script;
  if (Script.Repeats + 2 <= Each->Part) {
    Each->HasSentAll = true;
    return;
  }
  const std::string &Bytes = Each->Part == 0                ? Script.Start
                             : Each->Part <= Script.Repeats ? Script.Block
                                                            : Script.End;
  ++Each->Part;
  boost::asio::async_write(Each->Socket, boost::asio::buffer(Bytes),
                           [this, Each](const auto &Error, std::size_t Count) {
                             const std::lock_guard<std::mutex> Guard(
                                 this->Lock);
                             Each->SentBytes += Count;
                             if (Error)
                               Each->HasSentAll = true;
                             else
                               this->send(Each);
                           });
}

void ClientCrowd::receive(const ClientPtr &Each) {
  Each->Socket.async_read_some(
      boost::asio::buffer(Each->Input),
      [this, Each](const auto &Error, std::size_t Count) {
        const std::lock_guard<std::mutex> Guard(this->Lock);
        if (Each->Received.size() < StatusEnd)
          Each->Received.append(Each->Input.data(), Count);
        if (!Error) {
          this->receive(Each);
          return;
        }
        Each->IsClosed = true;
        boost::system::error_code Ignored;
        Each->Socket.close(Ignored);
      });
}

bool ClientCrowd::areAllDone() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const ClientPtr &Each : this->Clients) {
    if (!Each->IsClosed && !Each->HasSentAll)
      return false;
  }
  return true;
}

std::size_t ClientCrowd::sentBytes() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::size_t Sum = 0;
  for (const ClientPtr &Each : this->Clients)
    Sum += Each->SentBytes;
  return Sum;
}

void ClientCrowd::settle() {
  std::size_t Sent = this->sentBytes();
  unsigned QuietPolls = 0;
  for (unsigned Poll = 0; Poll < MaxPolls && QuietPolls < MaxQuietPolls;
       ++Poll) {
    if (this->areAllDone())
      return;
    std::this_thread::sleep_for(PollInterval);
    const std::size_t SentNow = this->sentBytes();
    QuietPolls = Sent < SentNow ? 0 : QuietPolls + 1;
    Sent = SentNow;
  }
}

std::string ClientCrowd::describeStatuses() {
  std::ostringstream Text;
  for (const auto &[Status, Count] : this->statuses())
    Text << Status << ": " << Count << "; ";
  return Text.str();
}

std::map<int, unsigned> ClientCrowd::statuses() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::map<int, unsigned> Counts;
  for (const ClientPtr &Each : this->Clients) {
    if (StatusEnd <= Each->Received.size())
      ++Counts[std::atoi(
          Each->Received.substr(StatusStart, StatusEnd - StatusStart).c_str())];
    else if (Each->IsClosed)
      ++Counts[0];
  }
  return Counts;
}

std::string
playCrowd(std::uint16_t Port,
          const std::vector<std::pair<ClientScript, unsigned>> &Scripts,
          const std::function<void()> &Check) {
  std::string Statuses;
  {
    ClientCrowd Crowd(Port);
    for (const auto &[Script, Count] : Scripts)
      Crowd.add(Script, Count);
    Crowd.settle();
    Check();
    Statuses = Crowd.describeStatuses();
  }
  Check();
  return Statuses;
}

} // namespace tanagerlanding::test
