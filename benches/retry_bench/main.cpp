// Measures retry amplification in a chain of services: each layer calls the
// next one and retries as decide_retry() and its retry budget allow.

#include <av_limits/retry_budget.hpp>
#include <av_limits/retry_decision.hpp>
#include <av_model/service_spec.hpp>

#include <cstdint>
#include <cstdio>
#include <random>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr int layer_count = 25;
constexpr int call_count = 20000;
constexpr std::uint64_t seed = 1;

// Whether each layer passes its depth in the call chain to its retry budget, or
// all layers pass depth zero.
enum class budget_kind
{
    by_depth,
    same_for_all
};

// A chain of services, each with its own retry budget.
class layered_services
{
public:
    layered_services(budget_kind kind, double failure_share)
        : kind_(kind)
        , failure_share_(failure_share)
        , budgets_(layer_count)
        , random_(seed)
    {
    }

    // Calls the layer and retries on failure. Returns whether an attempt
    // succeeded.
    bool call(int layer)
    {
        const auto index = static_cast<std::size_t>(layer);
        const int depth = kind_ == budget_kind::by_depth ? layer : 0;
        budgets_[index] = after_first_attempt(
            budgets_[index], service_spec{}.retry_ratio_, depth);
        retry_input input;
        input.idempotent_ = true;
        input.depth_ = depth;
        input.time_left_ = milliseconds(1e9);
        while (!attempt(layer))
        {
            const auto chosen_action = decide_retry(input, budgets_[index]);
            if (chosen_action != retry_action::retry)
            {
                return false;
            }
            budgets_[index] = after_extra_attempt(budgets_[index]);
            ++input.attempts_;
        }
        return true;
    }

    // Attempts at targets of the last layer, retries included.
    std::uint64_t last_layer_attempts() const
    {
        return last_layer_attempts_;
    }

private:
    // Targets of the last layer fail at random. An attempt at any other layer
    // fails if its call to the next layer fails.
    bool attempt(int layer)
    {
        if (layer + 1 < layer_count)
        {
            return call(layer + 1);
        }
        ++last_layer_attempts_;
        return !std::bernoulli_distribution(failure_share_)(random_);
    }

    budget_kind kind_;
    double failure_share_;
    std::vector<retry_budget> budgets_;
    std::mt19937_64 random_;
    std::uint64_t last_layer_attempts_ = 0;
};

void measure(const char* name, budget_kind kind, double failure_share)
{
    layered_services services(kind, failure_share);
    int succeeded = 0;
    for (int i = 0; i < call_count; ++i)
    {
        succeeded += services.call(0) ? 1 : 0;
    }
    const auto attempts = static_cast<double>(services.last_layer_attempts());
    std::printf("figure=amplification policy=%s failures=%.2f value=%.4f "
                "unit=attempts_per_call\n",
                name,
                failure_share,
                attempts / call_count);
    std::printf("figure=answered policy=%s failures=%.2f value=%.4f "
                "unit=share\n",
                name,
                failure_share,
                static_cast<double>(succeeded) / call_count);
}

} // namespace

int main()
{
    for (const double failure_share : {0.01, 1.0})
    {
        measure("budget_by_depth", budget_kind::by_depth, failure_share);
        measure("same_budget_each", budget_kind::same_for_all, failure_share);
    }
    return 0;
}
