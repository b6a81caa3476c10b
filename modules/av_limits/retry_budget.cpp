#include <av_limits/retry_budget.hpp>

#include <algorithm>
#include <cassert>

namespace anvilturn
{

retry_budget after_first_attempt(retry_budget budget,
                                 double retry_ratio,
                                 int depth,
                                 double burst) noexcept
{
    // With a share falling as 1/(1+depth)^2 the product over all layers stays
    // below e^(ratio * pi^2/6), however deep the calls go.
    const double layers = 1.0 + std::max(0, depth);
    const double earned = std::max(0.0, retry_ratio) / (layers * layers);
    return {std::min(burst, budget.tokens_ + earned)};
}

bool allows_extra_attempt(const retry_budget& budget) noexcept
{
    return budget.tokens_ >= 1.0;
}

retry_budget after_extra_attempt(retry_budget budget) noexcept
{
    assert(allows_extra_attempt(budget));
    return {budget.tokens_ - 1.0};
}

} // namespace anvilturn
