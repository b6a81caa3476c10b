#include <av_metrics/latency_recorder.hpp>

// Boost.Accumulators 1.74 uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram/accumulators/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <array>
#include <atomic>
#include <cassert>
#include <vector>

namespace anvilturn
{
namespace
{

namespace acc = boost::accumulators;

// One second of a busy thread between two collections.
constexpr std::size_t observations_per_buffer = 32768;

constexpr std::array<double, 3> probabilities = {0.5, 0.9, 0.99};

using window_statistics =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::extended_p_square_quantile>>;

window_statistics make_window()
{
    return window_statistics(acc::extended_p_square_probabilities =
                                 probabilities);
}

namespace bh = boost::histogram;

using latency_axis = bh::axis::variable<double>;
using latency_counts = decltype(bh::make_histogram_with(
    std::vector<std::uint64_t>(), latency_axis()));

// The first bucket begins at zero; its lower bound is not one of the page's.
latency_counts make_counts()
{
    std::vector<double> edges = {0.0};
    edges.insert(edges.end(),
                 latency_bucket_bounds_ms.begin(),
                 latency_bucket_bounds_ms.end());
    return bh::make_histogram_with(std::vector<std::uint64_t>(),
                                   latency_axis(edges));
}

// The calls of one outcome.
struct outcome_series
{
    latency_counts counts_ = make_counts();
    bh::accumulators::sum<double> sum_;
};

constexpr std::size_t outcomes = 3;

// As small as a double, since a thread's buffer has many.
struct observation
{
    float latency_ms_ = 0.0F;
    call_outcome outcome_ = call_outcome::answered;
};

// The buffer between one thread of the request path and the collector.
struct thread_buffer
{
    boost::lockfree::spsc_queue<
        observation,
        boost::lockfree::capacity<observations_per_buffer>>
        observations_;
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace

struct latency_recorder::implementation
{
    explicit implementation(std::size_t thread_count)
        : window_(make_window())
    {
        for (std::size_t i = 0; i < thread_count; ++i)
        {
            buffers_.push_back(std::make_unique<thread_buffer>());
        }
    }

    void take(const observation& value)
    {
        if (value.outcome_ == call_outcome::answered)
        {
            window_(value.latency_ms_);
        }
        auto& series = series_.at(static_cast<std::size_t>(value.outcome_));
        series.counts_(value.latency_ms_);
        series.sum_ += value.latency_ms_;
    }

    std::vector<std::unique_ptr<thread_buffer>> buffers_;
    window_statistics window_;
    std::array<outcome_series, outcomes> series_;
};

latency_recorder::latency_recorder(std::size_t thread_count)
    : implementation_(std::make_unique<implementation>(thread_count))
{
}

latency_recorder::~latency_recorder() = default;

void latency_recorder::record(std::size_t thread_index,
                              call_outcome outcome,
                              milliseconds latency) noexcept
{
    assert(thread_index < implementation_->buffers_.size());
    auto& buffer = *implementation_->buffers_[thread_index];
    if (!buffer.observations_.push(
            {static_cast<float>(latency.count()), outcome}))
    {
        buffer.dropped_.fetch_add(1, std::memory_order_relaxed);
    }
}

void latency_recorder::collect()
{
    for (const auto& buffer : implementation_->buffers_)
    {
        buffer->observations_.consume_all(
            [this](const observation& value)
            {
                implementation_->take(value);
            });
    }
}

latency_histogram latency_recorder::histogram(call_outcome outcome) const
{
    const auto& series =
        implementation_->series_.at(static_cast<std::size_t>(outcome));
    latency_histogram result;
    std::uint64_t below = 0;
    for (std::size_t index = 0; index < latency_bucket_bounds_ms.size();
         ++index)
    {
        below += series.counts_.at(static_cast<int>(index));
        result.cumulative_counts_[index] = below;
    }
    result.count_ =
        below +
        series.counts_.at(static_cast<int>(latency_bucket_bounds_ms.size()));
    result.sum_ = milliseconds(series.sum_.value());
    return result;
}

latency_summary latency_recorder::end_window()
{
    collect();
    const auto& window = implementation_->window_;
    latency_summary summary;
    summary.count_ = acc::count(window);
    if (summary.count_ > 0)
    {
        const auto quantile = [&window](double probability)
        {
            return milliseconds(
                acc::quantile(window, acc::quantile_probability = probability));
        };
        summary.mean_ = milliseconds(acc::mean(window));
        summary.median_ = quantile(probabilities[0]);
        summary.percentile_90_ = quantile(probabilities[1]);
        summary.percentile_99_ = quantile(probabilities[2]);
        summary.maximum_ = milliseconds(acc::max(window));
    }
    for (const auto& buffer : implementation_->buffers_)
    {
        summary.dropped_ +=
            buffer->dropped_.exchange(0, std::memory_order_relaxed);
    }
    implementation_->window_ = make_window();
    return summary;
}

} // namespace anvilturn
