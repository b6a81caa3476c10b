#include <av_settings/av_settings.hpp>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

// The sections vm, listen and platform are in lines 1, 2 and 3.
const std::string minimal_settings =
    "vm: {name: a-1, failure_domain: a, deployment: hanoi}\n"
    "listen: {callers: \"127.0.1.1:1\", forward: \"127.0.1.1:2\", "
    "peers: \"127.0.1.1:3\", operators: \"127.0.1.1:4\"}\n"
    "platform: {address: \"127.0.0.10:9000\"}\n";

struct rejected_case
{
    std::string text_;
    // Texts that the error message must contain, in this order.
    std::vector<std::string> message_parts_;
};

std::string minimal_with(const std::string& from, const std::string& to)
{
    std::string text = minimal_settings;
    return text.replace(text.find(from), from.size(), to);
}

void check_rejected(const rejected_case& rejected)
{
    const auto result = parse_settings(rejected.text_, "vm.yaml");
    BOOST_TEST_REQUIRE(!result.ok(), rejected.text_);
    BOOST_TEST((kind_of(result.status()) == error_kind::settings_invalid));
    const std::string message(result.status().message());
    std::size_t position = 0;
    for (const std::string& part : rejected.message_parts_)
    {
        position = message.find(part, position);
        BOOST_TEST(position != std::string::npos,
                   "'" << part << "' is not in: " << message);
    }
    BOOST_TEST(message.find("remedy: ") != std::string::npos);
}

std::vector<std::string> read_lines(const std::string& path)
{
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);)
    {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_tests)

BOOST_AUTO_TEST_CASE(optional_sections_have_defaults)
{
    const auto result = parse_settings(minimal_settings, "vm.yaml");
    BOOST_TEST_REQUIRE(result.ok(), result.status());
    BOOST_TEST(result->vm().name_ == "a-1");
    BOOST_TEST(result->vm().seed_peers_.empty());
    BOOST_TEST(result->listen().operators_ == "127.0.1.1:4");
    BOOST_TEST((result->request_path() == request_settings{}));
    BOOST_TEST((result->shutdown() == shutdown_settings{}));
    BOOST_TEST((result->logs().level_ == log_level::info));
}

BOOST_AUTO_TEST_CASE(given_values_replace_defaults)
{
    const auto result = parse_settings(
        minimal_with("name: a-1", "name: a-1, seed_peers: [\"127.0.1.2:3\"]") +
            "request_path: {threads: 7, "
            "request_body_limit: 0}\n"
            "shutdown: {balancer_lag_ms: 0.5}\n"
            "logs: {level: debug}\n",
        "vm.yaml");
    BOOST_TEST_REQUIRE(result.ok(), result.status());
    BOOST_TEST(result->vm().seed_peers_.front() == "127.0.1.2:3");
    BOOST_TEST(result->request_path().threads_ == 7);
    BOOST_TEST(result->request_path().request_body_limit_ == 0u);
    BOOST_TEST((result->shutdown().balancer_lag_ == milliseconds(0.5)));
    BOOST_TEST((result->logs().level_ == log_level::debug));
}

