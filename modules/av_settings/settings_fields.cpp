#include <av_settings/settings_fields.hpp>

#include <av_yaml/yaml_field_types.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::size_t max_seed_peers = 16;
constexpr std::size_t max_regions = 256;
constexpr std::size_t max_region_name_length = 256;
constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr milliseconds min_timeout{10.0};
constexpr milliseconds max_timeout{3'600'000.0};

constexpr std::array<std::pair<std::string_view, log_level>, 4> log_levels = {
    {{"debug", log_level::debug},
     {"info", log_level::info},
     {"warning", log_level::warning},
     {"error", log_level::error}}};

std::optional<log_level> parse_log_level(std::string_view name)
{
    for (const auto& [known, level] : log_levels)
    {
        if (known == name)
        {
            return level;
        }
    }
    return std::nullopt;
}

template <typename Struct>
yaml_field<Struct> timeout_field(std::string_view key,
                                 milliseconds Struct::*member,
                                 std::string_view meaning)
{
    return milliseconds_field(key, member, min_timeout, max_timeout, meaning);
}

yaml_field<log_settings> level_field()
{
    auto field = describe_field<log_settings>("level",
                                              "debug, info, warning or error",
                                              "lowest level that is written");
    field.read_ = [](const yaml_value& value, log_settings& into)
    {
        const auto level = parse_log_level(value.scalar_);
        into.level_ = level.value_or(into.level_);
        return level.has_value();
    };
    field.is_valid_ = [](const log_settings&)
    {
        return true;
    };
    field.write_ = [](const log_settings& from)
    {
        const auto index = static_cast<std::size_t>(from.level_);
        return yaml_scalar(log_levels[index].first);
    };
    return field;
}

bool is_request_path(const std::string& text)
{
    constexpr std::size_t max_path_bytes = 128;
    return !text.empty() && text.front() == '/' &&
           is_printable(text, max_path_bytes) &&
           text.find(' ') == std::string::npos;
}

bool are_addresses(const std::vector<std::string>& addresses)
{
    return addresses.size() <= max_seed_peers &&
           std::all_of(addresses.begin(), addresses.end(), is_address);
}

yaml_field<vm_settings> seed_peers_field()
{
    auto field =
        describe_field<vm_settings>("seed_peers",
                                    "list of at most 16 IP addresses with port",
                                    "peer addresses of other VMs, used to "
                                    "start while the platform is down");
    field.read_ = [](const yaml_value& value, vm_settings& into)
    {
        const auto texts = parse_texts(value);
        into.seed_peers_ = texts.value_or(into.seed_peers_);
        return texts.has_value();
    };
    field.is_valid_ = [](const vm_settings& from)
    {
        return are_addresses(from.seed_peers_);
    };
    field.write_ = [](const vm_settings& from)
    {
        return yaml_list(from.seed_peers_);
    };
    return field;
}

// Parses a map from text to text without duplicate keys; returns nothing if the
// value is none.
std::optional<std::map<std::string, std::string>>
parse_text_map(const yaml_value& value)
{
    std::map<std::string, std::string> result;
    for (const auto& member : value.members_)
    {
        const auto text = parse_text(member.value_);
        if (!text || !result.emplace(member.key_, *text).second)
        {
            return std::nullopt;
        }
    }
    return value.kind_ == yaml_kind::map ? std::make_optional(result)
                                         : std::nullopt;
}

bool is_region_name(const std::string& text)
{
    return !text.empty() && is_printable(text, max_region_name_length);
}

