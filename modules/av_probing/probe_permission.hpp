#ifndef AV_PROBING_PROBE_PERMISSION_HPP
#define AV_PROBING_PROBE_PERMISSION_HPP

#include <av_core/milliseconds.hpp>
#include <av_probing/probe_lease_state.hpp>

#include <cstddef>
#include <optional>

namespace anvilturn
{

// Maximum time from the permission check to the arrival of a probe at its
// target. The sender drops a probe that could not be written within it.
constexpr milliseconds probe_transit_limit(50.0);

// Returns the minimum time between two sends of probes to one target. It keeps
// the probes that arrive within the budget in every window, even though each
// takes anything from zero to the transit limit and the sender's clock may run
// fast. Returns std::nullopt if the budget allows no probes.
std::optional<milliseconds> probe_spacing(double probes_per_second) noexcept;

// The input of may_probe_now, for one target.
struct probe_check_input
{
    std::size_t shard_ = 0;
    // When this VM last sent a probe to the target; std::nullopt if it never
    // did.
    std::optional<milliseconds> last_sent_at_;
    // Probe budget of the target's service in the release in force.
    double probes_per_second_ = 0.0;
};

// Returns whether a probe may be sent now. Call it right before writing the
// probe to the connection, with a time that was read just then. Without a lease
// the result is false. A new holder first waits for one spacing, since it does
// not know when the previous holder sent its last probe.
bool may_probe_now(const probe_lease_state& state,
                   const probe_check_input& input,
                   milliseconds now) noexcept;

// Readings of both clocks, taken together.
struct clock_reading
{
    milliseconds monotonic_;
    milliseconds wall_;
};

// Returns whether both clocks advanced by the same time between two readings.
// After a pause that stopped the monotonic clock they did not: drop all leases.
bool clocks_agree(const clock_reading& before,
                  const clock_reading& after) noexcept;

} // namespace anvilturn

#endif
