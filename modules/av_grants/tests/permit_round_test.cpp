#include <av_grants/permit_round.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds now(1000.0);
const std::vector<bool> none_skipped(3, false);

client_limit limit_of_three_grantors()
{
    client_limit limit;
    limit.key_ = {limit_kind::account, "school"};
    limit.order_ = {2, 0, 1};
    limit.refusals_.resize(3);
    begin_round(limit);
    return limit;
}

permit_answer answer_after(std::size_t missed, std::size_t refusing)
{
    auto limit = limit_of_three_grantors();
    limit.missed_grantors_ = missed;
    for (std::size_t i = 0; i < refusing; ++i)
    {
        record_refusal(limit, now + milliseconds(200.0));
    }
    return end_round(limit, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_round_test)

// Guards against an account below its quota that is told to be above it by the
// few grantors that can be reached, and against one above it that isn't told.
BOOST_AUTO_TEST_CASE(a_limit_is_reached_if_no_more_are_missed_than_refuse)
{
    for (const auto& [missed, refusing] :
         {std::pair(0U, 3U), {1U, 2U}, {1U, 1U}})
    {
        const auto answer = answer_after(missed, refusing);
        BOOST_TEST((answer.result_ == permit_result::over_limit));
        BOOST_TEST((answer.retry_after_ == milliseconds(200.0)));
    }
    for (const auto& [missed, refusing] :
         {std::pair(3U, 0U), {2U, 1U}, {0U, 0U}})
    {
        const auto answer = answer_after(missed, refusing);
        BOOST_TEST((answer.result_ == permit_result::unavailable));
        BOOST_TEST((answer.retry_after_ == unreachable_retry_interval));
    }
}

// Guards against grantors that count twice, in a round and for their reserve.
BOOST_AUTO_TEST_CASE(the_reserve_round_counts_anew)
{
    auto limit = limit_of_three_grantors();
    limit.missed_grantors_ = 1;
    limit.refused_without_reserve_ = true;
    record_refusal(limit, now);
    BOOST_TEST(has_reserve(limit));
    begin_reserve_round(limit);
    BOOST_TEST(limit.missed_grantors_ == 0U);
    BOOST_TEST(limit.refusing_grantors_ == 0U);
    BOOST_TEST(!has_reserve(limit));
}

// Guards against a long wait for a grantor that is down while another one has
// permits.
BOOST_AUTO_TEST_CASE(the_last_grantor_is_the_one_without_another_to_ask)
{
    auto limit = limit_of_three_grantors();
    limit.position_ = 1;
    BOOST_TEST(has_next_grantor(limit, none_skipped, now));
    BOOST_TEST(!has_next_grantor(limit, {true, true, false}, now));
    limit.position_ = 3;
    BOOST_TEST(!has_next_grantor(limit, none_skipped, now));
    limit.refused_without_reserve_ = true;
    BOOST_TEST(has_next_grantor(limit, none_skipped, now));
    limit.is_reserve_round_ = true;
    BOOST_TEST(!has_next_grantor(limit, none_skipped, now));
    limit.key_.kind_ = limit_kind::cold_target;
    BOOST_TEST(has_next_grantor(limit, none_skipped, now));
}

// A grantor that has just refused is asked for its reserve, but not before.
BOOST_AUTO_TEST_CASE(a_grantor_that_has_refused_is_next_for_its_reserve_only)
{
    auto limit = limit_of_three_grantors();
    limit.position_ = 2;
    limit.refusals_[1].until_ = now + milliseconds(1.0);
    BOOST_TEST(!has_next_grantor(limit, none_skipped, now));
    begin_reserve_round(limit);
    limit.position_ = 2;
    BOOST_TEST(has_next_grantor(limit, none_skipped, now));
}

BOOST_AUTO_TEST_SUITE_END()
