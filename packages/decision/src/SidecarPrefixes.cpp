#include "SidecarPrefixes.h"

namespace tanagerlanding {

std::string prefixName(const ProgramId &Program, const AgentId &Agent) {
  return Program.Value + "/" + Agent.Value;
}

Instant SidecarPrefixes::leaseEnd() const {
  return this->State.Now + this->State.Options.PrefixLease;
}

void SidecarPrefixes::hold(SidecarAttempt &Attempt) {
  const std::string Name = prefixName(Attempt.Work.Program, Attempt.Work.Agent);
  Attempt.HasNewPrefix = this->State.Prefixes.count(Name) == 0;
  this->State.Prefixes[Name] = HeldPrefix{Attempt.Owner, std::nullopt};
}

void SidecarPrefixes::leaseIfNew(const SidecarAttempt &Attempt) {
  if (!Attempt.HasNewPrefix)
    return;
  const auto Held = this->State.Prefixes.find(
      prefixName(Attempt.Work.Program, Attempt.Work.Agent));
  if (Held != this->State.Prefixes.end())
    Held->second.ExpiresAt = this->leaseEnd();
}

void SidecarPrefixes::leaseUntracked(const std::vector<std::string> &Held) {
  for (const std::string &Name : Held)
    this->State.Prefixes.emplace(Name,
                                 HeldPrefix{ConnectionId(), this->leaseEnd()});
}

void SidecarPrefixes::keep(ConnectionId Owner,
                           const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    this->State.Prefixes[Name] = HeldPrefix{Owner, std::nullopt};
}

void SidecarPrefixes::release(const std::vector<std::string> &Names) {
  for (const std::string &Name : Names)
    this->State.Prefixes.erase(Name);
  this->Effects.push_back(ReleaseTargetPrefixes{Names});
}

void SidecarPrefixes::leaseAllOf(ConnectionId Owner) {
  for (auto &[Name, Prefix] : this->State.Prefixes) {
    if (Prefix.Owner == Owner)
      Prefix.ExpiresAt = this->leaseEnd();
  }
}

void SidecarPrefixes::releaseExpired() {
  std::vector<std::string> Expired;
  for (auto Item = this->State.Prefixes.begin();
       Item != this->State.Prefixes.end();) {
    const std::optional<Instant> &Until = Item->second.ExpiresAt;
    if (!Until || this->State.Now < *Until) {
      ++Item;
      continue;
    }
    Expired.push_back(Item->first);
    Item = this->State.Prefixes.erase(Item);
  }
  if (!Expired.empty())
    this->Effects.push_back(ReleaseTargetPrefixes{Expired});
}

} // namespace tanagerlanding
