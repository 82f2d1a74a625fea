#include "tanagerlanding/keyvalue/KeyValueClient.h"

namespace tanagerlanding {

namespace {

/// The service answers within milliseconds, or a few hundred when it is slow;
/// after this time the answer is taken as lost.
constexpr Milliseconds CallTimeout{1000};

/// Returns the timeout of a call. A watch may also take the time for which the
/// service may delay its answer.
Milliseconds timeoutFor(const KeyValueOperation &Operation) {
  const auto *Watch = std::get_if<WatchRange>(&Operation);
  return Watch ? Watch->Timeout + CallTimeout : CallTimeout;
}

} // namespace

KeyValueClient::KeyValueClient(EventLoop &Loop, std::string Url)
    : KeyValueClient(Loop, std::move(Url), makeEtcdDialect()) {}

KeyValueClient::KeyValueClient(EventLoop &Loop, std::string Url,
                               KeyValueDialect Dialect)
    : Client(Loop), Url(std::move(Url)), Dialect(std::move(Dialect)) {}

void KeyValueClient::call(const KeyValueOperation &Operation,
                          ReplyCallback Done) {
  const auto Encoded = this->Dialect.Encode(Operation);
  if (!Encoded) {
    Done(Encoded.error());
    return;
  }
  ++this->Calls;
  HttpRequest Request;
  Request.Method = Encoded.value().Method;
  Request.Url = this->Url + Encoded.value().Path;
  Request.Body = Encoded.value().Body;
  Request.Timeout = timeoutFor(Operation);
  if (!Request.Body.empty())
    Request.withHeader("Content-Type: application/json");
  this->Client.start(
      std::move(Request), {},
      [this, Operation, Done = std::move(Done)](const HttpOutcome &Outcome) {
        Done(this->Dialect.Decode(Operation, Outcome));
      });
}

void KeyValueClient::readPrefix(const std::string &Prefix, ReadCallback Done) {
  this->call(ReadRange{Prefix, {}}, [Done = std::move(Done)](auto Reply) {
    if (!Reply) {
      Done(Reply.error());
      return;
    }
    Done(std::move(std::get<RangePage>(Reply.value()).Items));
  });
}

void KeyValueClient::writeIfUnchanged(const std::string &Key,
                                      const std::string &Value,
                                      Revision Expected, WriteCallback Done) {
  this->write(ConditionalWrite{{{Key, Expected}}, {{Key, Value, LeaseId()}}},
              std::move(Done));
}

void KeyValueClient::write(ConditionalWrite Operation, WriteCallback Done) {
  this->call(Operation, [Done = std::move(Done)](auto Reply) {
    if (!Reply) {
      Done(Reply.error());
      return;
    }
    Done(std::move(std::get<WriteAnswer>(Reply.value())));
  });
}

} // namespace tanagerlanding
