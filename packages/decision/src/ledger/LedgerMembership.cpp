#include "LedgerMembership.h"

#include "LedgerRecords.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

std::string namesOf(const std::vector<LedgerMember> &Members) {
  std::string Names;
  for (const LedgerMember &Each : Members)
    Names += (Names.empty() ? "" : ",") + Each.Host.Value;
  return Names;
}

/// Returns whether another replica has been registered on the host of a member.
/// The host has returned with an empty disk, so the member's records are lost
/// for good.
bool isReplaced(const LedgerState &State, const LedgerMember &Member) {
  const auto Present = State.RegisteredReplicas.find(Member.Host);
  return Present != State.RegisteredReplicas.end() &&
         !(Present->second.Holder == Member.Holder);
}

/// Returns whether a member counts as failed: it has been replaced, another
/// replica has been announced on its host, or it has had no registration for
/// MissingRegistrationTimeout.
bool hasFailed(const LedgerState &State, const LedgerMember &Member) {
  if (isReplaced(State, Member))
    return true;
  const auto Announced = State.AnnouncedHolders.find(Member.Host);
  if (Announced != State.AnnouncedHolders.end() &&
      !(Announced->second == Member.Holder))
    return true;
  const auto Missing = State.MissingSince.find(Member.Holder);
  return Missing != State.MissingSince.end() &&
         State.Options.MissingRegistrationTimeout <=
             State.Now - Missing->second;
}

bool isRetiring(const LedgerState &State, const LedgerMember &Member) {
  return State.RetiringHosts.count(Member.Host) > 0;
}

/// Returns the registered replicas that may join, those of zones with the
/// fewest members first.
std::vector<LedgerMember> candidatesFor(const LedgerState &State,
                                        const std::vector<LedgerMember> &Kept) {
  std::vector<LedgerMember> Found;
  for (const auto &[Host, Each] : State.RegisteredReplicas) {
    if (!containsHolder(Kept, Each.Holder) && !isRetiring(State, Each) &&
        !hasFailed(State, Each))
      Found.push_back(Each);
  }
  const auto MembersInZone = [&Kept](const LedgerMember &Each) {
    return std::count_if(
        Kept.begin(), Kept.end(),
        [&](const LedgerMember &Other) { return Other.Zone == Each.Zone; });
  };
  std::stable_sort(Found.begin(), Found.end(),
                   [&](const LedgerMember &Left, const LedgerMember &Right) {
                     return MembersInZone(Left) < MembersInZone(Right);
                   });
  return Found;
}

/// Returns the replicas that should be members. A failed member remains until
/// another replica can replace it, since its disk may become available again.
/// One that has been replaced has no records and never answers, so it only
/// makes quorums harder to reach.
std::vector<LedgerMember> desiredMembers(const LedgerState &State) {
  const std::size_t DesiredSize = 2 * State.ToleratedFailures + 1;
  std::vector<LedgerMember> Kept;
  for (const LedgerMember &Each : State.View.Current) {
    if (!hasFailed(State, Each) && !isRetiring(State, Each))
      Kept.push_back(Each);
  }
  // A change in progress continues with the replicas that are already copying.
  for (const LedgerMember &Each : State.View.Next) {
    if (Kept.size() < DesiredSize && !containsHolder(Kept, Each.Holder) &&
        !hasFailed(State, Each) && !isRetiring(State, Each))
      Kept.push_back(Each);
  }
  while (Kept.size() < DesiredSize) {
    const auto Candidates = candidatesFor(State, Kept);
    if (Candidates.empty())
      break;
    Kept.push_back(Candidates.front());
  }
  for (const LedgerMember &Each : State.View.Current) {
    if (Kept.size() < DesiredSize && !containsHolder(Kept, Each.Holder) &&
        !isRetiring(State, Each) && !isReplaced(State, Each))
      Kept.push_back(Each);
  }
  // Retiring and failed members remain if f or fewer live members would be
  // left: these could all fail at once, and are fewer than a write quorum.
  for (const LedgerMember &Each : State.View.Current) {
    const auto Live = std::count_if(Kept.begin(), Kept.end(),
                                    [&State](const LedgerMember &Other) {
                                      return !hasFailed(State, Other);
                                    });
    const bool IsEnough =
        State.ToleratedFailures < static_cast<std::size_t>(Live);
    if (!IsEnough && !containsHolder(Kept, Each.Holder))
      Kept.push_back(Each);
  }
  return Kept;
}

