#include "Quarantine.h"

#include "Membership.h"

#include <sstream>

namespace tanagerlanding {

namespace {

void notifyEntries(EntryContext &Context, Fingerprint Content) {
  const SuspectNotice Notice =
      noticeOf(Context.State.Suspects, Content, Context.now());
  for (const auto &[Host, Peer] : Context.State.Peers) {
    if (Peer.IsConnected && isEntryHost(Context.State, Host))
      Context.send(Host, Notice);
  }
}

/// Returns the run of the target that an attempt has crashed. An entry does not
/// know when a target started, but each attempt can crash only one run.
TargetRun runCrashedBy(const AttemptId &Attempt) {
  std::ostringstream Text;
  Text << Attempt;
  return TargetRun{TargetId(Text.str()), 0};
}

} // namespace

void recordCallCrash(EntryContext &Context, const ActiveCall &Active) {
  const Fingerprint Content = Active.ContentFingerprint;
  const ObservedCrash Crash{Active.IsIsolated ? CrashExposure::Alone
                                              : CrashExposure::BeforeOutput,
                            Context.now()};
  recordCrash(Context.State.Suspects, Content, runCrashedBy(Active.Attempt),
              Crash);
  Context.log("content_suspect",
              {{"fingerprint", std::to_string(Content.Value)},
               {"crashes", std::to_string(crashCountOf(Context.State.Suspects,
                                                       Content))}});
  notifyEntries(Context, Content);
}

void clearSuspicion(EntryContext &Context, Fingerprint Content) {
  if (clearContent(Context.State.Suspects, Content, Context.now()))
    notifyEntries(Context, Content);
}

void handleSuspect(EntryContext &Context, const SuspectNotice &Notice) {
  mergeNotice(Context.State.Suspects, Notice, Context.now());
}

void sendSuspicions(EntryContext &Context, const HostId &Host) {
  for (const SuspectNotice &Each :
       allNotices(Context.State.Suspects, Context.now()))
    Context.send(Host, Each);
}

} // namespace tanagerlanding
