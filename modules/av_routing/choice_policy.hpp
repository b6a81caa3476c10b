#ifndef AV_ROUTING_CHOICE_POLICY_HPP
#define AV_ROUTING_CHOICE_POLICY_HPP

#include <av_core/milliseconds.hpp>
#include <av_core/plugin_registry.hpp>
#include <av_routing/target_view.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Longest time that a choice waits for the responses to its load queries; most
// targets respond within a fraction of it.
constexpr milliseconds load_query_wait_limit(15.0);

// Input of a policy for one choice of a target.
struct choice_input
{
    const std::vector<target_view>& targets_;
    // Uniformly distributed bits, new for each choice.
    std::uint64_t random_ = 0;
    // Number of choices that this VM has made for the service before.
    std::uint64_t sequence_ = 0;
    // Calls of the service that wait at this VM, including the one to be sent.
    std::size_t waiting_calls_ = 1;
    // Time that the call is expected to take at a target that is not slowed;
    // zero if that is not known.
    milliseconds work_time_{0.0};
    // Time until the call's deadline.
    milliseconds time_left_{0.0};
    // How long the call has waited at this VM for a target.
    milliseconds waited_{0.0};
    // How long calls of the service have waited since one of them was last sent
    // to a target that was not slowed.
    milliseconds unslowed_awaited_for_{0.0};
    // Whether responses to load queries that were sent for this choice are
    // still awaited.
    bool awaits_load_reports_ = false;
    // Whether load queries may be sent now; if not, the choice uses what is
    // known, however old.
    bool may_query_ = false;
};

// A policy for choosing a target, as a plug-in that registers itself.
struct choice_policy
{
    std::string_view name_;
    // One line for operators.
    std::string_view description_;
    // Returns the index of the target to send the call to; nothing if the call
    // should wait at this VM until a target has room.
    std::optional<std::size_t> (*choose_)(const choice_input& input);
    // Whether calls of the service go to the dispatcher VM of this failure
    // domain, so that one VM sees all of them.
    bool uses_dispatcher_vm_ = false;
    // Whether the policy reads probe results, so that probes are sent.
    bool uses_probes_ = false;
    // Returns the indices of the targets to send load queries to before the
    // choice, the most promising first; null for policies that choose by what
    // is already known.
    std::vector<std::size_t> (*select_load_queries_)(
        const choice_input& input) = nullptr;
    // Returns the index of the cold target for which the call should request a
    // permit; nothing if a warm target can take it, or if it has a permit for a
    // target that can. Null for policies that treat cold targets as others.
    std::optional<std::size_t> (*choose_cold_target_)(
        const choice_input& input) = nullptr;
};

using choice_policy_registry = plugin_registry<choice_policy>;

} // namespace anvilturn

#endif
