#ifndef AV_PROBING_PROBE_PERMISSION_HPP
#define AV_PROBING_PROBE_PERMISSION_HPP

#include <av_core/milliseconds.hpp>
#include <av_probing/probe_lease_state.hpp>

#include <cstddef>
#include <optional>

namespace anvilturn
{

// Longest time from the check to the arrival of a probe at its target. The
// sender gives a probe up that could not be written within it.
constexpr milliseconds probe_transit_limit(50.0);

// Returns the time that must lie between two sends of probes to one target, so
// that the probes which arrive stay within the rate in every window, though
// each takes anything from zero to the transit limit, and though the sender's
// clock may run fast. Nothing if the rate forbids probes.
std::optional<milliseconds> probe_spacing(double probes_per_second) noexcept;

// What is known when a probe of one target is due.
struct probe_check_input
{
    std::size_t shard_ = 0;
    // When this VM last sent a probe there; nothing if it never did.
    std::optional<milliseconds> last_sent_at_;
    // From the release in force.
    double probes_per_second_ = 0.0;
};

// Returns whether a probe may be sent at this moment. Ask right before writing
// it to the connection, with a clock that was read then. Without a seat the
// answer is no. A new holder first leaves one spacing of quiet time, since it
// does not know when the last one probed.
bool may_probe_now(const probe_lease_state& leases,
                   const probe_check_input& question,
                   milliseconds now) noexcept;

// Two clocks, read together.
struct clock_reading
{
    milliseconds monotonic_;
    milliseconds wall_;
};

// Returns whether both clocks show the same time passing between two readings.
// After a pause that stopped the monotonic clock they do not: drop all leases.
bool clocks_agree(const clock_reading& before,
                  const clock_reading& after) noexcept;

} // namespace anvilturn

#endif
