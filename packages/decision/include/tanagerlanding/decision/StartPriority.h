/// \file
/// The priority of programs that start after all others.
#ifndef TANAGERLANDING_DECISION_STARTPRIORITY_H
#define TANAGERLANDING_DECISION_STARTPRIORITY_H

#include <cstdint>
#include <limits>

namespace tanagerlanding {

/// Stands in WaitingStarts for programs that can't meet their deadline any
/// more, whatever the priority of their team.
constexpr std::uint32_t OverdueStartPriority =
    std::numeric_limits<std::uint32_t>::max();

} // namespace tanagerlanding

#endif