bool isSameSet(const std::vector<LedgerMember> &Left,
               const std::vector<LedgerMember> &Right) {
  return Left.size() == Right.size() &&
         std::all_of(Left.begin(), Left.end(), [&](const LedgerMember &Each) {
           return containsHolder(Right, Each.Holder);
         });
}

/// Returns the members with their currently registered addresses.
std::vector<LedgerMember> withAddresses(const LedgerState &State,
                                        std::vector<LedgerMember> Members) {
  for (LedgerMember &Each : Members) {
    const auto Present = State.RegisteredReplicas.find(Each.Host);
    if (Present != State.RegisteredReplicas.end() &&
        Present->second.Holder == Each.Holder)
      Each = Present->second;
  }
  return Members;
}

std::size_t countMissingFrom(const std::vector<LedgerMember> &Set,
                             const std::vector<LedgerMember> &Other) {
  return static_cast<std::size_t>(
      std::count_if(Set.begin(), Set.end(), [&](const LedgerMember &Each) {
        return !containsHolder(Other, Each.Holder);
      }));
}

/// Returns whether a member of the next view has to copy all records first.
///
/// A durable record is stored on f+1 current members. Each member that leaves
/// removes at most one copy, and each that joins adds one, since it copies all
/// records. If at least as many members join as leave, f+1 copies remain and
/// the members that stay need not copy anything. Otherwise they must copy all
/// records to replace the copies that are removed.
bool mustCopy(const LedgerView &View, const HolderId &Holder) {
  if (!containsHolder(View.Current, Holder))
    return true;
  return countMissingFrom(View.Next, View.Current) <
         countMissingFrom(View.Current, View.Next);
}

bool isChangeComplete(const LedgerState &State) {
  const auto &Next = State.View.Next;
  return State.View.isChanging() &&
         std::all_of(Next.begin(), Next.end(), [&](const LedgerMember &Each) {
           const auto Synced = State.SyncedViews.find(Each.Holder);
           const bool HasCopied = Synced != State.SyncedViews.end() &&
                                  Synced->second == State.View.Version;
           return HasCopied || !mustCopy(State.View, Each.Holder);
         });
}

std::optional<LedgerView> firstView(const LedgerState &State) {
  const std::size_t DesiredSize = 2 * State.ToleratedFailures + 1;
  // A smaller set could be lost at once, with all records that it has
  // acknowledged.
  const std::size_t MinimumSize = State.ToleratedFailures + 1;
  const bool HasWaited =
      State.Options.BootstrapWait <= State.Now - State.ServiceSnapshotAt;
  const std::size_t Present = State.RegisteredReplicas.size();
  if (Present < MinimumSize || (Present < DesiredSize && !HasWaited))
    return std::nullopt;
  LedgerView View;
  View.Version = ViewVersion(1);
  View.ToleratedFailures = State.ToleratedFailures;
  View.Current = desiredMembers(State);
  return View;
}

/// Returns the view that should replace the present one, if any.
std::optional<LedgerView> nextView(const LedgerState &State) {
  if (State.ViewRevision.Value == 0)
    return firstView(State);
  LedgerView View = State.View;
  View.Version = ViewVersion(State.View.Version.Value + 1);
  View.ToleratedFailures = State.ToleratedFailures;
  if (isChangeComplete(State)) {
    View.Current = withAddresses(State, State.View.Next);
    View.Next.clear();
    return View;
  }
  const std::vector<LedgerMember> Desired = desiredMembers(State);
  if (State.View.isChanging() && isSameSet(Desired, State.View.Next))
    return std::nullopt;
  View.Current = withAddresses(State, State.View.Current);
  View.Next = withAddresses(State, Desired);
  if (!isSameSet(Desired, State.View.Current))
    return View;
  // Records written during the change are on a write quorum of Current as
  // well, so an incomplete change can be cancelled without copying records.
  View.Next.clear();
  if (State.View.isChanging() || !(View.Current == State.View.Current))
    return View;
  return std::nullopt;
}

