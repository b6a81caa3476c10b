#include <av_daemon/contact_watch.hpp>

namespace anvilturn
{
namespace
{

// A longer gap between two observations means that this VM was paused.
constexpr milliseconds longest_observation_gap{500.0};

constexpr milliseconds isolation_bound{2500.0};

} // namespace

contact_state observe_contact(const contact_state& state,
                              milliseconds contact,
                              milliseconds now)
{
    const bool contact_moved = contact != state.contact_;
    const bool was_paused = now - state.observed_at_ > longest_observation_gap;
    const auto alone_since =
        contact_moved || was_paused ? now : state.alone_since_;
    return {contact, now, alone_since};
}

bool is_isolated(const contact_state& state, milliseconds now)
{
    return now - state.alone_since_ > isolation_bound;
}

} // namespace anvilturn
