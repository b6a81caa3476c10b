#include "release_fixture.hpp"

#include <rapidcheck/boost_test.h>

#include <set>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

// Returns the first release after one small note for each step, so that it has
// a history.
release release_after_notes(const std::vector<int>& steps)
{
    release current = first_release();
    for (const int step : steps)
    {
        const std::string name = "x" + std::to_string(current.version_);
        release_note_builder builder("note-" + name, current.version_);
        if (step % 3 == 0)
        {
            builder.change_target(
                change_of("t1", "slots", std::to_string(step % 100 + 1)));
        }
        else
        {
            builder.add(make_target(
                name, "s", static_cast<int>(current.version_) + 10));
        }
        current = applied(current, builder);
    }
    return current;
}

rc::Gen<release> any_release()
{
    return rc::gen::map(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)),
        release_after_notes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(release_codec_tests)

RC_BOOST_PROP(a_written_release_reads_back_the_same, ())
{
    const release value = *any_release();
    const auto read = parse_release(write_release(value), "platform");
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == value);
    RC_ASSERT(digest_of(*read) == digest_of(value));
}

RC_BOOST_PROP(different_releases_have_different_digests, ())
{
    const auto steps =
        *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 1000));
    const auto others =
        *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 4));
    const release a = release_after_notes(steps);
    const release b = release_after_notes(others);
    RC_ASSERT((digest_of(a) == digest_of(b)) == (a == b));
}

RC_BOOST_PROP(corrupt_release_is_parsed_or_refused_as_malformed, ())
{
    const release value = *any_release();
    std::string text = write_release(value);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    const auto read = parse_release(text, "platform");
    RC_ASSERT(read.ok() ||
              kind_of(read.status()) == error_kind::platform_malformed);
}

BOOST_AUTO_TEST_CASE(the_empty_release_reads_back)
{
    const auto read = parse_release(write_release(release()), "platform");
    BOOST_TEST_REQUIRE(read.ok(), read.status());
    BOOST_TEST((*read == release()));
}

BOOST_AUTO_TEST_CASE(digest_is_a_prefix_of_sha_256)
{
    // Expected digest: printf of the text below | sha256sum.
    BOOST_TEST(write_release(release()) ==
               "version: 0\nnote_id: \"\"\nservices: []\ntargets: []\n"
               "rules: []\nchanged_in: {}\nrecent_notes: {}\n");
    BOOST_TEST(digest_of(release()) == "82e921e4d3878e56");
}

BOOST_AUTO_TEST_CASE(an_inconsistent_release_is_refused)
{
    const std::string text = write_release(first_release());
    struct refused_case
    {
        std::string from_;
        std::string to_;
        std::string expected_text_;
    };
    const std::vector<refused_case> cases = {
        {"version: 1", "version: 2", "newest of recent_notes"},
        {"version: 1", "version: -1", "'version'"},
        {"version: 1\n", "", "missing"},
        {"name: t2", "name: t1", "'t1' is listed twice"},
        {"service: s,", "service: x,", "service 'x'"},
        {"slots: 6", "slots: 0", "'targets.slots'"},
        {"slots: 6", "slotz: 6", "unknown key"},
        {"rules:", "rulez:", "'rulez'"},
        {"service/s: 1", "service/s: x", "'changed_in.service/s'"},
        {"1: first", "x: first", "'recent_notes.x'"}};
    for (const refused_case& row : cases)
    {
        std::string changed = text;
        const auto at = changed.find(row.from_);
        BOOST_TEST_REQUIRE(at != std::string::npos, row.from_);
        changed.replace(at, row.from_.size(), row.to_);
        const auto read = parse_release(changed, "vm-b");
        BOOST_TEST_CONTEXT(row.from_ << " -> " << row.to_)
        {
            BOOST_TEST_REQUIRE(!read.ok());
            BOOST_TEST(
                (kind_of(read.status()) == error_kind::platform_malformed));
            BOOST_TEST(mentions(read.status(), row.expected_text_),
                       read.status());
            BOOST_TEST(mentions(read.status(), "vm-b:"), read.status());
        }
    }
}

BOOST_AUTO_TEST_CASE(release_with_an_unregistered_choice_policy_is_parsed)
{
    release value = first_release();
    value.services_.at("s").choice_policy_ = "of_a_newer_version";
    const auto read = parse_release(write_release(value), "platform");
    BOOST_TEST_REQUIRE(read.ok(), read.status());
    BOOST_TEST((*read == value));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(release_order_tests)

// Releases are received stale, repeatedly and out of order.
RC_BOOST_PROP(version_in_force_is_monotonic_and_ends_at_the_newest, ())
{
    const auto steps =
        *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 1000));
    std::vector<release> published = {release()};
    for (std::size_t i = 0; i <= steps.size(); ++i)
    {
        published.push_back(
            release_after_notes({steps.begin(), steps.begin() + i}));
    }
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, published.size()));
    release in_force;
    release_version newest = 0;
    for (const std::size_t index : order)
    {
        const release_version before = in_force.version_;
        in_force = release(newer_release(in_force, published[index]));
        newest = std::max(newest, published[index].version_);
        RC_ASSERT(in_force.version_ >= before);
        RC_ASSERT(in_force.version_ == newest);
        RC_ASSERT(in_force == published[in_force.version_]);
    }
}

BOOST_AUTO_TEST_CASE(release_of_the_same_version_does_not_replace)
{
    const release value = first_release();
    release other = value;
    other.targets_.erase("t1");
    BOOST_TEST((compare_releases(value, value) == release_order::same));
    BOOST_TEST((compare_releases(value, other) == release_order::diverged));
    BOOST_TEST((compare_releases(value, release()) == release_order::older));
    BOOST_TEST((compare_releases(release(), value) == release_order::newer));
    BOOST_TEST((newer_release(value, other) == value));
}

BOOST_AUTO_TEST_SUITE_END()