BOOST_AUTO_TEST_CASE(errors_name_file_line_key_and_what_is_allowed)
{
    const std::vector<rejected_case> rejected_cases = {
        {"", {"vm.yaml:1:", "needs keys"}},
        {"[1, 2]", {"vm.yaml:1:", "needs keys"}},
        {"vm: {name: a-1\nlisten: 4}\n", {"vm.yaml:", "not YAML"}},
        {minimal_settings + "threads: 4\n",
         {"vm.yaml:4:", "'threads'", "allowed: vm"}},
        {minimal_settings + "vm: {}\n", {"vm.yaml:4:", "'vm'", "twice"}},
        {minimal_with("platform:", "logs: {}\n#"),
         {"vm.yaml:1:", "'platform'", "missing"}},
        {minimal_with("name: a-1, ", ""),
         {"vm.yaml:1:", "'vm.name'", "missing", "1 to 64"}},
        {minimal_with("name: a-1", "name: a 1"), {"vm.yaml:1:", "'vm.name'"}},
        {minimal_with("a-1", std::string(65, 'a')),
         {"vm.yaml:1:", "'vm.name'"}},
        {minimal_with("name: a-1", "name: a-1, name: a-2"),
         {"vm.yaml:1:", "'vm.name'", "twice"}},
        {minimal_with("name: a-1", "title: a-1"),
         {"vm.yaml:1:", "'vm.title'", "allowed: name, failure_domain"}},
        {minimal_with("name: a-1", "name: a-1, seed_peers: [localhost:1]"),
         {"vm.yaml:1:", "'vm.seed_peers'", "IP addresses"}},
        {minimal_with("name: a-1", "name: a-1, seed_peers: \"127.0.1.2:3\""),
         {"vm.yaml:1:", "'vm.seed_peers'"}},
        {minimal_with("127.0.1.1:1", "localhost:1"),
         {"vm.yaml:2:", "'listen.callers'", "IP address and port"}},
        {minimal_with("127.0.1.1:1", "127.0.1.1:0"), {"'listen.callers'"}},
        {minimal_with("127.0.1.1:1", "127.0.1.1:65536"), {"'listen.callers'"}},
        {minimal_with("127.0.1.1:1", "127.0.1.1"), {"'listen.callers'"}},
        {minimal_with("127.0.1.1:1", "::1:80"), {"'listen.callers'"}},
        {minimal_with("127.0.1.1:2", "127.0.1.1:4"),
         {"vm.yaml:", "'listen'", "127.0.1.1:4", "twice"}},
        {minimal_settings + "request_path: {threads: 0}\n",
         {"vm.yaml:4:", "'request_path.threads'", "1 to 64"}},
        {minimal_settings + "request_path: {threads: two}\n",
         {"vm.yaml:4:", "'request_path.threads'", "integer"}},
        {minimal_settings + "request_path: {threads: 4294967297}\n",
         {"vm.yaml:4:", "'request_path.threads'"}},
        {minimal_settings + "request_path: {threads: [2]}\n",
         {"vm.yaml:4:", "'request_path.threads'"}},
        {minimal_settings + "request_path: {threads: ~}\n",
         {"vm.yaml:4:", "'request_path.threads'"}},
        {minimal_settings +
             "request_path:\n  threads: 2\n  idle_timeout_ms: -1\n",
         {"vm.yaml:6:", "'request_path.idle_timeout_ms'", "milliseconds"}},
        {minimal_settings + "request_path: {idle_timeout_ms: .nan}\n",
         {"vm.yaml:4:", "'request_path.idle_timeout_ms'"}},
        {minimal_settings + "request_path: {idle_timeout_ms: 1e400}\n",
         {"vm.yaml:4:", "'request_path.idle_timeout_ms'"}},
        {minimal_settings +
             "shutdown: {balancer_lag_ms: 9000, deadline_ms: 8000}\n",
         {"'shutdown.balancer_lag_ms'", "less than"}},
        {minimal_settings + "logs: {level: loud}\n",
         {"vm.yaml:4:", "'logs.level'", "debug, info, warning"}},
        {minimal_settings + "logs: &x {level: info}\n",
         {"vm.yaml:4:", "anchors"}},
        {minimal_settings + "logs: {level: [[[[[]]]]]}\n",
         {"vm.yaml:4:", "deeper"}},
        {minimal_settings + "---\nvm: {}\n", {"vm.yaml:5:", "second document"}},
        {std::string(70'000, '#'), {"vm.yaml:1:", "65536"}}};
    for (const rejected_case& rejected : rejected_cases)
    {
        check_rejected(rejected);
    }
}

// Without limits nothing may be required or change.
BOOST_AUTO_TEST_CASE(fleet_limits_are_off_by_default)
{
    const auto absent = parse_settings(minimal_settings, "vm.yaml");
    BOOST_TEST_REQUIRE(absent.ok(), absent.status());
    BOOST_TEST(!absent->fleet_limits().is_enabled());
    const auto empty =
        parse_settings(minimal_settings + "fleet_limits: {\n  }\n", "vm.yaml");
    BOOST_TEST_REQUIRE(empty.ok(), empty.status());
    BOOST_TEST((*empty == *absent));
}

// Guards against a bound that is left at its default.
BOOST_AUTO_TEST_CASE(fleet_limits_are_read)
{
    const auto result = parse_settings(
        minimal_with("operators:", "grants: \"127.0.1.1:5\", operators:") +
            "fleet_limits: {\n  account_window_s: 5,\n"
            "  account_overrun: 0.1,\n  account_slack: 20,\n"
            "  cold_overrun: 1.5,\n  cold_slack: 8,\n  }\n",
        "vm.yaml");
    BOOST_TEST_REQUIRE(result.ok(), result.status());
    BOOST_TEST(result->listen().grants_ == "127.0.1.1:5");
    const auto& limits = result->fleet_limits();
    BOOST_TEST(limits.is_enabled());
    BOOST_TEST(limits.account_window_s_ == 5.0);
    BOOST_TEST(limits.account_overrun_ == 0.1);
    BOOST_TEST(limits.account_slack_ == 20.0);
    BOOST_TEST(limits.cold_overrun_ == 1.5);
    BOOST_TEST(limits.cold_slack_ == 8.0);
}

// A VM without the address would refuse all calls of limited accounts.
BOOST_AUTO_TEST_CASE(fleet_limits_need_an_address_for_grants)
{
    for (const char* limits : {"{account_window_s: 5}", "{cold_overrun: 1.5}"})
    {
        check_rejected(
            {minimal_settings + "fleet_limits: " + limits + "\n",
             {"vm.yaml:", "'listen.grants'", "missing", "fleet_limits"}});
    }
    for (const auto& rejected : std::vector<rejected_case>{
             {minimal_settings + "fleet_limits: {account_window_s: -1}\n",
              {"vm.yaml:4:", "'fleet_limits.account_window_s'", "0 to 60"}},
             {minimal_settings + "fleet_limits: {cold_overrun: .inf}\n",
              {"vm.yaml:4:", "'fleet_limits.cold_overrun'"}},
             {minimal_with("operators:", "grants: \"127.0.1.1:4\", operators:"),
              {"'listen'", "127.0.1.1:4", "twice"}}})
    {
        check_rejected(rejected);
    }
}

BOOST_AUTO_TEST_CASE(builder_checks_the_same_ranges)
{
    request_settings request_path;
    request_path.threads_ = 65;
    const auto base = parse_settings(minimal_settings, "vm.yaml");
    BOOST_TEST_REQUIRE(base.ok());
    const auto result = settings_builder()
                            .vm(base->vm())
                            .listen(base->listen())
                            .platform(base->platform())
                            .request_path(request_path)
                            .build();
    BOOST_TEST_REQUIRE(!result.ok());
    BOOST_TEST(
        std::string(result.status().message()).find("request_path.threads") !=
        std::string::npos);
}

BOOST_AUTO_TEST_CASE(unreadable_file_is_named)
{
    const auto result = read_settings_file("no/such/file.yaml");
    BOOST_TEST_REQUIRE(!result.ok());
    BOOST_TEST((kind_of(result.status()) == error_kind::settings_unreadable));
    BOOST_TEST(std::string(result.status().message()).find("no/such/file") !=
               std::string::npos);
    BOOST_TEST((kind_of(read_settings_file(ANVILTURN_SOURCE_DIR).status()) ==
                error_kind::settings_unreadable));
}

BOOST_AUTO_TEST_CASE(operations_page_holds_the_settings_reference)
{
    const auto lines = read_lines(ANVILTURN_SOURCE_DIR "/docs/OPERATIONS.md");
    std::string page;
    for (const std::string& line : lines)
    {
        page += line + "\n";
    }
    BOOST_TEST(page.find(settings_reference()) != std::string::npos,
               "docs/OPERATIONS.md lacks the output of anvilturnd "
               "--settings-reference");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(daemon_arguments_tests)

BOOST_AUTO_TEST_CASE(each_usage_line_is_parsed)
{
    struct usage_case
    {
        std::vector<std::string> arguments_;
        daemon_arguments expected_;
    };
    const std::vector<usage_case> cases = {
        {{"--settings=a.yaml"}, {daemon_action::serve, "a.yaml"}},
        {{"--settings", "a.yaml", "--check-settings"},
         {daemon_action::check_settings, "a.yaml"}},
        {{"--settings-reference"},
         {daemon_action::print_settings_reference, ""}},
        {{"--help"}, {daemon_action::print_help, ""}},
        {{"--version"}, {daemon_action::print_version, ""}}};
    for (const usage_case& usage : cases)
    {
        const auto result = parse_daemon_arguments(usage.arguments_);
        BOOST_TEST_REQUIRE(result.ok(), result.status());
        BOOST_TEST((*result == usage.expected_));
    }
}

BOOST_AUTO_TEST_CASE(usage_names_every_handled_signal)
{
    for (const std::string_view signal : {"SIGTERM", "SIGINT", "SIGHUP"})
    {
        BOOST_TEST((daemon_usage().find(signal) != std::string_view::npos),
                   signal);
    }
}

BOOST_AUTO_TEST_CASE(invalid_command_lines_are_rejected)
{
    const std::vector<std::vector<std::string>> refused = {
        {}, {"--settings"}, {"--check-settings"}, {"a.yaml"}, {"--frob"}};
    for (const auto& arguments : refused)
    {
        BOOST_TEST((kind_of(parse_daemon_arguments(arguments).status()) ==
                    error_kind::usage_invalid));
    }
}

BOOST_AUTO_TEST_CASE(program_version_matches_cmake_project)
{
    const std::string version(program_version());
    const std::string number = version.substr(version.rfind(' ') + 1);
    bool found = false;
    for (const std::string& line :
         read_lines(ANVILTURN_SOURCE_DIR "/CMakeLists.txt"))
    {
        found = found ||
                line.find("project(anvilturn VERSION " + number + " ") == 0;
    }
    BOOST_TEST(found);
}

// Guards against evacuations and regions that are set but have no effect.
BOOST_AUTO_TEST_CASE(evacuations_and_regions_are_read)
{
    const auto none = parse_settings(minimal_settings, "vm.yaml");
    BOOST_TEST_REQUIRE(none.ok(), none.status());
    BOOST_TEST(!none->platform().evacuations_);
    BOOST_TEST(none->vm().regions_.empty());
    auto text = minimal_with(
        "deployment: hanoi",
        R"(deployment: hanoi, regions: {"delta-a": "nile-delta", b: c})");
    text.replace(
        text.find("platform: {"), 11, "platform: {evacuations: true, ");
    const auto result = parse_settings(text, "vm.yaml");
    BOOST_TEST_REQUIRE(result.ok(), result.status());
    BOOST_TEST(result->platform().evacuations_);
    BOOST_TEST(result->vm().regions_.size() == 2U);
    BOOST_TEST(result->vm().regions_.at("delta-a") == "nile-delta");
    BOOST_TEST((*none != *result));
}

// Guards against a typing error by which a failure domain belongs to no region.
BOOST_AUTO_TEST_CASE(invalid_regions_are_rejected)
{
    for (const char* regions : {"[a]", "text", "{a: }", "{a: [b]}", "{a: {}}"})
    {
        check_rejected(
            {minimal_with("deployment: hanoi",
                          std::string("deployment: hanoi, regions: ") +
                              regions),
             {"regions", "allowed: map of at most 256 names"}});
    }
}

BOOST_AUTO_TEST_SUITE_END()
