/// \file
/// The context that all handlers of the ledger's reducer share.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERCONTEXT_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERCONTEXT_H

#include "tanagerlanding/decision/ledger/LedgerReducer.h"

#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// The state of the replica, and the effects collected for one event.
class LedgerContext {
public:
  LedgerContext(LedgerState &State, std::vector<LedgerEffect> &Effects)
      : State(State), Effects(Effects) {}

  void send(const HostId &Host, Message Body) {
    this->Effects.push_back(SendHost{Host, std::move(Body)});
  }

  void log(const char *Event,
           std::vector<std::pair<std::string, std::string>> Fields) {
    this->Effects.push_back(LogLine{Event, std::move(Fields)});
  }

  void count(const char *Name, const char *Cause) {
    this->Effects.push_back(CountMetric{Name, Cause});
  }

  template <typename Effect> void add(Effect Each) {
    this->Effects.push_back(std::move(Each));
  }

  LedgerState &State;
  std::vector<LedgerEffect> &Effects;
};

} // namespace tanagerlanding

#endif
