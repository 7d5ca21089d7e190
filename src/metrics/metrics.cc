#include "banyan/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace banyan {
namespace {

namespace acc = boost::accumulators;

using Quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Totals = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

// Prefix of all metric names.
constexpr std::string_view kPrefix = "banyan_";

}  // namespace

class Metrics::Summary {
 public:
  void Add(double seconds) {
    median_(seconds);
    p99_(seconds);
    totals_(seconds);
  }

  void Render(const std::string& name, std::ostream& out) const {
    out << name << "{quantile=\"0.5\"} " << acc::p_square_quantile(median_)
        << "\n"
        << name << "{quantile=\"0.99\"} " << acc::p_square_quantile(p99_)
        << "\n"
        << name << "{quantile=\"1\"} " << acc::max(totals_) << "\n"
        << name << "_sum " << acc::sum(totals_) << "\n"
        << name << "_count " << acc::count(totals_) << "\n";
  }

 private:
  Quantile median_{acc::quantile_probability = kMedian};
  Quantile p99_{acc::quantile_probability = kP99};
  Totals totals_;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Increment(std::string_view name, std::uint64_t amount) {
  const std::lock_guard lock(mutex_);
  values_[std::string(name)] += static_cast<double>(amount);
}

void Metrics::SetGauge(std::string_view name, double value) {
  const std::lock_guard lock(mutex_);
  values_[std::string(name)] = value;
}

void Metrics::Observe(std::string_view name, Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const std::lock_guard lock(mutex_);
  std::unique_ptr<Summary>& summary = summaries_[std::string(name)];
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->Add(seconds);
}

std::string Metrics::Render() const {
  std::ostringstream out;
  const std::lock_guard lock(mutex_);
  for (const auto& [name, value] : values_) {
    out << kPrefix << name << " " << value << "\n";
  }
  for (const auto& [name, summary] : summaries_) {
    summary->Render(std::string(kPrefix) + name, out);
  }
  return out.str();
}

}  // namespace banyan
