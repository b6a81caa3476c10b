#include "release_fixture.hpp"

#include <rapidcheck/boost_test.h>

#include <functional>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

release_note_builder note(const std::string& id, release_version base)
{
    return release_note_builder(id, base);
}

absl::StatusOr<release> try_apply(const release& current,
                                  const release_note_builder& builder)
{
    return apply_note(current, builder.build().value(), test_limits());
}

struct refusal
{
    std::string name_;
    release_note_builder note_;
    error_kind kind_;
    std::string part_;
};

// The design size of the users' two-year plan.
constexpr int planned_targets = 850;
constexpr int planned_services = 59;

release planned_size_release()
{
    release_note_builder builder("design", 0);
    for (int i = 0; i < planned_services; ++i)
    {
        const std::string service = "service-number-" + std::to_string(i);
        builder.add(make_service(service));
        for (const char* path : {"/look-up", "/order", "/archive"})
        {
            builder.add(rule_builder("rule-" + service + (path + 1))
                            .service(service)
                            .host(service + ".hanoi.example")
                            .path_prefix(path)
                            .build()
                            .value());
        }
    }
    for (int i = 0; i < planned_targets; ++i)
    {
        const std::string service =
            "service-number-" + std::to_string(i % planned_services);
        builder.add(
            make_target(service + "-target-" + std::to_string(i), service, i));
    }
    return applied(release(), builder);
}

