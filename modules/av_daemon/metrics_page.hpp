#ifndef AV_DAEMON_METRICS_PAGE_HPP
#define AV_DAEMON_METRICS_PAGE_HPP

#include <av_daemon/daemon_state.hpp>
#include <av_metrics/metric_sample.hpp>

#include <vector>

namespace anvilturn
{

// Returns the samples of the metrics page. docs/OPERATIONS.md lists them.
std::vector<metric_sample> collect_metrics(const daemon_state& state);

} // namespace anvilturn

#endif
