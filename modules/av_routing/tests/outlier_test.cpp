#include <av_routing/outlier.hpp>
#include <av_routing/slow_start.hpp>
#include <av_routing/target_record.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds now(1000.0);

outlier_state after_failures(int count, milliseconds at)
{
    outlier_state state;
    for (int i = 0; i < count; ++i)
    {
        state = after_result(state, true, at);
    }
    return state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(outlier_suite)

BOOST_AUTO_TEST_CASE(a_streak_of_failures_ejects_and_one_failure_does_not)
{
    BOOST_TEST(!is_ejected(after_failures(2, now), now));
    BOOST_TEST(is_ejected(after_failures(3, now), now));
    auto broken = after_failures(2, now);
    broken = after_result(broken, false, now);
    broken = after_result(broken, true, now);
    BOOST_TEST(!is_ejected(broken, now));
}

BOOST_AUTO_TEST_CASE(a_high_share_of_failures_ejects_without_a_streak)
{
    outlier_state state;
    for (int i = 0; i < 40 && !is_ejected(state, now); ++i)
    {
        state = after_result(state, i % 2 == 0, now);
    }
    BOOST_TEST(is_ejected(state, now));
}

BOOST_AUTO_TEST_CASE(ejections_in_a_row_last_twice_as_long_each)
{
    auto state = after_failures(3, now);
    const auto first = state.ejected_until_ - now;
    for (int i = 0; i < 3; ++i)
    {
        state = after_result(state, true, state.ejected_until_);
    }
    const auto second = state.ejected_until_ - now - first;
    BOOST_TEST((second == first * 2.0));
}

BOOST_AUTO_TEST_CASE(ejection_time_resets_after_a_long_time_without_ejection)
{
    auto state = after_failures(3, now);
    const auto first = state.ejected_until_ - now;
    const milliseconds later(1e6);
    for (int i = 0; i < 3; ++i)
    {
        state = after_result(state, true, later);
    }
    BOOST_TEST((state.ejected_until_ - later == first));
}

RC_BOOST_PROP(at_most_half_of_the_slots_are_ejected, ())
{
    const auto numbers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    std::vector<ejection_candidate> targets;
    int all = 0;
    for (const int number : numbers)
    {
        const milliseconds until(number * 7 % 100);
        targets.push_back({number % 3 != 0, until, number % 9});
        all += number % 9;
    }
    const auto ejected = limit_ejections(targets);
    RC_ASSERT(ejected.size() == targets.size());
    int ejected_slots = 0;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        RC_ASSERT((!ejected[i] || targets[i].ejected_));
        ejected_slots += ejected[i] ? targets[i].slots_ : 0;
    }
    RC_ASSERT(2 * ejected_slots <= all);
}

BOOST_AUTO_TEST_CASE(the_ejections_that_end_last_are_kept)
{
    const std::vector<ejection_candidate> targets{
        {true, milliseconds(10.0), 6},
        {true, milliseconds(30.0), 6},
        {true, milliseconds(20.0), 6},
        {true, milliseconds(40.0), 6}};
    const std::vector<bool> expected{false, true, false, true};
    BOOST_TEST((limit_ejections(targets) == expected));
}

BOOST_AUTO_TEST_CASE(single_target_is_never_ejected)
{
    const auto ejected = limit_ejections({{true, milliseconds(9.0), 6}});
    BOOST_TEST((ejected == std::vector<bool>{false}));
}

BOOST_AUTO_TEST_CASE(median_ignores_targets_without_samples)
{
    const milliseconds no_sample(0.0);
    BOOST_TEST((median_latency({}) == no_sample));
    BOOST_TEST((median_latency({no_sample, milliseconds(8.0), no_sample}) ==
                milliseconds(8.0)));
    BOOST_TEST((median_latency({milliseconds(90.0),
                                milliseconds(8.0),
                                milliseconds(9.0)}) == milliseconds(9.0)));
}

