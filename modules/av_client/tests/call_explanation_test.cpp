#include <av_client/call_explanation.hpp>

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

using namespace anvilturn;

namespace
{

const std::string sent_line =
    "process=a-1 time_ms=1000.5 level=info event=call_sent call=9c41 "
    "service=kits target=i-1 attempt=1 waited_ms=3.2 reported_load=2 "
    "slowdown=1.000 report_age_ms=0.1 version=4";
const std::string attempt_ended_line =
    "process=a-1 time_ms=1050.5 level=info event=attempt_ended call=9c41 "
    "target=i-1 attempt=1 reason=target_answer_lost refused=false ran_ms=50.0";

std::string call_ended_line(const std::string& outcome)
{
    return "process=a-1 time_ms=1060.5 level=info event=call_ended call=9c41 " +
           outcome + " took_ms=63.2";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_explanation_tests)

BOOST_AUTO_TEST_CASE(log_lines_are_filtered_by_call_and_sorted_by_time)
{
    std::istringstream log(
        call_ended_line("outcome=unknown reason=target_answer_lost") +
        "\nnot a log line\n" + attempt_ended_line + "\n" + sent_line +
        "\nprocess=a-1 time_ms=1 event=call_sent call=9c4\n");
    const auto lines = find_call_lines("9c41", log);
    BOOST_TEST_REQUIRE(lines.size() == 3U);
    const auto explained = explain_call("9c41", lines);
    BOOST_TEST(explained.lines_[0] == sent_line);
    BOOST_TEST(explained.lines_[1] == attempt_ended_line);
    BOOST_TEST(
        contains(explained.summary_, "Failed (may have run) after 63.2 ms"));
    BOOST_TEST(contains(explained.summary_, "target_answer_lost at i-1"));
}

BOOST_AUTO_TEST_CASE(refused_call_is_explained_with_reason_and_remedy)
{
    const auto explained = explain_call(
        "9c41",
        {call_ended_line("outcome=not-run reason=deadline_unreachable")});
    BOOST_TEST(contains(explained.summary_, "Refused (not run)"));
    BOOST_TEST(contains(explained.summary_, "deadline_unreachable"));
    BOOST_TEST(contains(explained.summary_, "longer deadline"));
    BOOST_TEST(contains(explained.summary_, "sent to no target"));
}

BOOST_AUTO_TEST_CASE(refused_call_is_explained_with_the_target_summary)
{
    const auto explained = explain_call(
        "9c41",
        {call_ended_line(
            "outcome=not-run reason=deadline_unreachable eligible=17 "
            "full=12 slowed=5 newest_report_ms=3.100")});
    BOOST_TEST(contains(explained.summary_,
                        "of 17 eligible targets, 12 were full and 5 slowed; "
                        "the newest load report was 3.100 ms old"));
}

// The summary has an age of -1 if no eligible target has reported.
BOOST_AUTO_TEST_CASE(a_summary_without_load_reports_says_so)
{
    const auto explained = explain_call(
        "9c41",
        {call_ended_line(
            "outcome=not-run reason=deadline_unreachable eligible=2 "
            "full=2 slowed=0 newest_report_ms=-1.000")});
    BOOST_TEST(contains(explained.summary_,
                        "2 were full and 0 slowed; none of them had reported "
                        "its load"));
    BOOST_TEST(!contains(explained.summary_, "-1"));
}

BOOST_AUTO_TEST_CASE(a_forwarded_call_is_explained_with_its_vm)
{
    const auto explained = explain_call(
        "9c41",
        {"time_ms=1000.5 event=call_sent call=9c41 service=kits "
         "home_vm=a-2 attempt=1 waited_ms=3.2",
         "time_ms=1050.5 event=attempt_ended call=9c41 home_vm=a-2 "
         "attempt=1 reason=target_answer_lost refused=false ran_ms=50.0",
         call_ended_line("outcome=unknown reason=target_answer_lost")});
    BOOST_TEST(contains(explained.summary_, "the last to VM a-2 after 3.2 ms"));
    BOOST_TEST(contains(explained.summary_, "target_answer_lost at VM a-2"));
}

BOOST_AUTO_TEST_CASE(answered_call_is_explained_with_wait_and_total_time)
{
    const auto explained = explain_call(
        "9c41", {sent_line, call_ended_line("outcome=answered reason=\"\"")});
    BOOST_TEST(contains(explained.summary_, "Answered after 63.2 ms"));
    BOOST_TEST(contains(explained.summary_, "last to i-1 after 3.2 ms"));
}

BOOST_AUTO_TEST_CASE(missing_lines_and_missing_end_are_reported)
{
    BOOST_TEST(contains(explain_call("9c41", {}).summary_,
                        "No log line has call=9c41"));
    BOOST_TEST(contains(explain_call("9c41", {sent_line}).summary_,
                        "do not contain the end of the call"));
}

BOOST_AUTO_TEST_SUITE_END()
