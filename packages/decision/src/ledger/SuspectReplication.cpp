#include "SuspectReplication.h"

namespace tanagerlanding {

void handleSuspectNotice(LedgerContext &Context, const SuspectNotice &Notice) {
  LedgerState &State = Context.State;
  if (!mergeNotice(State.Suspects, Notice, State.Now))
    return;
  Context.log("content_evidence_received",
              {{"content", std::to_string(Notice.Content.Value)},
               {"crashes",
                std::to_string(crashCountOf(State.Suspects, Notice.Content))},
               {"status", toString(statusOf(State.Suspects, Notice.Content))}});
  Context.add(
      NotifyRelays{noticeOf(State.Suspects, Notice.Content, State.Now)});
  Context.add(
      PersistSuspects{SuspectList{0, allNotices(State.Suspects, State.Now)}});
}

void sendEvidenceTo(LedgerContext &Context, const HostId &Host) {
  const LedgerState &State = Context.State;
  for (SuspectNotice &Each : allNotices(State.Suspects, State.Now))
    Context.send(Host, std::move(Each));
}

void recoverEvidence(LedgerContext &Context, const SuspectsRecovered &Event) {
  LedgerState &State = Context.State;
  for (SuspectNotice Each : Event.Stored.Notices) {
    for (SuspectNotice::Crash &Crash : Each.Crashes)
      Crash.Age += Event.Age;
    if (Each.ClearedAge)
      *Each.ClearedAge += Event.Age;
    mergeNotice(State.Suspects, Each, State.Now);
  }
}

} // namespace tanagerlanding
