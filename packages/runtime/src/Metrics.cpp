#include "tanagerlanding/runtime/Metrics.h"

#include <sstream>

namespace tanagerlanding {

namespace {

constexpr unsigned BucketCount = 24;
constexpr double FirstBoundMillis = 0.1;
constexpr double LastBoundMillis = 100000;
constexpr const char *Prefix = "tanagerlanding_";

/// Returns a label's value with the characters escaped that would end it.
std::string escaped(const std::string &Text) {
  std::string Escaped;
  for (const char Each : Text) {
    if (Each == '\n') {
      Escaped += "\\n";
      continue;
    }
    if (Each == '"' || Each == '\\')
      Escaped += '\\';
    Escaped += Each;
  }
  return Escaped;
}

} // namespace

void Metrics::count(const std::string &Name, const std::string &Cause,
                    std::uint64_t Amount) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Counters[{Name, Cause}] += Amount;
}

void Metrics::set(const std::string &Name, double Value) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Gauges[Name] = Value;
}

void Metrics::replaceSeries(const std::string &Name, const std::string &Label,
                            const std::map<std::string, double> &ByLabel) {
  std::map<std::string, double> Series;
  for (const auto &[Text, Value] : ByLabel)
    Series['{' + Label + "=\"" + escaped(Text) + "\"}"] = Value;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->LabelledGauges[Name] = std::move(Series);
}

void Metrics::observe(const std::string &Name, double Millis) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  auto Found = this->Histograms.find(Name);
  if (Found == this->Histograms.end()) {
    HistogramData Fresh{boost::histogram::make_histogram(Axis(
                            BucketCount, FirstBoundMillis, LastBoundMillis)),
                        0, 0};
    Found = this->Histograms.emplace(Name, std::move(Fresh)).first;
  }
  Found->second.Buckets(Millis);
  Found->second.Sum += Millis;
  ++Found->second.Count;
}

std::string Metrics::render() const {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::ostringstream Text;
  for (const auto &[Key, Value] : this->Counters)
    Text << Prefix << Key.first << "{cause=\"" << Key.second << "\"} " << Value
         << '\n';
  for (const auto &[Name, Value] : this->Gauges)
    Text << Prefix << Name << ' ' << Value << '\n';
  for (const auto &[Name, Series] : this->LabelledGauges) {
    for (const auto &[Labels, Value] : Series)
      Text << Prefix << Name << Labels << ' ' << Value << '\n';
  }
  for (const auto &[Name, Each] : this->Histograms) {
    double Below = Each.Buckets.at(-1);
    for (unsigned Index = 0; Index < BucketCount; ++Index) {
      Below += Each.Buckets.at(static_cast<int>(Index));
      Text << Prefix << Name << "_bucket{le=\""
           << Each.Buckets.axis().bin(static_cast<int>(Index)).upper() << "\"} "
           << Below << '\n';
    }
    Text << Prefix << Name << "_bucket{le=\"+Inf\"} " << Each.Count << '\n'
         << Prefix << Name << "_sum " << Each.Sum << '\n'
         << Prefix << Name << "_count " << Each.Count << '\n';
  }
  return Text.str();
}

} // namespace tanagerlanding
