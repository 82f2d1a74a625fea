#include "Prefixes.h"

#include "tanagerlanding/decision/SidecarReducer.h"

namespace tanagerlanding {

namespace {

void sendRelease(EntryContext &Context, const HostId &Target,
                 const ProgramId &Program, const AgentId &Agent) {
  if (!Target.Value.empty())
    Context.send(Target, ReleasePrefixes{{prefixName(Program, Agent)}});
}

} // namespace

void movePrefix(EntryContext &Context, AgentLine &Line, const LineRef &Ref,
                const HostId &Former, const HostId &Target) {
  if (!Line.PrefixReleased && Former != Target)
    sendRelease(Context, Former, Ref.Program, Ref.Agent);
  Line.PrefixReleased = false;
}

void holdPrefix(EntryContext &Context, const ProgramLedger &Ledger,
                AgentLine &Line, const LineRef &Ref) {
  if (Line.PrefixReleased)
    return;
  if (Ledger.Ended)
    releasePrefix(Context, Ledger, Line, Ref.Program, Ref.Agent);
  else
    Context.State.Due.emplace(Context.now() + Context.State.Options.PrefixHold,
                              Ref);
}

void releaseIdlePrefix(EntryContext &Context, const ProgramLedger &Ledger,
                       AgentLine &Line, const LineRef &Ref) {
  const Instant Until = Line.LastFinished + Context.State.Options.PrefixHold;
  if (!Line.PrefixReleased && Until <= Context.now())
    releasePrefix(Context, Ledger, Line, Ref.Program, Ref.Agent);
}

void releasePrefix(EntryContext &Context, const ProgramLedger &Ledger,
                   AgentLine &Line, const ProgramId &Program,
                   const AgentId &Agent) {
  if (Line.PrefixReleased)
    return;
  const auto History = Ledger.Agents.find(Agent);
  if (History == Ledger.Agents.end())
    return;
  Line.PrefixReleased = true;
  sendRelease(Context, History->second.LastTarget, Program, Agent);
}

} // namespace tanagerlanding
