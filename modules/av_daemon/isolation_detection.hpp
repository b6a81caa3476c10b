#ifndef AV_DAEMON_ISOLATION_DETECTION_HPP
#define AV_DAEMON_ISOLATION_DETECTION_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <tuple>

namespace anvilturn
{

// What is known of the control plane's contact with the outside. All points
// are of monotonic_now.
struct contact_state
{
    milliseconds contact_{-1.0};
    // When this was last observed.
    milliseconds observed_at_{-1.0};
    // Since when the control plane ran without a pause and without contact.
    milliseconds no_contact_since_{-1.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(contact_, observed_at_, no_contact_since_);
    }
};

// Takes up an observation of the last contact. Time in which this VM was
// paused does not count as time without contact.
contact_state observe_contact(const contact_state& state,
                              milliseconds contact,
                              milliseconds now);

// Returns whether neither the platform nor any peer was reached for so long,
// while this VM ran, that both must be taken for unreachable.
bool is_isolated(const contact_state& state, milliseconds now);

} // namespace anvilturn

#endif