/// Returns how long this replica waits for others to write a due view.
Milliseconds proposalDelay(const LedgerState &State) {
  int Rank = 0;
  for (const auto &[Host, Each] : State.RegisteredReplicas) {
    if (Host < State.Self.Host && !isRetiring(State, Each))
      ++Rank;
  }
  return State.Options.ProposalStagger * Rank;
}

void proposeView(LedgerContext &Context) {
  LedgerState &State = Context.State;
  const auto View = nextView(State);
  if (!View) {
    State.ProposalDueSince.reset();
    return;
  }
  if (!State.ProposalDueSince)
    State.ProposalDueSince = State.Now;
  const bool IsDue =
      proposalDelay(State) <= State.Now - *State.ProposalDueSince &&
      State.Options.RetryInterval <= State.Now - State.ProposedAt;
  if (!IsDue)
    return;
  State.ProposedAt = State.Now;
  State.ProposedVersion = View->Version;
  Context.log(
      "ledger_view_proposed",
      {{"version", std::to_string(View->Version.Value)},
       {"current", namesOf(View->Current)},
       {"next", namesOf(View->Next)},
       {"expected_revision", std::to_string(State.ViewRevision.Value)}});
  Context.add(WriteLedgerView{State.ViewRevision, *View});
}

void reportRetirement(LedgerContext &Context) {
  LedgerState &State = Context.State;
  if (State.RetiringHosts.count(State.Self.Host) == 0)
    return;
  const bool IsMember =
      containsHolder(State.View.allMembers(), State.Self.Holder);
  const bool IsEmpty = State.View.Version.Value > 0 && !IsMember;
  // A host that is no longer a member reports only the completion, since two
  // reports sent at the same time may arrive in either order.
  if (!State.HasReportedStart && !IsEmpty) {
    Context.log("retirement_started", {{"host", State.Self.Host.Value}});
    Context.add(ReportRetirement{State.Self.Host, false});
  }
  State.HasReportedStart = true;
  if (!IsEmpty || State.HasReportedCompletion)
    return;
  State.HasReportedCompletion = true;
  Context.log("retirement_completed",
              {{"host", State.Self.Host.Value},
               {"view", std::to_string(State.View.Version.Value)}});
  Context.add(ReportRetirement{State.Self.Host, true});
}

/// Returns whether this replica is a current member and no registered member
/// has a lower host id.
bool isFirstMember(const LedgerState &State) {
  const auto &Members = State.View.Current;
  return containsHolder(Members, State.Self.Holder) &&
         std::none_of(Members.begin(), Members.end(),
                      [&State](const auto &Each) {
                        return Each.Host < State.Self.Host &&
                               State.RegisteredReplicas.count(Each.Host) > 0;
                      });
}

/// Reports the completed retirement of lost hosts, which can't report it
/// themselves. No record depends on them once they are out of the view.
void reportRetirementOfLostHosts(LedgerContext &Context) {
  LedgerState &State = Context.State;
  const auto Members = State.View.allMembers();
  for (const HostId &Host : State.RetiringHosts) {
    if (State.RegisteredReplicas.count(Host) > 0) {
      State.RetiringMissingSince.erase(Host);
      continue;
    }
    const Instant Since =
        State.RetiringMissingSince.emplace(Host, State.Now).first->second;
    const bool IsMember = std::any_of(
        Members.begin(), Members.end(),
        [&Host](const LedgerMember &Each) { return Each.Host == Host; });
    const bool IsDue =
        State.Options.MissingRegistrationTimeout <= State.Now - Since;
    if (IsMember || !IsDue || !isFirstMember(State) ||
        !State.ReportedLostHosts.insert(Host).second)
      continue;
    Context.log("retirement_completed_for_lost",
                {{"host", Host.Value},
                 {"view", std::to_string(State.View.Version.Value)}});
    Context.add(ReportRetirement{Host, true});
  }
}

void broadcastView(LedgerContext &Context) {
  for (const LedgerMember &Each : Context.State.View.allMembers()) {
    if (!(Each.Holder == Context.State.Self.Holder))
      Context.send(Each.Host, ViewOffer{Context.State.View});
  }
}

