#ifndef AV_METRICS_LATENCY_RECORDER_HPP
#define AV_METRICS_LATENCY_RECORDER_HPP

#include <av_core/milliseconds.hpp>
#include <av_metrics/latency_histogram.hpp>
#include <av_metrics/latency_summary.hpp>
#include <av_model/call_outcome.hpp>

#include <cstddef>
#include <memory>

namespace anvilturn
{

// Collects latencies from the threads of the request path: those of answered
// calls by windows, and of all calls by outcome as histograms that only grow.
// Recording is wait-free; the statistics are computed by the thread that
// collects.
class latency_recorder
{
public:
    explicit latency_recorder(std::size_t thread_count);
    ~latency_recorder();

    latency_recorder(const latency_recorder&) = delete;
    latency_recorder& operator=(const latency_recorder&) = delete;

    // Records one latency. Each thread index belongs to one thread alone.
    void record(std::size_t thread_index,
                call_outcome outcome,
                milliseconds latency) noexcept;

    // Takes up what was recorded. Only one thread collects; it does so at
    // least once a second, since each thread's buffer is bounded.
    void collect();

    // Returns the window of answered calls since the last call and starts a new
    // one. Only the thread that collects may call it.
    latency_summary end_window();

    // Returns what was collected since the start. Only the thread that collects
    // may call it.
    latency_histogram histogram(call_outcome outcome) const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
