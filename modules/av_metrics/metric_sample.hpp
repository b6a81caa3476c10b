#ifndef AV_METRICS_METRIC_SAMPLE_HPP
#define AV_METRICS_METRIC_SAMPLE_HPP

#include <av_core/comparison.hpp>
#include <av_metrics/latency_histogram.hpp>

#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace anvilturn
{

enum class metric_type
{
    // Only increases while the process runs.
    counter,
    // May increase and decrease.
    gauge,
    // Counts by bucket; the samples' names end in _bucket, _sum and _count.
    histogram
};

// One value on the metrics page.
struct metric_sample
{
    metric_type type_ = metric_type::gauge;
    // Name with its unit as suffix, such as "anvilturn_calls_total".
    std::string name_;
    // Description in one line; the same for all samples of one name.
    std::string help_;
    std::vector<std::pair<std::string, std::string>> labels_;
    double value_ = 0.0;
    // Appended to the name in the line of this sample, such as "_bucket".
    std::string suffix_ = {};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(type_, name_, help_, labels_, value_, suffix_);
    }
};

// Appends the samples of one histogram of latencies, in milliseconds.
void append_histogram(
    std::vector<metric_sample>& samples,
    const std::string& name,
    const std::string& help,
    const std::vector<std::pair<std::string, std::string>>& labels,
    const latency_histogram& histogram);

// Returns the samples in the text exposition format. Samples of one name must
// be adjacent, since each name gets one header.
std::string render_exposition(const std::vector<metric_sample>& samples);

} // namespace anvilturn

#endif