void startPull(LedgerContext &Context) {
  LedgerState &State = Context.State;
  RecordsPull Pull;
  Pull.View = State.View.Version;
  for (const LedgerMember &Each : State.View.Current) {
    if (!(Each.Holder == State.Self.Holder))
      Pull.Sources[Each.Holder] = {};
  }
  State.Pull = std::move(Pull);
  Context.log("records_pull_started",
              {{"view", std::to_string(State.View.Version.Value)},
               {"sources", namesOf(State.View.Current)}});
  State.Pull->RequestedAt = State.Now;
  // Asks only the nearest read quorum, in which this replica counts if it is a
  // current member; retries ask all sources.
  std::size_t Needed = State.View.readQuorum();
  for (const LedgerMember &Each : nearestFirst(State)) {
    if (Needed == 0)
      return;
    --Needed;
    if (!(Each.Holder == State.Self.Holder))
      Context.send(Each.Host, PullRecords{State.View, {}, 0});
  }
}

/// Returns whether a page continues what was received from its source. A source
/// that was restarted begins anew; late pages of earlier requests do neither.
bool isNextPage(const RecordsPull::Source &Source, const RecordsPage &Page) {
  if (Page.Run == Source.Run)
    return Page.Cursor == Source.Cursor;
  return Page.Cursor == 0;
}

} // namespace

bool isCopying(const LedgerState &State) {
  const bool IsRequired = containsHolder(State.View.Next, State.Self.Holder) &&
                          mustCopy(State.View, State.Self.Holder);
  return IsRequired && !(State.Pull && State.Pull->IsComplete);
}

std::vector<LedgerMember> nearestFirst(const LedgerState &State) {
  std::vector<LedgerMember> Members = State.View.Current;
  const auto Distance = [&State](const LedgerMember &Each) {
    if (Each.Holder == State.Self.Holder)
      return 0;
    const bool IsPresent = State.RegisteredReplicas.count(Each.Host) > 0 &&
                           !hasFailed(State, Each);
    if (!IsPresent)
      return 3;
    return Each.Zone == State.Self.Zone ? 1 : 2;
  };
  std::stable_sort(Members.begin(), Members.end(),
                   [&](const LedgerMember &Left, const LedgerMember &Right) {
                     return Distance(Left) < Distance(Right);
                   });
  return Members;
}

void adoptView(LedgerContext &Context, const LedgerView &View) {
  LedgerState &State = Context.State;
  if (!(State.View.Version < View.Version))
    return;
  State.View = View;
  State.Pull.reset();
  State.ProposalDueSince.reset();
  Context.log("ledger_view_adopted",
              {{"version", std::to_string(View.Version.Value)},
               {"current", namesOf(View.Current)},
               {"next", namesOf(View.Next)}});
  Context.add(PersistLedgerView{View});
  if (!containsHolder(View.allMembers(), State.Self.Holder))
    State.MemberSince.reset();
  else if (!State.MemberSince)
    State.MemberSince = State.Now;
  // Other members may poll the key-value service less often than this one.
  if (View.Version == State.ProposedVersion)
    broadcastView(Context);
  continuePull(Context);
}

Milliseconds watchDelay(const LedgerState &State) {
  const LedgerOptions &Options = State.Options;
  if (State.View.Version.Value == 0)
    return Options.FirstMemberWatchDelay;
  return isFirstMember(State) ? Options.FirstMemberWatchDelay
                              : Options.OtherMembersWatchDelay;
}

void reconcileMembership(LedgerContext &Context) {
  LedgerState &State = Context.State;
  if (!State.HasServiceSnapshot)
    return;
  for (const LedgerMember &Each : State.View.allMembers()) {
    if (State.RegisteredReplicas.count(Each.Host) > 0)
      State.MissingSince.erase(Each.Holder);
    else
      State.MissingSince.emplace(Each.Holder, State.Now);
  }
  reportRetirement(Context);
  reportRetirementOfLostHosts(Context);
  proposeView(Context);
}

