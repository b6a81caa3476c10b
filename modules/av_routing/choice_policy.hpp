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

// What a policy may look at for one choice.
struct choice_input
{
    const std::vector<target_view>& targets_;
    // Uniformly distributed bits, drawn anew for each choice.
    std::uint64_t random_ = 0;
    // Number of choices that this VM made for the service before.
    std::uint64_t sequence_ = 0;
    // Calls of the service that wait at this VM, the one to be sent included.
    std::size_t waiting_calls_ = 1;
    // Usual time of a call of the service; zero before the first answer.
    milliseconds typical_time_{0.0};
    // Time until the call misses its latency objective.
    milliseconds objective_left_{0.0};
    // How much of the time that the call may wait is over, 0 to 1. At 1 it is
    // refused unless a target is chosen now.
    double wait_limit_spent_ = 0.0;
    // Whether answers of targets that were asked for this choice may still
    // come.
    bool awaits_load_reports_ = false;
    // Whether targets may be asked now; without it the choice is made by what
    // is known, however old.
    bool may_query_ = false;
};

// A way to choose a target, as a plug-in that registers itself.
struct choice_policy
{
    std::string_view name_;
    // One line for operators.
    std::string_view description_;
    // Returns the index of the target to send the call to; nothing if the call
    // should wait at this VM until a target has room.
    std::optional<std::size_t> (*choose_)(const choice_input& input);
    // Whether calls of the service go to the VM that dispatches the service
    // for this failure domain, so that one VM sees all of them.
    bool uses_dispatcher_vm_ = false;
    // Whether the policy reads probe results, so that probes are sent.
    bool uses_probes_ = false;
    // Returns the targets that are to be asked for their load before the
    // choice, the most promising first; null for policies that choose by what
    // is known already.
    std::vector<std::size_t> (*select_load_queries_)(
        const choice_input& input) = nullptr;
};

using choice_policy_registry = plugin_registry<choice_policy>;

} // namespace anvilturn

#endif