yaml_field<vm_settings> regions_field()
{
    auto field = describe_field<vm_settings>(
        "regions",
        "map of at most 256 names to names",
        "region of each failure domain, for calls that are restricted to "
        "regions; a failure domain that is missing belongs to none");
    field.read_ = [](const yaml_value& value, vm_settings& into)
    {
        auto regions = parse_text_map(value);
        if (!regions)
        {
            return false;
        }
        into.regions_ = *std::move(regions);
        return true;
    };
    field.is_valid_ = [](const vm_settings& from)
    {
        const auto& regions = from.regions_;
        return regions.size() <= max_regions &&
               std::all_of(regions.begin(),
                           regions.end(),
                           [](const auto& entry)
                           {
                               return is_region_name(entry.first) &&
                                      is_region_name(entry.second);
                           });
    };
    field.write_ = [](const vm_settings& from)
    {
        yaml_value map;
        map.kind_ = yaml_kind::map;
        for (const auto& [domain, region] : from.regions_)
        {
            map.members_.push_back({domain, 0, yaml_scalar(region)});
        }
        return map;
    };
    return field;
}

} // namespace

const yaml_fields<vm_settings>& vm_settings_fields()
{
    using section = vm_settings;
    static const yaml_fields<section> fields = {
        required(name_field("name",
                            &section::name_,
                            "name of this VM, unique in its deployment")),
        required(name_field(
            "failure_domain",
            &section::failure_domain_,
            "failure domain of this VM: machines that fail together with it")),
        required(name_field("deployment",
                            &section::deployment_,
                            "name of the deployment, whose VMs share one "
                            "release; VMs of others are refused as peers")),
        seed_peers_field(),
        regions_field()};
    return fields;
}

const yaml_fields<listen_settings>& listen_settings_fields()
{
    using section = listen_settings;
    static const yaml_fields<section> fields = {
        required(address_field("callers",
                               &section::callers_,
                               "for callers, through the balancer")),
        optional_address_field("forward",
                               &section::forward_,
                               "for calls that other VMs forward; required "
                               "unless platform.adapter is set"),
        optional_address_field("peers",
                               &section::peers_,
                               "for control messages of other VMs; required "
                               "unless platform.adapter is set"),
        required(address_field(
            "operators", &section::operators_, "for anvilturnctl and metrics")),
        optional_address_field(
            "readiness",
            &section::readiness_,
            "for the balancer's readiness check, besides /.anvilturn/ready on "
            "the callers' address"),
        text_field("readiness_path",
                   &section::readiness_path_,
                   "path that starts with /",
                   is_request_path,
                   "path of the readiness check"),
        optional_address_field(
            "grants",
            &section::grants_,
            "for requests of VMs for permits of the limits in fleet_limits; "
            "required with them, with the same port on all VMs")};
    return fields;
}

const yaml_fields<platform_settings>& platform_settings_fields()
{
    using section = platform_settings;
    static const yaml_fields<section> fields = {
        required(address_field(
            "address", &section::address_, "the platform's object API")),
        timeout_field("call_timeout_ms",
                      &section::call_timeout_,
                      "time limit of one call to the platform"),
        timeout_field("target_heartbeat_ms",
                      &section::target_heartbeat_interval_,
                      "how often targets renew their entries in the platform's "
                      "registry, which expire after three missed renewals"),
        name_field(
            "adapter",
            &section::adapter_,
            "protocol of the platform; native is the project's own interface"),
        boolean_field("evacuations",
                      &section::evacuations_,
                      "whether entries of the platform's store evacuate "
                      "failure domains; if not, they are not read")};
    return fields;
}

const yaml_fields<service_settings>& service_settings_fields()
{
    using section = service_settings;
    static const yaml_fields<section> fields = {
        name_field("choice_policy",
                   &section::choice_policy_,
                   "plug-in that chooses targets, for services configured "
                   "through an adapter"),
        number_field("retry_ratio",
                     &section::retry_ratio_,
                     0.0,
                     1.0,
                     "extra attempts (retries, hedges) allowed, as a fraction "
                     "of first attempts"),
        number_field("fleet_retry_ratio",
                     &section::fleet_retry_ratio_,
                     0.0,
                     10.0,
                     "ratio of extra attempts that the platform allows all VMs "
                     "together; unless 0 it takes precedence over retry_ratio"),
        number_field("retry_burst",
                     &section::retry_burst_,
                     1.0,
                     1000.0,
                     "extra attempts that one VM may make in a burst; for all "
                     "VMs together, multiplied by their number"),
        number_field("hedge_ratio",
                     &section::hedge_ratio_,
                     0.0,
                     1.0,
                     "second sends of running idempotent calls allowed, as a "
                     "fraction of the calls of a service; 0 disables them"),
        integer_field(
            "queue_limit",
            &section::queue_limit_,
            0,
            100'000,
            "calls that may be queued at one VM; further calls are refused"),
        integer_field("ejecting_failures",
                      &section::ejecting_failures_,
                      1,
                      100,
                      "consecutive failures after which a target is ejected")};
    return fields;
}

