#include "LoadConversions.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

constexpr std::uint32_t MaxByte = 255;
constexpr std::int64_t AgeStepMillis = 8;
constexpr double SlowdownSteps = 25;
/// Slownesses are encoded by their logarithm: 1 is MiddleSlowness, a factor of
/// two is SlownessSteps; 0 means unknown.
constexpr double MiddleSlowness = 128;
constexpr double SlownessSteps = 32;
constexpr std::uint8_t HasReport = 1;

bool fits(std::uint32_t Value) { return Value <= MaxByte; }

/// Returns a number rounded to one of the values from Low to MaxByte.
std::uint8_t clampedByte(double Value, double Low) {
  return static_cast<std::uint8_t>(
      std::lround(std::clamp(Value, Low, static_cast<double>(MaxByte))));
}

/// Ages are rounded up, so that a report does not seem newer than it is.
std::uint8_t encodeAge(Milliseconds Age) {
  const auto Steps = (Age.count() + AgeStepMillis - 1) / AgeStepMillis;
  return static_cast<std::uint8_t>(std::clamp<std::int64_t>(Steps, 0, MaxByte));
}

std::int8_t encodeSent(std::int32_t Sent) {
  return static_cast<std::int8_t>(
      std::clamp<std::int32_t>(Sent, INT8_MIN, INT8_MAX));
}

wire::TargetLoadRow toRow(const TargetLoadRow &Row) {
  const TargetLoad Report = Row.Report.value_or(TargetLoad());
  const std::uint32_t Slots = Report.Slots.value_or(0);
  const bool IsReported =
      Row.Report && fits(Report.Running) && fits(Report.Waiting) && fits(Slots);
  const std::uint8_t Slowdown =
      Report.Slowdown ? clampedByte(*Report.Slowdown * SlowdownSteps, 1) : 0;
  const std::uint8_t Slowness =
      Row.Slowness
          ? clampedByte(
                MiddleSlowness + SlownessSteps * std::log2(*Row.Slowness), 1)
          : 0;
  if (!IsReported)
    return wire::TargetLoadRow(Row.Run.Value, 0, 0, 0, 0, encodeAge(Row.Age),
                               encodeSent(Row.Sent), Slowness, 0);
  return wire::TargetLoadRow(
      Row.Run.Value, static_cast<std::uint8_t>(Report.Running),
      static_cast<std::uint8_t>(Report.Waiting),
      static_cast<std::uint8_t>(Slots), Slowdown, encodeAge(Row.Age),
      encodeSent(Row.Sent), Slowness, HasReport);
}

TargetLoadRow fromRow(const wire::TargetLoadRow &Wire) {
  TargetLoadRow Row;
  Row.Run = TargetRunKey{Wire.run()};
  Row.Age = Milliseconds(Wire.age() * AgeStepMillis);
  Row.Sent = Wire.sent();
  if (Wire.slowness() > 0)
    Row.Slowness =
        std::exp2((Wire.slowness() - MiddleSlowness) / SlownessSteps);
  if ((Wire.flags() & HasReport) == 0)
    return Row;
  TargetLoad Report;
  Report.Running = Wire.running();
  Report.Waiting = Wire.waiting();
  if (Wire.slots() > 0)
    Report.Slots = Wire.slots();
  if (Wire.slowdown() > 0)
    Report.Slowdown = Wire.slowdown() / SlowdownSteps;
  Row.Report = Report;
  return Row;
}

template <typename Table, typename Message>
Table encodeRows(const Message &Body) {
  Table Encoded;
  Encoded.rows.reserve(Body.Rows.size());
  for (const TargetLoadRow &Each : Body.Rows)
    Encoded.rows.push_back(toRow(Each));
  return Encoded;
}

template <typename Message, typename Table>
Message decodeRows(const Table &Encoded) {
  Message Body;
  Body.Rows.reserve(Encoded.rows.size());
  for (const wire::TargetLoadRow &Each : Encoded.rows)
    Body.Rows.push_back(fromRow(Each));
  return Body;
}

} // namespace

wire::TargetLoadReportT toTable(const TargetLoadReport &Body) {
  return encodeRows<wire::TargetLoadReportT>(Body);
}

TargetLoadReport fromTable(const wire::TargetLoadReportT &Table) {
  return decodeRows<TargetLoadReport>(Table);
}

wire::TargetLoadViewT toTable(const TargetLoadView &Body) {
  return encodeRows<wire::TargetLoadViewT>(Body);
}

TargetLoadView fromTable(const wire::TargetLoadViewT &Table) {
  return decodeRows<TargetLoadView>(Table);
}

} // namespace tanagerlanding
