#include "Membership.h"

#include "CallAdmission.h"
#include "CallAttempts.h"
#include "CallOutcomes.h"
#include "Ownership.h"
#include "Quarantine.h"
#include "tanagerlanding/decision/SidecarReducer.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

bool isTargetHost(const EntryState &State, const HostId &Host) {
  const auto Spec = State.Accepted.Hosts.find(Host);
  return Spec != State.Accepted.Hosts.end() &&
         Spec->second.Role == HostRole::Target;
}

void indexTargets(EntryState &State) {
  State.TargetsByService.clear();
  for (const auto &[Name, Host] : State.Accepted.Hosts) {
    if (Host.Role == HostRole::Target && State.Accepted.isAllowed(Host))
      State.TargetsByService[Host.Service].push_back(Name);
  }
}

} // namespace

void sendKeptPrefixes(EntryContext &Context, const HostId &Host) {
  KeepPrefixes Kept;
  for (const auto &[Id, Shard] : Context.State.Owned) {
    for (const auto &[Program, Runtime] : Shard.Programs) {
      const auto DurableState = Shard.DurableState.find(Program);
      if (DurableState == Shard.DurableState.end())
        continue;
      for (const auto &[Agent, Queue] : Runtime.AgentQueues) {
        const auto History = DurableState->second.Agents.find(Agent);
        if (!Queue.IsPrefixReleased &&
            History != DurableState->second.Agents.end() &&
            History->second.LastTarget == Host)
          Kept.Prefixes.push_back(prefixName(Program, Agent));
      }
    }
  }
  Context.send(Host, std::move(Kept));
}

void sendKeptPrefixesToAll(EntryContext &Context) {
  for (const auto &[Host, Peer] : Context.State.Peers) {
    if (Peer.IsConnected && isTargetHost(Context.State, Host))
      sendKeptPrefixes(Context, Host);
  }
}

bool isEntryHost(const EntryState &State, const HostId &Host) {
  const auto Spec = State.Accepted.Hosts.find(Host);
  return Spec != State.Accepted.Hosts.end() &&
         Spec->second.Role == HostRole::Entry;
}

bool isEntryLive(const EntryState &State, const HostId &Host) {
  const auto Found = State.Peers.find(Host);
  if (Found == State.Peers.end() || !isEntryHost(State, Host))
    return false;
  const PeerView &Peer = Found->second;
  return Peer.IsConnected && !Peer.IsLeaving &&
         State.Now < Peer.LastMessageAt + State.Options.PeerHeartbeatTimeout;
}

void handlePeerConnected(EntryContext &Context, const PeerConnected &Event) {
  const Hello &Greeting = Event.Greeting;
  PeerView &Peer = Context.State.Peers[Greeting.Host];
  const bool IsNewInstance = Peer.Instance != Greeting.Instance;
  Peer.IsConnected = true;
  Peer.Instance = Greeting.Instance;
  Peer.Holder = Greeting.Holder;
  Peer.Version = Greeting.Version;
  Peer.LastMessageAt = Context.now();
  if (IsNewInstance)
    Peer.IsLeaving = false;
  Context.log("peer_connected", {{"host", Greeting.Host.Value},
                                 {"instance", Greeting.Instance.Value}});
  if (isEntryHost(Context.State, Greeting.Host)) {
    sendSuspicions(Context, Greeting.Host);
    if (Greeting.Holder)
      handleHolderConnected(Context, Greeting.Host, *Greeting.Holder);
    return;
  }
  sendKeptPrefixes(Context, Greeting.Host);
  resolveAttemptsAt(Context, Greeting.Host, Greeting.Instance);
}

void handlePeerDisconnected(EntryContext &Context,
                            const PeerDisconnected &Event) {
  PeerView &Peer = Context.State.Peers[Event.Host];
  Peer.IsConnected = false;
  Context.log("peer_disconnected", {{"host", Event.Host.Value}});
  if (isEntryHost(Context.State, Event.Host)) {
    failForwarded(Context, Event.Host);
    return;
  }
  Context.State.Targets[Event.Host].IsHealthy = false;
  suspendAttemptsAt(Context, Event.Host);
}

void sendHeartbeats(EntryContext &Context) {
  EntryState &State = Context.State;
  if (State.Now < State.LastHeartbeat + State.Options.HeartbeatInterval)
    return;
  State.LastHeartbeat = State.Now;
  for (const auto &[Host, Peer] : State.Peers) {
    if (Peer.IsConnected)
      Context.send(Host, Heartbeat{State.Accepted.Version, std::nullopt});
  }
}

void handleInventory(EntryContext &Context, const InventoryObserved &Event) {
  Inventory &Present = Context.State.Accepted;
  if (!(Present.Version < Event.Accepted.Version) && !Present.Hosts.empty())
    return;
  Present = Event.Accepted;
  indexTargets(Context.State);
  Context.log("configuration_in_force",
              {{"version", std::to_string(Present.Version.Value)}});
  for (const auto &[Host, Peer] : Context.State.Peers) {
    if (Peer.IsConnected && Peer.Version < Present.Version)
      Context.send(Host, ConfigOffer{Present.Version, Present.Document});
  }
}

void handleHeartbeat(EntryContext &Context, const HostId &Host,
                     const Heartbeat &Beat) {
  Context.State.Peers[Host].Version = Beat.Version;
  const Inventory &Present = Context.State.Accepted;
  if (Beat.Version < Present.Version)
    Context.send(Host, ConfigOffer{Present.Version, Present.Document});
}

void handleLoad(EntryContext &Context, const HostId &Host,
                const LoadReport &Report) {
  TargetView &Target = Context.State.Targets[Host];
  Target.Running = Report.Running;
  Target.Queued = Report.Queued;
  Target.Capacity = std::max<std::uint32_t>(1, Report.Capacity);
  Target.IsHealthy = Report.IsHealthy;
  Target.IsLeaving = Report.IsLeaving;
  Target.OwnAtReport = Target.OwnOutstanding;
  handleHeartbeat(Context, Host, Heartbeat{Report.Version, std::nullopt});
}

} // namespace tanagerlanding
