#include "StartConversions.h"

#include <cmath>

namespace tanagerlanding {

wire::ProgramStartRequestT toTable(const ProgramStartRequest &Body) {
  wire::ProgramStartRequestT Table;
  Table.service = Body.Service.Value;
  Table.asked_at_ms = Body.AskedAt.SinceStart.count();
  for (const WaitingStarts &Each : Body.Waiting)
    Table.waiting.emplace_back(Each.Priority, Each.Count);
  Table.in_flight = Body.InFlight;
  Table.slots = Body.Slots;
  Table.load_limit = Body.LoadLimit;
  Table.last_grant = Body.LastGrant;
  return Table;
}

ProgramStartRequest fromTable(const wire::ProgramStartRequestT &Table) {
  ProgramStartRequest Body;
  Body.Service = ServiceName(Table.service);
  Body.AskedAt = Instant{Milliseconds(Table.asked_at_ms)};
  for (const wire::WaitingStartsRow &Each : Table.waiting)
    Body.Waiting.push_back(WaitingStarts{Each.priority(), Each.count()});
  Body.InFlight = Table.in_flight;
  Body.Slots = Table.slots;
  // Any other value would spoil the sum over all relays.
  if (std::isfinite(Table.load_limit) && Table.load_limit > 0)
    Body.LoadLimit = Table.load_limit;
  Body.LastGrant = Table.last_grant;
  return Body;
}

wire::ProgramStartGrantT toTable(const ProgramStartGrant &Body) {
  wire::ProgramStartGrantT Table;
  Table.service = Body.Service.Value;
  Table.asked_at_ms = Body.AskedAt.SinceStart.count();
  Table.count = Body.Count;
  Table.sequence = Body.Sequence;
  Table.next_in_ms = Body.NextIn.count();
  return Table;
}

ProgramStartGrant fromTable(const wire::ProgramStartGrantT &Table) {
  ProgramStartGrant Body;
  Body.Service = ServiceName(Table.service);
  Body.AskedAt = Instant{Milliseconds(Table.asked_at_ms)};
  Body.Count = Table.count;
  Body.Sequence = Table.sequence;
  Body.NextIn = Milliseconds(Table.next_in_ms);
  return Body;
}

} // namespace tanagerlanding
