#include <av_limits/latency_quantile.hpp>
#include <av_routing/random_bits.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(latency_quantile_suite)

RC_BOOST_PROP(estimate_converges_to_the_quantile, ())
{
    const int scale = *rc::gen::inRange(1, 100);
    latency_quantile estimate;
    int below = 0;
    constexpr int warm_up = 1000;
    constexpr int samples = 4000;
    for (int i = 0; i < warm_up + samples; ++i)
    {
        const double sample =
            scale * unit_interval(mix_bits(static_cast<std::uint64_t>(i)));
        estimate = after_sample(estimate, milliseconds(sample));
        below += i >= warm_up && sample <= estimate.value_.count() ? 1 : 0;
    }
    RC_ASSERT(below > samples * 92 / 100);
    RC_ASSERT(below < samples * 98 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