const yaml_fields<request_settings>& request_settings_fields()
{
    using section = request_settings;
    static const yaml_fields<section> fields = {
        integer_field("threads",
                      &section::threads_,
                      1,
                      64,
                      "threads that serve calls; at most one per core"),
        integer_field("connection_limit",
                      &section::connection_limit_,
                      1,
                      65'536,
                      "concurrent connections of callers"),
        integer_field("header_limit",
                      &section::header_limit_,
                      kibibyte,
                      mebibyte,
                      "maximum header size in bytes of a request (431 if "
                      "larger) or response"),
        integer_field("request_body_limit",
                      &section::request_body_limit_,
                      0,
                      1024 * mebibyte,
                      "maximum size of a request body in bytes; 413 if larger"),
        integer_field("held_answer",
                      &section::buffered_response_limit_,
                      0,
                      mebibyte,
                      "bytes of a response that are buffered until it is "
                      "complete, so that the call can be retried on another "
                      "target; 0 streams it at once"),
        timeout_field(
            "idle_timeout_ms",
            &section::idle_timeout_,
            "time after which a caller's connection without a call is closed"),
        timeout_field("request_timeout_ms",
                      &section::request_timeout_,
                      "time limit for a request's header, and for a pause "
                      "within its body; 408 if exceeded"),
        timeout_field("connect_timeout_ms",
                      &section::connect_timeout_,
                      "time limit for connecting to a target or VM")};
    return fields;
}

const yaml_fields<fleet_limit_settings>& fleet_limit_settings_fields()
{
    using section = fleet_limit_settings;
    static const yaml_fields<section> fields = {
        number_field("account_window_s",
                     &section::account_window_s_,
                     0.0,
                     60.0,
                     "length of the window, in seconds, in which the calls of "
                     "an account are bounded; 0 if accounts are not limited"),
        number_field("account_overrun",
                     &section::account_overrun_,
                     0.0,
                     10.0,
                     "ratio by which an account's calls in a window may exceed "
                     "its quota"),
        number_field("account_slack",
                     &section::account_slack_,
                     0.0,
                     10'000.0,
                     "number of calls by which they may exceed it in addition"),
        number_field("cold_overrun",
                     &section::cold_overrun_,
                     0.0,
                     10.0,
                     "calls that a cold target may get in a second, as a "
                     "multiple of the rate of its service; 0 if cold targets "
                     "are not limited"),
        number_field("cold_slack",
                     &section::cold_slack_,
                     0.0,
                     10'000.0,
                     "number of calls that a cold target may get in a second "
                     "in addition")};
    return fields;
}

const yaml_fields<shutdown_settings>& shutdown_settings_fields()
{
    using section = shutdown_settings;
    static const yaml_fields<section> fields = {
        milliseconds_field("balancer_lag_ms",
                           &section::balancer_lag_,
                           milliseconds(0.0),
                           max_timeout,
                           "time for which callers still arrive after the "
                           "readiness check fails"),
        timeout_field("deadline_ms",
                      &section::deadline_,
                      "maximum time from SIGTERM to the exit"),
        number_field(
            "killed_after_s",
            &section::killed_after_s_,
            0.0,
            3600.0,
            "time from SIGTERM until the platform kills the process, in "
            "seconds; unless 0 it takes precedence over deadline_ms")};
    return fields;
}

const yaml_fields<log_settings>& log_settings_fields()
{
    static const yaml_fields<log_settings> fields = {level_field()};
    return fields;
}

} // namespace anvilturn
