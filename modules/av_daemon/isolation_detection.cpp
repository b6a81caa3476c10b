#include <av_daemon/isolation_detection.hpp>

namespace anvilturn
{
namespace
{

// A longer gap between two observations means that this VM was paused.
constexpr milliseconds max_observation_gap{500.0};

constexpr milliseconds isolation_timeout{2500.0};

} // namespace

isolation_state observe_contact(const isolation_state& state,
                                milliseconds last_contact,
                                milliseconds now)
{
    const bool contact_advanced = last_contact != state.last_contact_;
    const bool was_paused = now - state.observed_at_ > max_observation_gap;
    const auto no_contact_since =
        contact_advanced || was_paused ? now : state.no_contact_since_;
    return {last_contact, now, no_contact_since};
}

bool is_isolated(const isolation_state& state, milliseconds now)
{
    return now - state.no_contact_since_ > isolation_timeout;
}

} // namespace anvilturn
