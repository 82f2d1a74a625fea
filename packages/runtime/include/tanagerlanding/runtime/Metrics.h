/// \file
/// Counters, gauges and histograms.
#ifndef TANAGERLANDING_RUNTIME_METRICS_H
#define TANAGERLANDING_RUNTIME_METRICS_H

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace tanagerlanding {

/// The metrics of one process. Thread-safe.
class Metrics {
public:
  Metrics() = default;
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds Amount to the counter with this name and cause label.
  void count(const std::string &Name, const std::string &Cause,
             std::uint64_t Amount = 1);

  /// Sets the gauge with this name to Value.
  void set(const std::string &Name, double Value);

  /// Replaces all series of the gauge with this name by one for each value of
  /// the label.
  void replaceSeries(const std::string &Name, const std::string &Label,
                     const std::map<std::string, double> &ByLabel);

  /// Adds a duration in milliseconds to the histogram with this name.
  void observe(const std::string &Name, double Millis);

  /// Returns all metrics in the Prometheus text format.
  std::string render() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));
  struct HistogramData {
    Histogram Buckets;
    double Sum = 0;
    std::uint64_t Count = 0;
  };

  mutable std::mutex Lock;
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, std::map<std::string, double>> LabelledGauges;
  std::map<std::string, HistogramData> Histograms;
};

} // namespace tanagerlanding

#endif
