#ifndef AV_ROUTING_LOAD_ESTIMATE_HPP
#define AV_ROUTING_LOAD_ESTIMATE_HPP

#include <av_routing/target_view.hpp>

#include <vector>

namespace anvilturn
{

// Returns whether a policy may send a call to the target now: it is eligible
// and this VM has fewer calls there than its limit.
bool has_room(const target_view& target) noexcept;

// Returns the weight of the newest report in the estimate of the current load:
// 1 for a report of this moment, decaying towards 0 as calls end and others
// begin.
double report_weight(const target_view& target) noexcept;

// Average number of calls from other VMs at a target, by the newest report of
// each target, whatever its age; separately for targets of this VM's failure
// domain and of the others. Zero without reports.
struct typical_load
{
    double same_domain_ = 0.0;
    double other_domain_ = 0.0;
};

// Returns the averages over the targets of one service.
typical_load
typical_load_from_other_vms(const std::vector<target_view>& targets) noexcept;

// Returns the estimated number of calls from other VMs at the target: the load
// in the newest report minus this VM's own calls at that time. As the report
// ages the estimate decays to the typical load, since calls end and others
// begin. If it decayed to zero, every VM would prefer the targets that it knows
// least about.
double load_from_other_vms(const target_view& target,
                           const typical_load& typical) noexcept;

// Returns the estimated total number of calls at the target: this VM's own,
// which it knows exactly, and those from other VMs.
double estimated_load(const target_view& target,
                      const typical_load& typical) noexcept;

// Returns the slots that the target offers, fewer while it is in slow start; at
// least one, so that it gets calls during ramp-up.
double effective_slots(const target_view& target) noexcept;

// Returns whether the target's machine was slowed by its last report; a small
// slowdown counts as typical.
bool is_slowed(const target_view& target) noexcept;

} // namespace anvilturn

#endif
