#ifndef AV_MODEL_WEIGHTED_SERVICE_HPP
#define AV_MODEL_WEIGHTED_SERVICE_HPP

#include <av_core/comparison.hpp>

#include <string>
#include <tuple>

namespace anvilturn
{

// One of the services that share the calls of a rule.
struct weighted_service
{
    std::string service_;
    // Share of the calls, relative to the weights of the other parts.
    double weight_ = 1.0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(service_, weight_);
    }

    friend bool operator==(const weighted_service& a, const weighted_service& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const weighted_service& a, const weighted_service& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
