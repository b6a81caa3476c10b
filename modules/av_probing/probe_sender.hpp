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

// A target that may be probed, as the release says.
struct probe_target
{
    std::string name_;
    // IP number and port.
    std::string address_;
    double probes_per_second_ = 0.0;
};

struct probe_sender_handlers
{
    // What a probe found; share it with the other VMs.
    std::function<void(const target_notice&)> found_;
    // The clocks disagreed, as after a pause of the machine: the seats must be
    // dropped at their keeper. The sender uses none until set_seats.
    std::function<void()> on_clock_mismatch_;
};

// Sends GET /probe to targets within the measuring budget: only for seats that
// this VM holds, checked on an open connection right before writing. One probe
// of a target at a time. Use it on the thread of the io_context.
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

    // Takes up the targets of a new release. When a target was probed last is
    // remembered as long as its name stays.
    void set_targets(const std::vector<probe_target>& targets);

    // Takes up the newest state of the seats.
    void set_leases(const probe_lease_state& leases);

    // Returns the probes written to a connection so far.
    std::uint64_t sent() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
