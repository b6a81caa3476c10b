#include <av_core/error.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(error)

BOOST_AUTO_TEST_CASE(every_kind_has_one_entry_with_a_remedy)
{
    std::set<error_kind> kinds;
    std::set<std::string> names;
    for (const auto& entry : error_catalogue())
    {
        BOOST_TEST(kinds.insert(entry.kind_).second);
        BOOST_TEST(names.insert(std::string(entry.name_)).second);
        BOOST_TEST(!entry.remedy_.empty());
        BOOST_TEST((entry.code_ != absl::StatusCode::kOk));
    }
    BOOST_TEST(kinds.size() ==
               static_cast<std::size_t>(error_kind::internal) + 1);
}

BOOST_AUTO_TEST_CASE(message_names_kind_detail_and_remedy)
{
    for (const auto& entry : error_catalogue())
    {
        const auto status = make_error(entry.kind_, "detail 42");
        const std::string message(status.message());
        BOOST_TEST(message.find(std::string(entry.name_)) == 0u);
        BOOST_TEST(message.find("detail 42") != std::string::npos);
        BOOST_TEST(message.find(std::string(entry.remedy_)) !=
                   std::string::npos);
        BOOST_TEST((kind_of(status) == entry.kind_));
    }
}

BOOST_AUTO_TEST_CASE(status_not_from_make_error_has_no_kind)
{
    BOOST_TEST(!kind_of(absl::InternalError("elsewhere")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
