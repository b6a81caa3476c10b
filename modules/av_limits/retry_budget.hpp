#ifndef AV_LIMITS_RETRY_BUDGET_HPP
#define AV_LIMITS_RETRY_BUDGET_HPP

namespace anvilturn
{

// Extra attempts (retries and hedges) that one thread may make for one service,
// as a bucket of tokens: each first attempt adds the service's retry ratio,
// each extra attempt takes one token. So extra attempts stay below the ratio
// times the first ones plus the bucket's size, whatever fails.
struct retry_budget
{
    double tokens_ = 0.0;
};

// Extra attempts that may come at once where a service says nothing else.
constexpr double default_retry_burst = 10.0;

// Returns the budget after one first attempt of a call of the depth. Calls
// below other layers (depth above zero) add less the deeper they stand, so
// that retries of the layers do not multiply.
retry_budget after_first_attempt(retry_budget budget,
                                 double retry_ratio,
                                 int depth,
                                 double burst = default_retry_burst) noexcept;

// Returns whether one extra attempt is allowed now.
bool allows_extra_attempt(const retry_budget& budget) noexcept;

// Returns the budget after one extra attempt. Only if may_spend said so.
retry_budget after_extra_attempt(retry_budget budget) noexcept;

} // namespace anvilturn

#endif
