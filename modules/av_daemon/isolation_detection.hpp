#ifndef AV_DAEMON_ISOLATION_DETECTION_HPP
#define AV_DAEMON_ISOLATION_DETECTION_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <tuple>

namespace anvilturn
{

// State of the isolation detection: the control plane's contact with the
// platform and the peers. All points in time are of monotonic_now.
struct isolation_state
{
    // Last contact, as the control plane reported it.
    milliseconds last_contact_{-1.0};
    // Time of the latest observation.
    milliseconds observed_at_{-1.0};
    // Since when the VM has run without a pause and without contact.
    milliseconds no_contact_since_{-1.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(last_contact_, observed_at_, no_contact_since_);
    }
};

// Returns the state after an observation of the last contact. Time during
// which this VM was paused does not count as time without contact.
isolation_state observe_contact(const isolation_state& state,
                                milliseconds last_contact,
                                milliseconds now);

// Returns whether this VM has run for so long without reaching the platform or
// any peer that all of them must be considered unreachable.
bool is_isolated(const isolation_state& state, milliseconds now);

} // namespace anvilturn

#endif
