#include "Quarantine.h"

#include "Membership.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

constexpr std::uint32_t CrashesToQuarantine = 2;
constexpr std::size_t SuspicionLimit = 10000;
constexpr Milliseconds SuspicionRetention{3600000};

void notifyEntries(EntryContext &Context, const SuspectNotice &Notice) {
  for (const auto &[Host, Peer] : Context.State.Peers) {
    if (Peer.IsConnected && isEntryHost(Context.State, Host))
      Context.send(Host, Notice);
  }
}

} // namespace

ContentStatus contentStatus(const EntryState &State, Fingerprint Content) {
  const auto Found = State.Suspects.find(Content);
  if (Found == State.Suspects.end())
    return ContentStatus::Trusted;
  return Found->second.Crashes >= CrashesToQuarantine
             ? ContentStatus::Quarantined
             : ContentStatus::Suspect;
}

void recordCrash(EntryContext &Context, Fingerprint Content, bool RanAlone) {
  Suspicion &Known = Context.State.Suspects[Content];
  Known.LastSeen = Context.now();
  if (Known.Crashes == 0 || RanAlone)
    ++Known.Crashes;
  Context.log("content_suspect",
              {{"fingerprint", std::to_string(Content.Value)},
               {"crashes", std::to_string(Known.Crashes)}});
  notifyEntries(Context, SuspectNotice{Content, Known.Crashes});
}

void clearSuspicion(EntryContext &Context, Fingerprint Content) {
  if (Context.State.Suspects.erase(Content) > 0)
    notifyEntries(Context, SuspectNotice{Content, 0});
}

void handleSuspect(EntryContext &Context, const SuspectNotice &Notice) {
  if (Notice.Crashes == 0) {
    Context.State.Suspects.erase(Notice.Content);
    return;
  }
  Suspicion &Known = Context.State.Suspects[Notice.Content];
  Known.Crashes = std::max(Known.Crashes, Notice.Crashes);
  Known.LastSeen = Context.now();
}

void sendSuspicions(EntryContext &Context, const HostId &Host) {
  for (const auto &[Content, Known] : Context.State.Suspects)
    Context.send(Host, SuspectNotice{Content, Known.Crashes});
}

void dropOldSuspicions(EntryContext &Context) {
  auto &Suspects = Context.State.Suspects;
  for (auto Item = Suspects.begin(); Item != Suspects.end();) {
    const bool IsOld =
        Context.now() - Item->second.LastSeen >= SuspicionRetention;
    Item = IsOld ? Suspects.erase(Item) : std::next(Item);
  }
  while (Suspects.size() > SuspicionLimit) {
    const auto Oldest = std::min_element(
        Suspects.begin(), Suspects.end(), [](const auto &A, const auto &B) {
          return A.second.LastSeen < B.second.LastSeen;
        });
    Suspects.erase(Oldest);
  }
}

} // namespace tanagerlanding
