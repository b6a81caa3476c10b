#include "release_fixture.hpp"

#include <rapidcheck/boost_test.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

const std::string minimal_note = "note: {id: n-1, base_version: 0}\n"
                                 "add:\n"
                                 "  services: [{name: s}]\n";

struct error_case
{
    std::string text_;
    // Texts that the error message must contain, in this order.
    std::vector<std::string> expected_texts_;
};

void check_error(const error_case& error)
{
    const auto result = parse_release_note(error.text_, "n.yaml");
    BOOST_TEST_REQUIRE(!result.ok(), error.text_);
    BOOST_TEST((kind_of(result.status()) == error_kind::release_invalid));
    const std::string message(result.status().message());
    std::size_t at = 0;
    for (const std::string& part : error.expected_texts_)
    {
        at = message.find(part, at);
        BOOST_TEST(at != std::string::npos,
                   "'" << part << "' is not in: " << message);
    }
    BOOST_TEST(message.find("remedy: ") != std::string::npos);
}

std::string name_from(const std::string& prefix, int number)
{
    return prefix + std::to_string(number);
}

rc::Gen<std::string> printable_text()
{
    return rc::gen::container<std::string>(
        rc::gen::inRange<char>(' ', static_cast<char>('~' + 1)));
}

rc::Gen<service_spec> any_service(const std::string& name)
{
    return rc::gen::apply(
        [name](int queue, int deadline, int ratio, int probes, int limit)
        {
            return service_builder(name)
                .queue_limit(queue)
                .default_deadline(milliseconds(deadline / 8.0 + 1.0))
                .retry_ratio(ratio / 1024.0)
                .probes_per_second(probes / 3.0)
                .target_concurrency(limit)
                .build()
                .value();
        },
        rc::gen::inRange(0, 100'001),
        rc::gen::inRange(0, 100'000),
        rc::gen::inRange(0, 1025),
        rc::gen::inRange(0, 3000),
        rc::gen::inRange(0, 10'001));
}

rc::Gen<rule_spec> any_rule(const std::string& name)
{
    return rc::gen::apply(
        [name](int path, bool has_header, std::string value, int kind)
        {
            while (!value.empty() && value.front() == ' ')
            {
                value.erase(0, 1);
            }
            while (!value.empty() && value.back() == ' ')
            {
                value.pop_back();
            }
            rule_builder builder(name);
            builder.service("s0")
                .path_prefix("/p" + std::to_string(path))
                .methods(path % 2 == 0 ? std::vector<std::string>{"GET", "PUT"}
                                       : std::vector<std::string>{})
                .traffic(static_cast<traffic_class>(kind))
                .idempotent(path % 3 == 0);
            if (has_header)
            {
                builder.header("X-Kind", value.substr(0, 256));
            }
            return builder.build().value();
        },
        rc::gen::inRange(0, 1000),
        rc::gen::arbitrary<bool>(),
        printable_text(),
        rc::gen::inRange(0, 3));
}

// A note that adds, changes and withdraws objects of all kinds.
rc::Gen<release_note> any_note()
{
    return rc::gen::apply(
        [](const service_spec& service,
           const rule_spec& rule,
           int targets,
           int base,
           const std::string& comment)
        {
            release_note_builder builder(name_from("note-", base),
                                         static_cast<release_version>(base));
            builder.comment(comment.substr(0, 1024)).add(service).add(rule);
            for (int i = 0; i < targets; ++i)
            {
                builder.add(make_target(name_from("t", i), "s0", i));
                builder.change_target(change_of(
                    name_from("c", i), "slots", std::to_string(i + 1)));
                builder.withdraw_target(name_from("w", i));
            }
            builder.change_rule(
                {"changed", {{"methods", 0, yaml_list({"GET", "PUT"})}}});
            builder.withdraw_service("gone").withdraw_rule("gone");
            return builder.build().value();
        },
        any_service("s0"),
        any_rule("r0"),
        rc::gen::inRange(0, 20),
        rc::gen::inRange(0, 1'000'000),
        printable_text());
}

} // namespace

BOOST_AUTO_TEST_SUITE(release_note_tests)

RC_BOOST_PROP(a_written_note_reads_back_the_same, ())
{
    const auto note = *any_note();
    const auto read = parse_release_note(write_release_note(note), "note");
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == note);
}

RC_BOOST_PROP(arbitrary_text_does_not_crash_the_parser, ())
{
    // Fragments of valid notes in any order, mixed with arbitrary text.
    const auto part =
        rc::gen::oneOf(rc::gen::element<std::string>("note:",
                                                     "add:\n",
                                                     "  services:\n",
                                                     "  - ",
                                                     "{name: s}",
                                                     "[",
                                                     "{",
                                                     "&a ",
                                                     "*a",
                                                     "base_version: 1\n",
                                                     "? ",
                                                     "---\n",
                                                     "|\n"),
                       rc::gen::arbitrary<std::string>());
    const auto parts = *rc::gen::container<std::vector<std::string>>(part);
    std::string text = *rc::gen::element(std::string(), minimal_note);
    for (const std::string& piece : parts)
    {
        text += piece;
    }
    const auto read = parse_release_note(text, "note");
    RC_ASSERT(read.ok() ||
              kind_of(read.status()) == error_kind::release_invalid);
}

BOOST_AUTO_TEST_CASE(note_members_are_parsed)
{
    const auto note = parse_release_note(
        "note: {id: n-2, base_version: 4, comment: \"kho kit\"}\n"
        "add:\n"
        "  targets: [{name: t, service: s, address: \"10.0.0.1:80\", "
        "failure_domain: a, slots: 3, draining: true}]\n"
        "  rules: [{name: r, host: quiz.example, path_prefix: /kits, "
        "methods: [GET], service: s, class: bulk, idempotent: true}]\n"
        "change:\n"
        "  services: [{name: s, queue_limit: 9}]\n"
        "withdraw: {targets: [old], rules: }\n",
        "n.yaml");
    BOOST_TEST_REQUIRE(note.ok(), note.status());
    BOOST_TEST(note->id() == "n-2");
    BOOST_TEST(note->base_version() == 4u);
    BOOST_TEST(note->comment() == "kho kit");
    BOOST_TEST(note->targets().added_.at(0).slots_ == 3);
    BOOST_TEST(note->targets().added_.at(0).connection_limit_ == 330);
    BOOST_TEST(note->targets().added_.at(0).draining_);
    BOOST_TEST((note->rules().added_.at(0).class_ == traffic_class::bulk));
    BOOST_TEST(note->rules().added_.at(0).idempotent_);
    BOOST_TEST((note->services().changed_.at(0) ==
                change_of("s", "queue_limit", "9")));
    BOOST_TEST(note->targets().withdrawn_.at(0) == "old");
}

BOOST_AUTO_TEST_CASE(errors_name_file_line_key_and_allowed_values)
{
    const std::string head = "note: {id: n-1, base_version: 0}\n";
    const std::vector<error_case> error_cases = {
        {"", {"n.yaml:1:", "needs keys"}},
        {head, {"lists 0 objects"}},
        {"add: {services: [{name: s}]}", {"'note.id'", "name, 1 to 64"}},
        {"note: {id: n}\nadd: {services: [{name: s}]}",
         {"n.yaml:1:", "'note.base_version'", "missing"}},
        {"note: {id: n, base_version: -1}\n",
         {"n.yaml:1:", "'note.base_version'"}},
        {"note: {id: \"a b\", base_version: 1}\n", {"n.yaml:1:", "'note.id'"}},
        {minimal_note + "sub: 1\n",
         {"n.yaml:4:", "'sub'", "note, add, change"}},
        {minimal_note + "note: {id: n}\n", {"n.yaml:4:", "'note'", "twice"}},
        {head + "add: {things: []}\n",
         {"n.yaml:2:", "'add.things'", "services, targets, rules"}},
        {head + "add: {services: 4}\n", {"'add.services'", "needs a list"}},
        {head + "add:\n  services:\n  - name: s\n    speed: 4\n",
         {"n.yaml:5:", "'add.services.0.speed'", "unknown key", "queue_limit"}},
        {head + "add: {services: [{queue_limit: 4}]}\n",
         {"'add.services.0.name'", "missing"}},
        {head + "add: {services: [{name: s, retry_ratio: 1.5}]}\n",
         {"'add.services.0.retry_ratio'", "0 to 1"}},
        {head + "add: {services: [{name: s}, {name: s}]}\n",
         {"service 's' is listed twice in the note"}},
        {head + "add: {targets: [{name: t, service: s, address: "
                "\"host:80\", failure_domain: a}]}\n",
         {"'add.targets.0.address'", "IP address"}},
        {head + "add: {targets: [{name: t, service: s, address: "
                "\"1.2.3.4:80\", failure_domain: a, draining: yes}]}\n",
         {"'add.targets.0.draining'", "true or false"}},
        {head + "add: {rules: [{name: r, service: s, path_prefix: kits}]}\n",
         {"'add.rules.0.path_prefix'"}},
        {head + "add: {rules: [{name: r, service: s, path_prefix: /a/}]}\n",
         {"'add.rules.0.path_prefix'"}},
        {head + "add: {rules: [{name: r, service: s, methods: [get]}]}\n",
         {"'add.rules.0.methods'", "capitals"}},
        {head + "add: {rules: [{name: r, service: s, methods: [GET, GET]}]}\n",
         {"'add.rules.0.methods'"}},
        {head + "add: {rules: [{name: r, service: s, host: A.example}]}\n",
         {"'add.rules.0.host'", "lower case"}},
        {head + "add: {rules: [{name: r, service: s, class: fast}]}\n",
         {"'add.rules.0.class'", "transactional"}},
        {head + "add: {rules: [{name: r, service: s, header_value: v}]}\n",
         {"'add.rules.0.header_value'", "header_name"}},
        {head + "change: {services: [{name: s}]}\n", {"changes no member"}},
        {head + "change: {services: [{queue_limit: 4}]}\n",
         {"'change.services.0.name'"}},
        {head + "change: {targets: [{name: t, slots: 0}]}\n",
         {"'change.targets.0.slots'", "1 to 10000"}},
        {head + "change: {targets: [{name: t, name: u, slots: 2}]}\n",
         {"'change.targets.0.name'", "twice"}},
        {minimal_note + "change: {services: [{name: s, queue_limit: 1}]}\n",
         {"service 's' is listed twice in the note"}},
        {head + "withdraw: {rules: [[r]]}\n", {"'withdraw.rules.0'"}},
        {head + "withdraw: {rules: [\"a b\"]}\n", {"rule 'a b'"}},
        {head + "add: {services: [[[[[[[s]]]]]]]}\n", {"nested deeper"}},
        {std::string(1'000'001, ' '),
         {"exceed the size limit of 1000000 bytes"}}};
    for (const error_case& error : error_cases)
    {
        check_error(error);
    }
}

BOOST_AUTO_TEST_CASE(operations_page_holds_the_members_and_a_valid_note)
{
    std::ifstream file(ANVILTURN_SOURCE_DIR "/docs/OPERATIONS.md");
    const std::string page(std::istreambuf_iterator<char>(file), {});
    BOOST_TEST(page.find(release_reference()) != std::string::npos,
               "docs/OPERATIONS.md lacks release_reference()");
    const std::string fence = "```yaml\n";
    const auto begin = page.find(fence + "note:");
    BOOST_TEST_REQUIRE(begin != std::string::npos);
    const auto end = page.find("```", begin + fence.size());
    const auto note = parse_release_note(
        page.substr(begin + fence.size(), end - begin - fence.size()), "page");
    BOOST_TEST_REQUIRE(note.ok(), note.status());
    BOOST_TEST(note->base_version() == 7u);
}

BOOST_AUTO_TEST_CASE(a_note_lists_at_most_5000_objects)
{
    release_note_builder builder("n", 0);
    for (int i = 0; i < 5000; ++i)
    {
        builder.withdraw_target("t" + std::to_string(i));
    }
    BOOST_TEST(builder.build().ok());
    builder.withdraw_rule("r");
    BOOST_TEST(mentions(builder.build().status(), "5001 objects"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(spec_builder_tests)

BOOST_AUTO_TEST_CASE(builders_name_the_member_that_is_out_of_range)
{
    BOOST_TEST(mentions(service_builder("s").queue_limit(-1).build().status(),
                        "service.queue_limit"));
    BOOST_TEST(mentions(service_builder("").build().status(), "service.name"));
    BOOST_TEST(mentions(target_builder("t").service("s").build().status(),
                        "target.address"));
    BOOST_TEST(mentions(
        rule_builder("r").service("s").path_prefix("x").build().status(),
        "rule.path_prefix"));
    BOOST_TEST((kind_of(rule_builder("r").build().status()) ==
                error_kind::release_invalid));
}

BOOST_AUTO_TEST_SUITE_END()
