#include <av_client/call_explanation.hpp>

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

using namespace anvilturn;

namespace
{

const std::string sent =
    "process=a-1 time_ms=1000.5 level=info event=call_sent call=9c41 "
    "service=kits target=i-1 attempt=1 waited_ms=3.2 reported_load=2 "
    "slowdown=1.000 report_age_ms=0.1 version=4";
const std::string lost =
    "process=a-1 time_ms=1050.5 level=info event=attempt_ended call=9c41 "
    "target=i-1 attempt=1 reason=target_answer_lost refused=false ran_ms=50.0";

std::string ended(const std::string& outcome)
{
    return "process=a-1 time_ms=1060.5 level=info event=call_ended call=9c41 " +
           outcome + " took_ms=63.2";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(explaining_a_call)

BOOST_AUTO_TEST_CASE(lines_of_several_logs_are_put_in_order)
{
    std::istringstream log(
        ended("outcome=unknown reason=target_answer_lost") +
        "\nnot a log line\n" + lost + "\n" + sent +
        "\nprocess=a-1 time_ms=1 event=call_sent call=9c4\n");
    const auto lines = lines_of_call("9c41", log);
    BOOST_TEST_REQUIRE(lines.size() == 3U);
    const auto explained = explain_call("9c41", lines);
    BOOST_TEST(explained.lines_[0] == sent);
    BOOST_TEST(explained.lines_[1] == lost);
    BOOST_TEST(
        contains(explained.cause_, "Failed (may have run) after 63.2 ms"));
    BOOST_TEST(contains(explained.cause_, "target_answer_lost at i-1"));
}

BOOST_AUTO_TEST_CASE(a_refusal_names_reason_and_remedy)
{
    const auto explained = explain_call(
        "9c41", {ended("outcome=not-run reason=deadline_unreachable")});
    BOOST_TEST(contains(explained.cause_, "Refused (not run)"));
    BOOST_TEST(contains(explained.cause_, "deadline_unreachable"));
    BOOST_TEST(contains(explained.cause_, "longer deadline"));
    BOOST_TEST(contains(explained.cause_, "sent to no target"));
}

BOOST_AUTO_TEST_CASE(a_refusal_tells_how_the_targets_looked)
{
    const auto explained = explain_call(
        "9c41",
        {ended("outcome=not-run reason=deadline_unreachable eligible=17 "
               "full=12 slowed=5 newest_report_ms=3.100")});
    BOOST_TEST(contains(explained.cause_,
                        "of 17 eligible targets, 12 were full and 5 slowed; "
                        "the newest load report was 3.100 ms old"));
}

BOOST_AUTO_TEST_CASE(a_late_answer_shows_where_the_time_went)
{
    const auto explained =
        explain_call("9c41", {sent, ended("outcome=answered reason=\"\"")});
    BOOST_TEST(contains(explained.cause_, "Answered after 63.2 ms"));
    BOOST_TEST(contains(explained.cause_, "last to i-1 after 3.2 ms"));
}

BOOST_AUTO_TEST_CASE(nothing_found_is_said_so)
{
    BOOST_TEST(
        contains(explain_call("9c41", {}).cause_, "No log line has call=9c41"));
    BOOST_TEST(contains(explain_call("9c41", {sent}).cause_,
                        "do not contain the end of the call"));
}

BOOST_AUTO_TEST_SUITE_END()