// Returns the release as it is after so many more notes with ids of the longest
// form, each of which added a target and withdrew that of the note before.
release with_full_history(release value, std::size_t notes)
{
    while (value.version_ < notes)
    {
        ++value.version_;
        const std::string number = std::to_string(value.version_ + 10'000);
        value.note_id_ = std::string(59, 'n') + number;
        value.recent_notes_[value.version_] = value.note_id_;
        value.changed_in_["target/target-of-a-day-" + number] = value.version_;
    }
    value.targets_["day-target-0"] =
        make_target("day-target-0", value.services_.begin()->first, 60'000);
    value.changed_in_["target/day-target-0"] = value.version_;
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(apply_note_tests)

BOOST_AUTO_TEST_CASE(a_note_adds_changes_and_withdraws)
{
    const release first = first_release();
    const release second =
        applied(first,
                note("second", 1)
                    .add(make_target("t3", "s", 3))
                    .change_target({"t1",
                                    {{"slots", 0, yaml_scalar("9")},
                                     {"draining", 0, yaml_scalar("true")}}})
                    .withdraw_target("t2"));
    BOOST_TEST(second.version_ == 2u);
    BOOST_TEST(second.note_id_ == "second");
    BOOST_TEST(second.targets_.size() == 2u);
    BOOST_TEST(second.targets_.at("t1").slots_ == 9);
    BOOST_TEST(second.targets_.at("t1").draining_);
    BOOST_TEST(second.targets_.at("t1").address_ ==
               first.targets_.at("t1").address_);
    BOOST_TEST(second.targets_.count("t3") == 1u);
    BOOST_TEST((second.services_ == first.services_));
    BOOST_TEST(second.changed_in_.at("target/t2") == 2u);
    BOOST_TEST(second.changed_in_.at("service/s") == 1u);
    BOOST_TEST((find_note(second, "first") == release_version(1)));
    BOOST_TEST((find_note(second, "second") == release_version(2)));
    BOOST_TEST(!find_note(second, "third").has_value());
}

BOOST_AUTO_TEST_CASE(invalid_note_is_refused_as_one)
{
    const auto invalid = error_kind::release_invalid;
    service_spec unknown_policy = make_service("p");
    unknown_policy.choice_policy_ = "best";
    const std::vector<refusal> refusals = {
        {"unknown service of a target",
         note("n", 1).add(make_target("t3", "x", 3)),
         invalid,
         "service 'x'"},
        {"unknown service of a rule",
         note("n", 1).add(make_rule("q", "x", "/q")),
         invalid,
         "service 'x'"},
        {"withdrawn service that still has targets",
         note("n", 1).withdraw_service("s"),
         invalid,
         "target 't1' names service 's'"},
        {"withdrawn service that still has a rule",
         note("n", 1)
             .withdraw_service("s")
             .withdraw_target("t1")
             .withdraw_target("t2"),
         invalid,
         "rule 'r' names service 's'"},
        {"added object that exists",
         note("n", 1).add(make_target("t1", "s", 3)),
         invalid,
         "target/t1 is added but exists"},
        {"changed object that does not exist",
         note("n", 1).change_rule(change_of("q", "idempotent", "true")),
         invalid,
         "rule/q is changed but does not exist"},
        {"withdrawn object that does not exist",
         note("n", 1).withdraw_target("t9"),
         invalid,
         "target/t9 is withdrawn but does not exist"},
        {"address that another target has",
         note("n", 1).add(make_target("t3", "s", 2)),
         invalid,
         "same address"},
        {"rules that are tied",
         note("n", 1).add(make_rule("q", "s", "/")),
         invalid,
         "rules 'q' and 'r' overlap"},
        {"unknown choice policy",
         note("n", 1).add(unknown_policy),
         invalid,
         "'best' is unknown"},
        {"change that breaks a rule",
         note("n", 1).change_rule(change_of("r", "header_value", "v")),
         invalid,
         "needs header_name"},
        {"id of an accepted note",
         note("first", 1).withdraw_target("t1"),
         invalid,
         "accepted as version 1"},
        {"base that does not exist yet",
         note("n", 2).withdraw_target("t1"),
         invalid,
         "base version 2"}};
    for (const refusal& row : refusals)
    {
        const auto result = try_apply(first_release(), row.note_);
        BOOST_TEST_CONTEXT(row.name_)
        {
            BOOST_TEST_REQUIRE(!result.ok());
            BOOST_TEST((kind_of(result.status()) == row.kind_));
            BOOST_TEST(mentions(result.status(), row.part_), result.status());
            BOOST_TEST(mentions(result.status(), "remedy: "));
        }
    }
}

BOOST_AUTO_TEST_CASE(rules_are_ambiguous_only_if_a_request_can_match_both)
{
    struct ambiguity_case
    {
        rule_builder a_;
        rule_builder b_;
        bool ambiguous_;
    };
    const auto rule = [](const std::string& path)
    {
        rule_builder builder("r");
        return builder.service("s").path_prefix(path);
    };
    const std::vector<ambiguity_case> cases = {
        {rule("/a"), rule("/a"), true},
        {rule("/a"), rule("/a/b"), false},
        {rule("/a").host("x"), rule("/a"), false},
        {rule("/a").host("x"), rule("/a").host("y"), false},
        {rule("/a").host("x"), rule("/a").host("x"), true},
        {rule("/a").methods({"GET"}), rule("/a").methods({"PUT"}), false},
        {rule("/a").methods({"GET", "PUT"}), rule("/a").methods({"PUT"}), true},
        {rule("/a").host("x"), rule("/a").methods({"GET"}), true},
        {rule("/a").header("K", "1"), rule("/a").header("k", "2"), false},
        {rule("/a").header("K", "1"), rule("/a").header("k", "1"), true},
        {rule("/a").header("K", "1"), rule("/a").header("L", "1"), true},
        {rule("/a").host("x").methods({"GET"}), rule("/a").host("x"), false}};
    for (const ambiguity_case& row : cases)
    {
        const rule_spec a = row.a_.build().value();
        const rule_spec b = row.b_.build().value();
        BOOST_TEST(are_ambiguous(a, b) == row.ambiguous_);
        BOOST_TEST(are_ambiguous(b, a) == row.ambiguous_);
    }
}

BOOST_AUTO_TEST_CASE(notes_with_common_or_required_objects_conflict)
{
    struct conflict_case
    {
        std::string name_;
        release_note_builder earlier_;
        release_note_builder later_;
        // Empty if both are accepted.
        std::string conflict_;
    };
    const std::vector<conflict_case> cases = {
        {"same target changed",
         note("a", 1).change_target(change_of("t1", "slots", "7")),
         note("b", 1).change_target(change_of("t1", "slots", "8")),
         "target/t1 in version 2"},
        {"target changed and withdrawn",
         note("a", 1).withdraw_target("t1"),
         note("b", 1).change_target(change_of("t1", "slots", "8")),
         "target/t1 in version 2"},
        {"target withdrawn twice",
         note("a", 1).withdraw_target("t1"),
         note("b", 1).withdraw_target("t1"),
         "target/t1 in version 2"},
        {"same name added",
         note("a", 1).add(make_target("t3", "s", 3)),
         note("b", 1).add(make_target("t3", "s", 4)),
         "target/t3 in version 2"},
        {"target added to a service that was withdrawn",
         note("a", 1)
             .withdraw_service("s")
             .withdraw_rule("r")
             .withdraw_target("t1")
             .withdraw_target("t2"),
         note("b", 1).add(make_target("t3", "s", 3)),
         "service/s in version 2"},
        {"service withdrawn after a target was added to it",
         note("a", 1).add(make_target("t3", "s", 3)),
         note("b", 1)
             .withdraw_service("s")
             .withdraw_rule("r")
             .withdraw_target("t1")
             .withdraw_target("t2"),
         "target/t3 in version 2"},
        {"rules added that are tied",
         note("a", 1).add(make_rule("p", "s", "/p")),
         note("b", 1).add(make_rule("q", "s", "/p")),
         "rule/p in version 2"},
        {"targets added with one address",
         note("a", 1).add(make_target("t3", "s", 3)),
         note("b", 1).add(make_target("t4", "s", 3)),
         "target/t3 in version 2"},
        {"targets added to the same service",
         note("a", 1).add(make_target("t3", "s", 3)),
         note("b", 1).add(make_target("t4", "s", 4)),
         ""},
        {"different targets changed",
         note("a", 1).change_target(change_of("t1", "draining", "true")),
         note("b", 1).change_target(change_of("t2", "draining", "true")),
         ""},
        {"rule changed while a target drains",
         note("a", 1).change_rule(change_of("r", "idempotent", "true")),
         note("b", 1).change_target(change_of("t2", "draining", "true")),
         ""}};
    for (const conflict_case& row : cases)
    {
        const release second = applied(first_release(), row.earlier_);
        const auto result = try_apply(second, row.later_);
        BOOST_TEST_CONTEXT(row.name_)
        {
            BOOST_TEST(result.ok() == row.conflict_.empty(), result.status());
            if (!result.ok())
            {
                BOOST_TEST(
                    (kind_of(result.status()) == error_kind::release_conflict));
                BOOST_TEST(mentions(result.status(), row.conflict_),
                           result.status());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(history_is_trimmed_and_older_bases_conflict)
{
    release_limits limits = test_limits();
    limits.max_recent_notes_ = 3;
    release current = first_release();
    const auto apply = [&](const release_note_builder& builder)
    {
        current = apply_note(current, builder.build().value(), limits).value();
    };
    apply(note("n2", 1).withdraw_target("t2"));
    for (int i = 3; i <= 5; ++i)
    {
        apply(note("n" + std::to_string(i), current.version_)
                  .change_target(change_of("t1", "slots", std::to_string(i))));
    }
    BOOST_TEST(current.recent_notes_.size() == 3u);
    BOOST_TEST(oldest_base(current) == 2u);
    // The withdrawal in version 2 can matter to no base from 2 on.
    BOOST_TEST(current.changed_in_.count("target/t2") == 0u);
    BOOST_TEST(current.changed_in_.count("service/s") == 1u);
    const auto disjoint = [&](release_version base)
    {
        return apply_note(
            current,
            note("late", base).add(make_target("t2", "s", 2)).build().value(),
            limits);
    };
    BOOST_TEST(disjoint(2).ok());
    const auto too_old = disjoint(1);
    BOOST_TEST((kind_of(too_old.status()) == error_kind::release_conflict));
    BOOST_TEST(mentions(too_old.status(), "before version 2"),
               too_old.status());
}

BOOST_AUTO_TEST_CASE(a_release_beyond_the_value_limit_is_refused)
{
    release_limits limits = test_limits();
    const auto wanted = note("big", 1).add(make_target("t3", "s", 3));
    const release result = applied(first_release(), wanted);
    limits.max_value_bytes_ = write_release(result).size();
    BOOST_TEST(
        apply_note(first_release(), wanted.build().value(), limits).ok());
    --limits.max_value_bytes_;
    const auto refused =
        apply_note(first_release(), wanted.build().value(), limits);
    BOOST_TEST((kind_of(refused.status()) == error_kind::release_too_large));
}

BOOST_AUTO_TEST_CASE(planned_size_with_full_history_fits_a_platform_value)
{
    const release_limits limits = test_limits();
    const release current = applied(
        with_full_history(planned_size_release(), limits.max_recent_notes_),
        note("newest", limits.max_recent_notes_)
            .withdraw_target("day-target-0"));
    const std::string text = write_release(current);
    BOOST_TEST_MESSAGE(
        "bytes of the release at the design size: " << text.size());
    BOOST_TEST(text.size() < limits.max_value_bytes_ / 2);
    BOOST_TEST(current.recent_notes_.size() == limits.max_recent_notes_);
    const auto read = parse_release(text, "test");
    BOOST_TEST_REQUIRE(read.ok(), read.status());
    BOOST_TEST((*read == current));
}

BOOST_AUTO_TEST_SUITE_END()
