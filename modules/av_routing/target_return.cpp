#include <av_routing/target_return.hpp>

namespace anvilturn
{

namespace
{

constexpr int required_good_checks = 4;
constexpr milliseconds required_healthy_time(10000.0);

} // namespace

target_return after_health_check(const target_return& state,
                                 bool good,
                                 milliseconds sent_at) noexcept
{
    if (!good)
    {
        return {};
    }
    const bool is_first = state.good_checks_ == 0;
    return {state.good_checks_ + 1, is_first ? sent_at : state.first_good_at_};
}

bool has_returned(const target_return& state, milliseconds sent_at) noexcept
{
    return state.good_checks_ >= required_good_checks &&
           sent_at - state.first_good_at_ >= required_healthy_time;
}

} // namespace anvilturn
