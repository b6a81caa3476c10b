#include <av_metrics/av_metrics.hpp>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(samples_of_one_metric_share_one_header)
{
    const std::vector<metric_sample> samples = {
        {metric_type::counter, "calls_total", "Calls.", {{"o", "a"}}, 3},
        {metric_type::counter, "calls_total", "Calls.", {{"o", "b\"\n"}}, 4},
        {metric_type::gauge, "share", "A share.", {}, 0.5}};
    BOOST_TEST(render_exposition(samples) == "# HELP calls_total Calls.\n"
                                             "# TYPE calls_total counter\n"
                                             "calls_total{o=\"a\"} 3\n"
                                             "calls_total{o=\"b\\\"\\n\"} 4\n"
                                             "# HELP share A share.\n"
                                             "# TYPE share gauge\n"
                                             "share 0.5\n");
}

BOOST_AUTO_TEST_CASE(window_includes_observations_of_all_threads)
{
    latency_recorder recorder(2);
    std::thread first(
        [&]
        {
            for (int i = 1; i <= 500; ++i)
            {
                recorder.record(0, call_outcome::answered, milliseconds(i));
            }
        });
    for (int i = 501; i <= 1000; ++i)
    {
        recorder.record(1, call_outcome::answered, milliseconds(i));
    }
    first.join();
    const auto summary = recorder.end_window();
    BOOST_TEST(summary.count_ == 1000u);
    BOOST_TEST(summary.dropped_ == 0u);
    BOOST_TEST(summary.mean_.count() == 500.5);
    BOOST_TEST(summary.maximum_.count() == 1000.0);
    BOOST_TEST((summary.percentile_99_ > summary.median_));
    BOOST_TEST((recorder.end_window() == latency_summary{}));
}

BOOST_AUTO_TEST_CASE(buffer_overflow_is_counted_as_dropped)
{
    constexpr int offered = 40000;
    latency_recorder recorder(1);
    for (int i = 0; i < offered; ++i)
    {
        recorder.record(0, call_outcome::answered, milliseconds(1.0));
    }
    const auto summary = recorder.end_window();
    BOOST_TEST(summary.dropped_ > 0u);
    BOOST_TEST(summary.count_ + summary.dropped_ ==
               static_cast<std::uint64_t>(offered));
}

BOOST_AUTO_TEST_CASE(histograms_count_calls_by_outcome_since_the_start)
{
    latency_recorder recorder(1);
    recorder.record(0, call_outcome::answered, milliseconds(0.0));
    recorder.record(0, call_outcome::answered, milliseconds(7.0));
    recorder.record(0, call_outcome::answered, milliseconds(50000.0));
    recorder.record(0, call_outcome::not_run, milliseconds(60.0));
    recorder.collect();
    recorder.end_window();
    const auto answered = recorder.histogram(call_outcome::answered);
    BOOST_TEST(answered.cumulative_counts_[0] == 1U);
    BOOST_TEST(answered.cumulative_counts_[1] == 2U);
    BOOST_TEST(answered.cumulative_counts_.back() == 2U);
    BOOST_TEST(answered.count_ == 3U);
    BOOST_TEST(answered.sum_.count() == 50007.0);
    BOOST_TEST(recorder.histogram(call_outcome::not_run).count_ == 1U);
    BOOST_TEST(
        (recorder.histogram(call_outcome::unknown) == latency_histogram{}));
}

BOOST_AUTO_TEST_CASE(histogram_has_one_header_and_ends_with_sum_and_count)
{
    latency_histogram histogram;
    histogram.cumulative_counts_.fill(2);
    histogram.cumulative_counts_[0] = 1;
    histogram.count_ = 3;
    histogram.sum_ = milliseconds(12.5);
    std::vector<metric_sample> samples;
    append_histogram(samples, "took", "Time.", {{"o", "a"}}, histogram);
    const auto page = render_exposition(samples);
    BOOST_TEST(page.find("# HELP took Time.\n# TYPE took histogram\n"
                         "took_bucket{o=\"a\",le=\"5\"} 1\n"
                         "took_bucket{o=\"a\",le=\"10\"} 2\n") == 0U);
    BOOST_TEST(page.find("took_bucket{o=\"a\",le=\"+Inf\"} 3\n"
                         "took_sum{o=\"a\"} 12.5\n"
                         "took_count{o=\"a\"} 3\n") != std::string::npos);
    BOOST_TEST(page.rfind("# TYPE") == page.find("# TYPE"));
}

BOOST_AUTO_TEST_SUITE_END()
