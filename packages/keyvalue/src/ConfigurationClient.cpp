#include "tanagerlanding/keyvalue/ConfigurationClient.h"

#include "tanagerlanding/runtime/Identity.h"

#include <thread>

namespace tanagerlanding {

namespace {

constexpr int MaxWriteAttempts = 5;
constexpr std::chrono::milliseconds RetryDelay{300};

} // namespace

ConfigurationClient::ConfigurationClient(const std::string &Url,
                                         std::string Prefix)
    : Client(Loop, Url), Prefix(std::move(Prefix)) {}

Result<AcceptedConfiguration, PlatformError> ConfigurationClient::read() {
  Result<AcceptedConfiguration, PlatformError> Answer =
      PlatformError{PlatformError::Kind::Unreachable};
  const std::string Key = configurationKey(this->Prefix);
  this->Client.readPrefix(Key, [&](auto Read) {
    if (!Read) {
      Answer = Read.error();
    } else {
      AcceptedConfiguration Found;
      for (const KeyValue &Each : Read.value()) {
        if (Each.Key != Key)
          continue;
        Found.Stored = decodeConfiguration(Each.Value);
        Found.ModRevision = Each.ModRevision;
      }
      Answer = Found;
    }
    this->Loop.stop();
  });
  this->Loop.run();
  return Answer;
}

ChangeOutcome ConfigurationClient::change(const AcceptedConfiguration &Base,
                                          const std::string &Document) {
  const StoredConfiguration Next{ConfigVersion(Base.version().Value + 1),
                                 makeUniqueId(), Document};
  for (int Try = 0; Try < MaxWriteAttempts; ++Try) {
    Result<WriteAnswer, PlatformError> Answer =
        PlatformError{PlatformError::Kind::Unreachable};
    this->Client.writeIfUnchanged(configurationKey(this->Prefix),
                                  encodeConfiguration(Next), Base.ModRevision,
                                  [&](auto Written) {
                                    Answer = std::move(Written);
                                    this->Loop.stop();
                                  });
    this->Loop.run();
    if (Answer && Answer.value().HasSucceeded)
      return ChangeOutcome::Accepted;
    // The condition may have failed because an earlier attempt of this change
    // took effect.
    if (const auto Ended = this->resolve(Base, Next.WriteId))
      return *Ended;
    std::this_thread::sleep_for(RetryDelay);
  }
  return ChangeOutcome::Unknown;
}

std::optional<ChangeOutcome>
ConfigurationClient::resolve(const AcceptedConfiguration &Base,
                             const std::string &WriteId) {
  const auto Present = this->read();
  if (!Present)
    return std::nullopt;
  if (Present.value().Stored && Present.value().Stored->WriteId == WriteId)
    return ChangeOutcome::Accepted;
  if (Present.value().ModRevision != Base.ModRevision)
    return ChangeOutcome::Conflict;
  return std::nullopt;
}

} // namespace tanagerlanding
