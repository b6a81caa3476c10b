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

// Collects latencies from the threads of the request path: a summary of the
// answered calls of each window, and cumulative histograms of all calls by
// outcome. Recording is wait-free; the statistics are computed by the
// collecting thread.
class latency_recorder
{
public:
    explicit latency_recorder(std::size_t thread_count);
    ~latency_recorder();

    latency_recorder(const latency_recorder&) = delete;
    latency_recorder& operator=(const latency_recorder&) = delete;

    // Records one latency. Each thread index must be used by one thread only.
    // If the thread's buffer is full, the latency is counted as dropped.
    void record(std::size_t thread_index,
                call_outcome outcome,
                milliseconds latency) noexcept;

    // Moves the recorded latencies into the statistics. Must always be called
    // by the same thread, at least once a second, since each thread's buffer
    // has a fixed capacity.
    void collect();

    // Returns the summary of the answered calls since the last call of this
    // function and starts a new window. Only the collecting thread may call it.
    latency_summary end_window();

    // Returns the histogram of all calls collected since the start. Only the
    // collecting thread may call it.
    latency_histogram histogram(call_outcome outcome) const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
