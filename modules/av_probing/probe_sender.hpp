#ifndef AV_PROBING_PROBE_SENDER_HPP
#define AV_PROBING_PROBE_SENDER_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/target_notice.hpp>
#include <av_probing/probe_lease_state.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// A target that may be probed according to the release.
struct probe_target
{
    std::string name_;
    // IP address and port.
    std::string address_;
    double probes_per_second_ = 0.0;
};

struct probe_sender_handlers
{
    // Gets the result of a probe, to be shared with the other VMs.
    std::function<void(const target_notice&)> on_result_;
    // Called after a clock mismatch, as after a pause of the machine: drop the
    // leases at the probe_lease_manager. The sender uses no lease until the
    // next set_leases.
    std::function<void()> on_clock_mismatch_;
};

// Sends GET /probe to targets within the probe budget: only for shards whose
// lease this VM holds, which is checked on an open connection right before
// writing. Sends one probe of a target at a time. Use it on the thread of the
// io_context.
class probe_sender
{
public:
    probe_sender(boost::asio::io_context& context,
                 std::string self_vm,
                 probe_sender_handlers handlers);
    // Ends all probes; no handler is called afterwards.
    ~probe_sender();

    probe_sender(const probe_sender&) = delete;
    probe_sender& operator=(const probe_sender&) = delete;

    // Replaces the targets by those of a new release. The time of a target's
    // last probe is kept under its name, also when its address changes.
    void set_targets(const std::vector<probe_target>& targets);

    // Replaces the state of the leases.
    void set_leases(const probe_lease_state& leases);

    // Returns the number of probes written to a connection so far.
    std::uint64_t sent() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
