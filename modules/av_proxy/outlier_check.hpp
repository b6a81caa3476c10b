#ifndef AV_PROXY_OUTLIER_CHECK_HPP
#define AV_PROXY_OUTLIER_CHECK_HPP

#include <av_core/milliseconds.hpp>
#include <av_proxy/routing_table.hpp>
#include <av_routing/target_view.hpp>

#include <vector>

namespace anvilturn
{

// Marks the ejected targets of a service as ineligible, down to the minimum of
// remaining targets that limit_ejections guarantees. views and targets are in
// the same order.
void exclude_outliers(std::vector<target_view>& views,
                      const std::vector<target_entry>& targets,
                      milliseconds now);

// Ejects the targets whose latency is an outlier; see is_straggler. Returns the
// number of targets ejected. Must be called from one thread only, a few times a
// second.
int eject_stragglers(const std::vector<target_entry>& targets,
                     milliseconds now);

} // namespace anvilturn

#endif
