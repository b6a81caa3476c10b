#include <av_core/log_event.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(log_line)

BOOST_AUTO_TEST_CASE(fields_are_key_value_pairs)
{
    log_event event(log_level::info, "release_accepted");
    event.field("version", 7).field("share", 0.5).field("first", true);
    BOOST_TEST(event.text() ==
               "event=release_accepted version=7 share=0.500 first=true");
}

BOOST_AUTO_TEST_CASE(control_characters_and_quotes_are_escaped)
{
    log_event event(log_level::info, "x");
    event.field("path", "/a b\n\"c\"");
    BOOST_TEST(event.text() == "event=x path=\"/a b\\x0a\\\"c\\\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
