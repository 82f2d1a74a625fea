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

void movePrefix(EntryContext &Context, AgentQueue &Queue,
                const AgentQueueRef &Ref, const HostId &Former,
                const HostId &Target) {
  if (!Queue.IsPrefixReleased && Former != Target)
    sendRelease(Context, Former, Ref.Program, Ref.Agent);
  Queue.IsPrefixReleased = false;
}

void holdPrefix(EntryContext &Context, const ProgramState &DurableState,
                AgentQueue &Queue, const AgentQueueRef &Ref) {
  if (Queue.IsPrefixReleased)
    return;
  if (DurableState.HasEnded)
    releasePrefix(Context, DurableState, Queue, Ref.Program, Ref.Agent);
  else
    Context.State.Due.emplace(
        Context.now() + Context.State.Options.PrefixRetention, Ref);
}

void releaseIdlePrefix(EntryContext &Context, const ProgramState &DurableState,
                       AgentQueue &Queue, const AgentQueueRef &Ref) {
  const Instant Until =
      Queue.LastFinished + Context.State.Options.PrefixRetention;
  if (!Queue.IsPrefixReleased && Until <= Context.now())
    releasePrefix(Context, DurableState, Queue, Ref.Program, Ref.Agent);
}

void releasePrefix(EntryContext &Context, const ProgramState &DurableState,
                   AgentQueue &Queue, const ProgramId &Program,
                   const AgentId &Agent) {
  if (Queue.IsPrefixReleased)
    return;
  const auto History = DurableState.Agents.find(Agent);
  if (History == DurableState.Agents.end())
    return;
  Queue.IsPrefixReleased = true;
  sendRelease(Context, History->second.LastTarget, Program, Agent);
}

} // namespace tanagerlanding
