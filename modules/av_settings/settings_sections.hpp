#ifndef AV_SETTINGS_SETTINGS_SECTIONS_HPP
#define AV_SETTINGS_SETTINGS_SECTIONS_HPP

#include <av_core/comparison.hpp>
#include <av_core/log_event.hpp>
#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// The sections of the settings are plain structs. Their ranges stand in the
// tables of settings_fields.hpp, which settings_builder checks.

// Who this VM is.
struct vm_settings
{
    // Unique among the VMs of the deployment.
    std::string name_;
    std::string failure_domain_;
    // VMs of other deployments are refused as peers.
    std::string deployment_;
    // Peer addresses of some other VMs, which this one asks first. With them it
    // finds its peers and the release while the platform is down.
    std::vector<std::string> seed_peers_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_, failure_domain_, deployment_, seed_peers_);
    }
};

// Where this VM listens: different IP numbers and ports.
struct listen_settings
{
    std::string callers_;
    // Calls that other VMs hand to this one; not with a platform's adapter.
    std::string forward_;
    // Control messages between VMs; not with a platform's adapter.
    std::string peers_;
    // Never the callers' address.
    std::string operators_;
    // The balancer's readiness check, if it does not come to the callers'
    // address.
    std::string readiness_;
    std::string readiness_path_ = "/ready";

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(callers_,
                        forward_,
                        peers_,
                        operators_,
                        readiness_,
                        readiness_path_);
    }
};

// The adapter of a VM that knows its peers and releases by itself.
constexpr const char* native_adapter = "native";

// How the platform is reached.
struct platform_settings
{
    std::string address_;
    milliseconds call_timeout_{2000.0};
    // How the platform is spoken to.
    std::string adapter_ = native_adapter;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(address_, call_timeout_, adapter_);
    }
};

// What holds for each service whose configuration comes through an adapter and
// says nothing of it.
struct service_settings
{
    std::string choice_policy_ = "ask_first";
    // Extra attempts, as a share of first ones.
    double retry_ratio_ = 0.1;
    // The ratio that the platform allows all VMs together; zero if it says
    // nothing.
    double fleet_retry_ratio_ = 0.0;
    // Extra attempts that one VM may make at once.
    double retry_burst_ = 1.5;
    // Calls that may wait at one VM.
    int queue_limit_ = 512;
    // Failures in a row after which a target is ejected.
    int ejecting_failures_ = 3;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(choice_policy_,
                        retry_ratio_,
                        fleet_retry_ratio_,
                        retry_burst_,
                        queue_limit_,
                        ejecting_failures_);
    }
};

// Limits of the request path. Sizes are in bytes.
struct request_settings
{
    int threads_ = 2;
    // Connections of callers at once.
    std::uint64_t connection_limit_ = 4096;
    // Of a request or of an answer.
    std::uint64_t header_limit_ = 16'384;
    std::uint64_t request_body_limit_ = 1'048'576;
    // Of an answer, held until it is whole.
    std::uint64_t buffered_response_limit_ = 0;
    // For a caller's connection between two calls.
    milliseconds idle_timeout_{60000.0};
    // For a whole request header, and the longest pause within a body.
    milliseconds request_timeout_{10000.0};
    // For a connection to a target or VM.
    milliseconds connect_timeout_{1000.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(threads_,
                        connection_limit_,
                        header_limit_,
                        request_body_limit_,
                        buffered_response_limit_,
                        idle_timeout_,
                        request_timeout_,
                        connect_timeout_);
    }
};

// How the VM leaves, see docs/OPERATIONS.md.
struct shutdown_settings
{
    // How long the platform's balancer may go on sending callers.
    milliseconds balancer_lag_{5000.0};
    // From the signal to the exit at the latest.
    milliseconds deadline_{30000.0};
    // From the signal until the platform kills the process, in seconds; zero if
    // it does not.
    double killed_after_s_ = 0.0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(balancer_lag_, deadline_, killed_after_s_);
    }
};

// What is logged.
struct log_settings
{
    log_level level_ = log_level::info;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(level_);
    }
};

} // namespace anvilturn

#endif
