#include <av_release/spec_fields.hpp>

#include <av_yaml/yaml_field_types.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::size_t host_limit = 253;
constexpr std::size_t path_limit = 1024;
constexpr std::size_t method_count_limit = 16;
constexpr std::size_t method_length_limit = 32;
constexpr std::size_t header_name_limit = 64;
constexpr std::size_t header_value_limit = 256;

template <typename Allowed>
bool all_of_text(std::string_view text, Allowed allowed)
{
    return std::all_of(text.begin(), text.end(), allowed);
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_lower(char c)
{
    return c >= 'a' && c <= 'z';
}

bool is_upper(char c)
{
    return c >= 'A' && c <= 'Z';
}

bool is_host(std::string_view text)
{
    return text.size() <= host_limit &&
           all_of_text(text,
                       [](char c)
                       {
                           return is_lower(c) || is_digit(c) || c == '.' ||
                                  c == '-' || c == '[' || c == ']' || c == ':';
                       });
}

bool is_path_prefix(std::string_view text)
{
    if (text == "/")
    {
        return true;
    }
    const bool printable = is_printable(text, path_limit) &&
                           text.find_first_of(" ?#") == std::string_view::npos;
    return printable && !text.empty() && text.front() == '/' &&
           text.back() != '/' && text.find("//") == std::string_view::npos;
}

bool is_header_name(std::string_view text)
{
    return text.size() <= header_name_limit &&
           all_of_text(text,
                       [](char c)
                       {
                           return is_lower(c) || is_upper(c) || is_digit(c) ||
                                  c == '-' || c == '_';
                       });
}

bool is_header_value(std::string_view text)
{
    return is_printable(text, header_value_limit) &&
           (text.empty() || (text.front() != ' ' && text.back() != ' '));
}

bool is_method(std::string_view text)
{
    return !text.empty() && text.size() <= method_length_limit &&
           all_of_text(text,
                       [](char c)
                       {
                           return is_upper(c) || c == '-';
                       });
}

bool are_valid_methods(const std::vector<std::string>& methods)
{
    const std::set<std::string> distinct(methods.begin(), methods.end());
    return methods.size() <= method_count_limit &&
           distinct.size() == methods.size() &&
           std::all_of(methods.begin(), methods.end(), is_method);
}

yaml_field<rule_spec> methods_field()
{
    auto field = describe_field<rule_spec>(
        "methods",
        "list of at most 16 different methods in capitals, such as [GET]",
        "methods that match; every method if empty");
    field.read_ = [](const yaml_value& value, rule_spec& into)
    {
        const auto texts = parse_texts(value);
        into.methods_ = texts.value_or(into.methods_);
        return texts.has_value();
    };
    field.is_valid_ = [](const rule_spec& from)
    {
        return are_valid_methods(from.methods_);
    };
    field.write_ = [](const rule_spec& from)
    {
        return yaml_list(from.methods_);
    };
    return field;
}

yaml_field<rule_spec> class_field()
{
    auto field = describe_field<rule_spec>(
        "class",
        "transactional, interactive or bulk",
        "traffic class, listed by descending priority");
    field.read_ = [](const yaml_value& value, rule_spec& into)
    {
        const auto parsed = parse_traffic_class(value.scalar_);
        into.class_ = parsed.value_or(into.class_);
        return parsed.has_value();
    };
    field.is_valid_ = [](const rule_spec&)
    {
        return true;
    };
    field.write_ = [](const rule_spec& from)
    {
        return yaml_scalar(name_of(from.class_));
    };
    return field;
}

template <typename Spec>
std::string reference_table(std::string_view kind,
                            const yaml_fields<Spec>& fields)
{
    const Spec defaults;
    std::string result = "| member of a " + std::string(kind) +
                         " | allowed | default | meaning |\n"
                         "|---|---|---|---|\n";
    for (const auto& field : fields)
    {
        std::string value = write_yaml(field.write_(defaults), 0);
        value.pop_back();
        result += "| `" + field.key_ + "` | " + field.allowed_ + " | ";
        result += (field.required_ ? "required" : value) + " | ";
        result += field.meaning_ + " |\n";
    }
    return result;
}

} // namespace

