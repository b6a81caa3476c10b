#ifndef AV_ROUTING_LOAD_ESTIMATE_HPP
#define AV_ROUTING_LOAD_ESTIMATE_HPP

#include <av_routing/target_view.hpp>

#include <vector>

namespace anvilturn
{

// Returns whether a policy may send a call to the target now: it is eligible
// and this VM has fewer calls there than its limit.
bool has_room(const target_view& target) noexcept;

// Returns how far the newest report tells the target's load of now: from 1 for
// a report of this moment towards 0 as calls end and others begin.
double report_weight(const target_view& target) noexcept;

// Calls of other VMs that a target has on average, by the newest report of
// each target, whatever its age; apart for targets of this VM's failure domain
// and the others. Zero without reports.
struct typical_load
{
    double same_domain_ = 0.0;
    double other_domain_ = 0.0;
};

// Returns the averages over the targets of one service.
typical_load
typical_load_from_other_vms(const std::vector<target_view>& targets) noexcept;

// Returns the calls of other VMs that the target is thought to have: what the
// newest report said beyond this VM's own calls at that time. As the report
// ages the estimate moves to the usual load, since calls end and others begin.
// An estimate that moved to zero would draw every VM to the targets that it
// knows least of.
double load_from_other_vms(const target_view& target,
                           const typical_load& usual) noexcept;

// Returns the calls that the target is thought to have in all: this VM's own,
// which it knows exactly, and the foreign ones.
double estimated_load(const target_view& target,
                      const typical_load& usual) noexcept;

// Returns the slots that the target offers, fewer while it is in slow start;
// at least one, so that a cold target can warm up.
double effective_slots(const target_view& target) noexcept;

// Returns whether the target's machine was slowed by its last report; a little
// slower counts as usual.
bool is_slowed(const target_view& target) noexcept;

} // namespace anvilturn

#endif
