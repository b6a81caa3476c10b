// Purpose: latency summaries and histograms recorded without locks by the
// threads of the request path, and the metrics page in the text exposition
// format.
// Depends on: av_core, av_model; Boost.Accumulators, Boost.Histogram and
// Boost.Lockfree (behind .cpp).

#ifndef AV_METRICS_AV_METRICS_HPP
#define AV_METRICS_AV_METRICS_HPP

#include <av_metrics/latency_histogram.hpp>
#include <av_metrics/latency_recorder.hpp>
#include <av_metrics/latency_summary.hpp>
#include <av_metrics/metric_sample.hpp>

#endif