const yaml_fields<service_spec>& service_fields()
{
    using spec = service_spec;
    static const yaml_fields<spec> fields = {
        required(name_field("name",
                            &spec::name_,
                            "name of the service, unique among services")),
        name_field("choice_policy",
                   &spec::choice_policy_,
                   "plug-in that chooses the target of each call"),
        integer_field(
            "queue_limit",
            &spec::queue_limit_,
            0,
            100'000,
            "calls that may be queued at one VM; further calls are refused"),
        milliseconds_field("default_deadline",
                           &spec::default_deadline_,
                           milliseconds(1.0),
                           milliseconds(3'600'000.0),
                           "time limit of a call whose caller sets none"),
        number_field("retry_ratio",
                     &spec::retry_ratio_,
                     0.0,
                     1.0,
                     "extra attempts (retries, hedges) allowed, as a fraction "
                     "of first attempts"),
        number_field(
            "probes_per_second",
            &spec::probes_per_second_,
            0.0,
            1000.0,
            "maximum rate of probes of each target, from all VMs together"),
        milliseconds_field(
            "probe_cost",
            &spec::probe_cost_,
            milliseconds(0.0),
            milliseconds(1000.0),
            "time for which a probe occupies a slot of the target"),
        integer_field("target_concurrency",
                      &spec::target_concurrency_,
                      0,
                      10'000,
                      "concurrent calls that one VM sends to a target; with 0 "
                      "the limit is adaptive")};
    return fields;
}

const yaml_fields<target_spec>& target_fields()
{
    using spec = target_spec;
    static const yaml_fields<spec> fields = {
        required(name_field(
            "name", &spec::name_, "name of the target, unique among targets")),
        required(name_field(
            "service", &spec::service_, "service whose calls it runs")),
        required(address_field("address",
                               &spec::address_,
                               "address that calls are sent to, unique")),
        required(
            name_field("failure_domain",
                       &spec::failure_domain_,
                       "failure domain: machines that fail together with it")),
        integer_field("slots",
                      &spec::slots_,
                      1,
                      10'000,
                      "calls that it runs concurrently"),
        integer_field("connection_limit",
                      &spec::connection_limit_,
                      1,
                      1'000'000,
                      "connections that it accepts from all VMs together"),
        boolean_field("draining",
                      &spec::draining_,
                      "finishes its calls and gets no new ones")};
    return fields;
}

const yaml_fields<rule_spec>& rule_fields()
{
    using spec = rule_spec;
    static const yaml_fields<spec> fields = {
        required(name_field(
            "name", &spec::name_, "name of the rule, unique among rules")),
        text_field("host",
                   &spec::host_,
                   "host in lower case without port",
                   is_host,
                   "host that matches; every host if empty"),
        text_field("path_prefix",
                   &spec::path_prefix_,
                   "path that starts with / and does not end with it",
                   is_path_prefix,
                   "leading path segments that match; the longest wins"),
        methods_field(),
        text_field("header_name",
                   &spec::header_name_,
                   "header field name",
                   is_header_name,
                   "header field that must have header_value; none if empty"),
        text_field("header_value",
                   &spec::header_value_,
                   "printable text, at most 256 bytes",
                   is_header_value,
                   "exact value of that header field"),
        required(name_field(
            "service", &spec::service_, "service that gets the calls")),
        class_field(),
        boolean_field("idempotent",
                      &spec::idempotent_,
                      "whether a call may be sent to a target twice")};
    return fields;
}

absl::Status check_spec(const service_spec& spec, const yaml_location& location)
{
    return check_fields(service_fields(), spec, location);
}

absl::Status check_spec(const target_spec& spec, const yaml_location& location)
{
    return check_fields(target_fields(), spec, location);
}

absl::Status check_spec(const rule_spec& spec, const yaml_location& location)
{
    if (spec.header_name_.empty() && !spec.header_value_.empty())
    {
        return location.child("header_value", location.line_)
            .refuse("needs header_name");
    }
    return check_fields(rule_fields(), spec, location);
}

std::string release_reference()
{
    return reference_table("service", service_fields()) + "\n" +
           reference_table("target", target_fields()) + "\n" +
           reference_table("rule", rule_fields());
}

} // namespace anvilturn
