#include <av_daemon/isolation_detection.hpp>

namespace anvilturn
{
namespace
{

// Longer between two observations means that this VM was paused.
constexpr milliseconds max_observation_gap{500.0};

constexpr milliseconds isolation_timeout{2500.0};

} // namespace

contact_state observe_contact(const contact_state& state,
                              milliseconds contact,
                              milliseconds now)
{
    const bool contact_advanced = contact != state.contact_;
    const bool was_paused = now - state.observed_at_ > max_observation_gap;
    const auto alone_since =
        contact_advanced || was_paused ? now : state.no_contact_since_;
    return {contact, now, alone_since};
}

bool is_isolated(const contact_state& state, milliseconds now)
{
    return now - state.no_contact_since_ > isolation_timeout;
}

} // namespace anvilturn