BOOST_AUTO_TEST_CASE(slow_start_weight_grows_linearly_from_a_tenth_to_one)
{
    const milliseconds ramp_up_time(1000.0);
    BOOST_TEST(slow_start_weight(milliseconds(-5.0), ramp_up_time) == 0.1);
    BOOST_TEST(slow_start_weight(milliseconds(0.0), ramp_up_time) == 0.1);
    BOOST_TEST(slow_start_weight(milliseconds(500.0), ramp_up_time) == 0.55);
    BOOST_TEST(slow_start_weight(milliseconds(2000.0), ramp_up_time) == 1.0);
    BOOST_TEST(slow_start_weight(milliseconds(0.0), milliseconds(0.0)) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(target_record_suite)

namespace
{

target_record with_responses(target_record record, double latency_ms, int times)
{
    for (int i = 0; i < times; ++i)
    {
        attempt_result result;
        result.latency_ = milliseconds(latency_ms);
        record = after_attempt(after_send(record), result, now);
    }
    return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(straggler_is_ejected_and_returns_in_slow_start)
{
    std::vector<target_record> records(4);
    for (auto& record : records)
    {
        record = with_responses(record, 20.0, 10);
    }
    records[2] = with_responses(target_record{}, 200.0, 10);
    BOOST_TEST(eject_stragglers(records, now) == 1);
    std::vector<target_view> views;
    for (const auto& record : records)
    {
        views.push_back(view_of(record, target_properties{}, now));
    }
    apply_ejections(views, records, now);
    BOOST_TEST(!views[2].eligible_);
    BOOST_TEST(views[1].eligible_);
    const auto ejection_end = records[2].outlier_.ejected_until_;
    BOOST_TEST(view_of(records[2], target_properties{}, ejection_end)
                   .slow_start_weight_ < 0.2);
}

BOOST_AUTO_TEST_CASE(target_with_few_responses_is_not_ejected)
{
    std::vector<target_record> records(3);
    records[0] = with_responses(target_record{}, 20.0, 10);
    records[1] = with_responses(target_record{}, 20.0, 10);
    records[2] = with_responses(target_record{}, 200.0, 4);
    BOOST_TEST(eject_stragglers(records, now) == 0);
}

// After its first ejection a target is compared after fewer responses.
BOOST_AUTO_TEST_CASE(returned_straggler_is_ejected_after_fewer_responses)
{
    std::vector<target_record> records(4);
    for (auto& record : records)
    {
        record = with_responses(record, 20.0, 10);
    }
    records[2] = with_responses(target_record{}, 200.0, 10);
    BOOST_TEST(eject_stragglers(records, now) == 1);
    const auto ejection_end = records[2].outlier_.ejected_until_;
    records[2] = with_responses(records[2], 200.0, 1);
    BOOST_TEST(eject_stragglers(records, ejection_end) == 0);
    records[2] = with_responses(records[2], 200.0, 1);
    BOOST_TEST(eject_stragglers(records, ejection_end) == 1);
}

// A target that fails fast has a low latency; its failures must not lower the
// measured latency.
BOOST_AUTO_TEST_CASE(failures_do_not_change_the_latency)
{
    auto record = with_responses(target_record{}, 20.0, 1);
    attempt_result failure;
    failure.latency_ = milliseconds(0.1);
    failure.failed_ = true;
    for (int i = 0; i < 3; ++i)
    {
        record = after_attempt(after_send(record), failure, now);
    }
    BOOST_TEST((record.latency_ == milliseconds(20.0)));
    BOOST_TEST(is_ejected(record.outlier_, now));
}

BOOST_AUTO_TEST_CASE(an_older_report_or_probe_changes_nothing)
{
    load_report newer;
    newer.busy_slots_ = 3;
    load_report older;
    older.busy_slots_ = 6;
    auto record = after_report(target_record{}, newer, milliseconds(1.0), now);
    record = after_report(record, older, milliseconds(50.0), now);
    BOOST_TEST(record.reported_load_ == 3);
    record = after_probe(record, newer, milliseconds(1.0), now);
    record = after_probe(record, older, milliseconds(50.0), now);
    BOOST_TEST(record.probed_load_ == 3);
}

BOOST_AUTO_TEST_CASE(view_shows_calls_since_the_report)
{
    load_report report;
    report.busy_slots_ = 5;
    auto record = after_send(target_record{});
    record = after_report(record, report, milliseconds(2.0), now);
    record = after_send(record);
    const auto view =
        view_of(record, target_properties{}, now + milliseconds(10.0));
    BOOST_TEST(view.local_in_flight_ == 2);
    BOOST_TEST(view.local_in_flight_at_report_ == 1);
    BOOST_TEST(view.sent_since_report_ == 1);
    BOOST_TEST((view.report_age_ == milliseconds(12.0)));
}

BOOST_AUTO_TEST_SUITE_END()
