#ifndef AV_MODEL_SERVICE_SPEC_HPP
#define AV_MODEL_SERVICE_SPEC_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <string>
#include <tuple>

namespace anvilturn
{

// What a release says of one service.
struct service_spec
{
    // Unique in the release.
    std::string name_;
    // Name of a target-choice plug-in.
    std::string choice_policy_ = "home_dispatch";
    // Calls that may wait at one VM for a slot; beyond it calls are refused.
    int queue_limit_ = 512;
    // Time limit of a call that brings no deadline of its own.
    milliseconds default_deadline_{10000.0};
    // Extra attempts (retries and hedges) allowed, as a share of first ones.
    double retry_ratio_ = 0.1;
    // Extra attempts that one VM may make at once.
    double retry_burst_ = 10.0;
    // The measuring budget: probes a second at each target from all VMs
    // together. Zero forbids probes.
    double probes_per_second_ = 0.0;
    // Time that one probe takes of a target's slot.
    milliseconds probe_cost_{6.0};
    // Calls that one target should get at once from one VM that is not the
    // service's dispatcher; zero leaves it to the adaptive limit.
    int target_concurrency_ = 0;
    // Failures in a row after which a target is ejected for a while.
    int ejecting_failures_ = 3;
    // Path of the targets' health checks; empty if they have none.
    std::string health_path_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_,
                        choice_policy_,
                        queue_limit_,
                        default_deadline_,
                        retry_ratio_,
                        retry_burst_,
                        probes_per_second_,
                        probe_cost_,
                        target_concurrency_,
                        ejecting_failures_,
                        health_path_);
    }

    friend bool operator==(const service_spec& a, const service_spec& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const service_spec& a, const service_spec& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
