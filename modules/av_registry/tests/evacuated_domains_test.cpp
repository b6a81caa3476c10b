#include <av_registry/av_registry.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

listed_object<evacuation_spec> entry(const std::string& name)
{
    listed_object<evacuation_spec> result;
    result.name_ = name;
    result.value_ = evacuation_spec();
    return result;
}

object_change<evacuation_spec> change(const std::string& name, bool removed)
{
    return {entry(name), removed, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuated_domains_suite)

// An operator may write any content; an evacuation whose content can't be
// decoded would otherwise be ignored.
BOOST_AUTO_TEST_CASE(an_entry_counts_whatever_its_content)
{
    auto unreadable = entry("b");
    unreadable.value_.reset();
    unreadable.decode_error_ = "the spec can't be decoded";
    BOOST_TEST(
        (domains_listed({entry("a"), unreadable}) == domain_set{"a", "b"}));
}

// Names are sent to all VMs, so an odd one must not grow the messages.
BOOST_AUTO_TEST_CASE(names_that_no_domain_can_have_are_ignored)
{
    const std::string too_long(5000, 'x');
    BOOST_TEST((domains_listed({entry(""), entry(too_long), entry("a")}) ==
                domain_set{"a"}));
    BOOST_TEST((domains_after_changes(
                    {"a"}, {change("", false), change(too_long, false)}) ==
                domain_set{"a"}));
}

// A store may report an entry that was removed and written again, or the other
// way round, in one response.
BOOST_AUTO_TEST_CASE(the_last_change_of_a_domain_counts)
{
    BOOST_TEST((domains_after_changes({"a"},
                                      {change("a", true),
                                       change("a", false),
                                       change("b", false),
                                       change("b", true),
                                       change("", true)}) == domain_set{"a"}));
}

BOOST_AUTO_TEST_SUITE_END()
