/// \file
/// Context passed to the handlers of the entry reducer.
#ifndef TANAGERLANDING_DECISION_ENTRYCONTEXT_H
#define TANAGERLANDING_DECISION_ENTRYCONTEXT_H

#include "tanagerlanding/decision/EntryReducer.h"

#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// The entry's state, and the effects collected while one event is handled.
class EntryContext {
public:
  EntryContext(EntryState &State, std::vector<EntryEffect> &Effects)
      : State(State), Effects(Effects) {}

  void send(const HostId &Host, Message Body) {
    this->Effects.push_back(SendHost{Host, std::move(Body)});
  }

  void count(const char *Name, const char *Cause) {
    this->Effects.push_back(CountMetric{Name, Cause});
  }

  void log(const char *Event,
           std::vector<std::pair<std::string, std::string>> Fields) {
    this->Effects.push_back(LogLine{Event, std::move(Fields)});
  }

  Instant now() const { return this->State.Now; }

  EntryState &State;
  std::vector<EntryEffect> &Effects;
};

} // namespace tanagerlanding

#endif
