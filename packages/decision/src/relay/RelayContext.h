/// \file
/// The context that the relay's event handlers share.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYCONTEXT_H
#define TANAGERLANDING_DECISION_RELAY_RELAYCONTEXT_H

#include "tanagerlanding/decision/relay/RelayReducer.h"

#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// A relay's state and the effects collected while one event is handled.
class RelayContext {
public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  RelayContext(RelayState &State, std::vector<RelayEffect> &Effects)
      : State(State), Effects(Effects) {}

  void send(const HolderId &Holder, Message Body) {
    this->Effects.push_back(SendToReplica{Holder, std::move(Body)});
  }

  /// Sends a message to all connected replicas.
  void sendToReplicas(const Message &Body) {
    for (const HolderId &Each : this->State.ConnectedReplicas)
      this->send(Each, Body);
  }

  void log(const char *Event, Fields Values) {
    this->Effects.push_back(LogLine{Event, std::move(Values)});
  }

  /// Logs an event of one call, with the call's request, route, team,
  /// configuration version and age in milliseconds.
  void logCall(const char *Event, const RelayCall &Call, Fields Values) {
    Fields All = {{"request", Call.InboundRequest.Id.Value},
                  {"route", Call.Route.Name.Value},
                  {"team", Call.Team.value_or(TeamId()).Value},
                  {"config", std::to_string(Call.Version.Value)},
                  {"age_ms", millis(this->State.Now - Call.Arrived)}};
    All.insert(All.end(), Values.begin(), Values.end());
    this->log(Event, std::move(All));
  }

  void count(const char *Name, const char *Cause) {
    this->Effects.push_back(CountMetric{Name, Cause});
  }

  template <typename Effect> void add(Effect Each) {
    this->Effects.push_back(std::move(Each));
  }

  Instant now() const { return this->State.Now; }

  static std::string millis(Milliseconds Value) {
    return std::to_string(Value.count());
  }

  /// Returns a rate as text; empty if there is none.
  static std::string rate(const std::optional<RequestRate> &Value) {
    return Value ? std::to_string(Value->PerSecond) : std::string();
  }

  RelayState &State;
  std::vector<RelayEffect> &Effects;
};

} // namespace tanagerlanding

#endif
