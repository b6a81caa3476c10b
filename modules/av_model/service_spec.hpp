#ifndef AV_MODEL_SERVICE_SPEC_HPP
#define AV_MODEL_SERVICE_SPEC_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <string>
#include <tuple>

namespace anvilturn
{

// The configuration of one service in a release.
struct service_spec
{
    // Unique in the release.
    std::string name_;
    // Name of the target-choice plug-in.
    std::string choice_policy_ = "home_dispatch";
    // Maximum number of calls that wait at one VM for a slot; further calls
    // are refused.
    int queue_limit_ = 512;
    // Time limit of a call whose request sets no deadline.
    milliseconds default_deadline_{10000.0};
    // Allowed ratio of extra attempts (retries and hedges) to first attempts.
    double retry_ratio_ = 0.1;
    // Maximum number of extra attempts of one VM in a burst.
    double retry_burst_ = 10.0;
    // The probe budget: maximum number of probes per second that all VMs
    // together send to each target. Zero disables probes.
    double probes_per_second_ = 0.0;
    // Time for which one probe occupies a slot of a target.
    milliseconds probe_cost_{6.0};
    // Number of concurrent calls that a VM which is not the service's
    // dispatcher VM should send to one target; zero if only the adaptive limit
    // applies.
    int target_concurrency_ = 0;
    // Number of consecutive failures after which a target is temporarily
    // ejected.
    int ejecting_failures_ = 3;
    // Path of the targets' health checks; empty if they have none.
    std::string health_path_;
    // Calls per second that a target may get from all VMs together while it is
    // cold; zero if cold targets are treated as others.
    double cold_rate_per_second_ = 0.0;

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
                        health_path_,
                        cold_rate_per_second_);
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