void continuePull(LedgerContext &Context) {
  LedgerState &State = Context.State;
  if (!isCopying(State))
    return;
  // After a restart the view is known, but not which records were copied.
  if (!State.Pull) {
    startPull(Context);
    return;
  }
  if (State.Now - State.Pull->RequestedAt < State.Options.RetryInterval)
    return;
  if (State.Pull->HasFailed) {
    if (State.Pull->PendingTickets.empty())
      startPull(Context);
    return;
  }
  State.Pull->RequestedAt = State.Now;
  for (const LedgerMember &Each : State.View.Current) {
    const auto Source = State.Pull->Sources.find(Each.Holder);
    if (Source != State.Pull->Sources.end() && !Source->second.IsDone)
      Context.send(Each.Host, PullRecords{State.View, Source->second.Run,
                                          Source->second.Cursor});
  }
}

void handleRecordsPage(LedgerContext &Context, const HostId &Peer,
                       const RecordsPage &Page) {
  LedgerState &State = Context.State;
  if (!State.Pull || State.Pull->HasFailed || !(State.Pull->View == Page.View))
    return;
  const auto Source = State.Pull->Sources.find(Page.Holder);
  if (Source == State.Pull->Sources.end() || Source->second.IsDone ||
      !isNextPage(Source->second, Page))
    return;
  for (const LedgerBatch &Each : Page.Batches) {
    if (const auto Ticket = persistCopy(Context, Each))
      State.Pull->PendingTickets.insert(*Ticket);
  }
  const bool HasAdvanced = Page.Cursor < Page.NextCursor;
  Source->second.Run = Page.Run;
  Source->second.Cursor = Page.NextCursor;
  Source->second.IsDone = Page.IsLast;
  if (!Page.IsLast && HasAdvanced) {
    State.Pull->RequestedAt = State.Now;
    Context.send(Peer, PullRecords{State.View, Page.Run, Page.NextCursor});
  }
  completePull(Context);
}

void failPull(LedgerState &State, std::uint64_t Ticket) {
  if (State.Pull && State.Pull->PendingTickets.erase(Ticket) > 0)
    State.Pull->HasFailed = true;
}

void completePull(LedgerContext &Context) {
  LedgerState &State = Context.State;
  if (!State.Pull || State.Pull->IsComplete || State.Pull->HasFailed ||
      !State.Pull->PendingTickets.empty())
    return;
  std::size_t Done =
      containsHolder(State.View.Current, State.Self.Holder) ? 1 : 0;
  for (const auto &[Holder, Source] : State.Pull->Sources)
    Done += Source.IsDone ? 1 : 0;
  if (Done < State.View.readQuorum())
    return;
  State.Pull->IsComplete = true;
  Context.log("records_pull_completed",
              {{"view", std::to_string(State.Pull->View.Value)},
               {"turns", std::to_string(State.Turns.size())}});
  Context.add(WriteSynced{State.Pull->View});
}

void handlePull(LedgerContext &Context, const HostId &Peer,
                const PullRecords &Request) {
  LedgerState &State = Context.State;
  adoptView(Context, Request.View);
  if (Request.View.Version < State.View.Version) {
    Context.send(Peer, ViewOffer{State.View});
    return;
  }
  SendRecords Page;
  Page.Peer = Peer;
  Page.Header.View = State.View.Version;
  Page.Header.Holder = State.Self.Holder;
  Page.Header.Run = State.Run;
  Page.Header.Cursor = Request.Run == State.Run ? Request.Cursor : 0;
  Page.Header.NextCursor = Page.Header.Cursor;
  std::uint32_t Bytes = 0;
  auto Each = State.StoredBatches.lower_bound(Page.Header.Cursor);
  for (; Each != State.StoredBatches.end() && Bytes < State.Options.PageBytes;
       ++Each) {
    Bytes += Each->second.Place.Length;
    Page.Batches.push_back(Each->second.Place);
    Page.Header.NextCursor = Each->first + 1;
  }
  // Batches accepted under an earlier view that are not durable yet may still
  // be acknowledged, so the last page has to wait for them.
  const bool HasOlderPending =
      std::any_of(State.PendingBatches.begin(), State.PendingBatches.end(),
                  [&](const auto &Entry) {
                    return Entry.second.View < State.View.Version;
                  });
  Page.Header.IsLast = Each == State.StoredBatches.end() && !HasOlderPending;
  Context.add(std::move(Page));
}

} // namespace tanagerlanding
