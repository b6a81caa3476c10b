#include <av_feed/listing_progress.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

listed_object<int> readable(const std::string& name)
{
    return {name, 1, 7, ""};
}

listed_object<int> unreadable(const std::string& name)
{
    return {name, 1, std::nullopt, "scripted"};
}

listing_page<int> page_of(std::vector<listed_object<int>> objects,
                          bool has_more = true)
{
    return {std::move(objects), has_more, 9};
}

} // namespace

BOOST_AUTO_TEST_SUITE(listing_progresses)

BOOST_AUTO_TEST_CASE(a_listing_continues_after_the_last_readable_object)
{
    listing_progress<int> progress;
    BOOST_TEST((progress.add(page_of({readable("a"), unreadable("b")})) ==
                listing_step::read_next_page));
    BOOST_TEST(progress.next_name() == "a");
    BOOST_TEST((progress.add(page_of({unreadable("b"), unreadable("c")})) ==
                listing_step::read_next_page));
    BOOST_TEST(progress.next_name() == "c");
    BOOST_TEST((progress.add(page_of({readable("d")}, false)) ==
                listing_step::complete));
    BOOST_TEST(progress.take_objects().size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_page_without_a_name_to_continue_after_is_the_end)
{
    for (const auto& objects :
         {std::vector<listed_object<int>>{}, {unreadable("")}})
    {
        listing_progress<int> progress;
        BOOST_TEST((progress.add(page_of(objects)) == listing_step::stuck));
    }
}

// Whatever a store answers, it is asked for no name twice, and not for ever.
RC_BOOST_PROP(any_listing_ends, ())
{
    const std::vector<std::string> names{"", "a", "b", "c", "d", "e"};
    constexpr int max_calls = 24;
    listing_progress<int> progress;
    std::set<std::string> asked;
    for (int calls = 1;; ++calls)
    {
        RC_ASSERT(calls <= max_calls);
        std::vector<listed_object<int>> objects;
        for (const auto& name : *rc::gen::container<std::vector<std::string>>(
                 rc::gen::elementOf(names)))
        {
            objects.push_back(*rc::gen::arbitrary<bool>() ? readable(name)
                                                          : unreadable(name));
        }
        if (progress.add(page_of(objects)) == listing_step::stuck)
        {
            return;
        }
        RC_ASSERT(asked.insert(progress.next_name()).second);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
