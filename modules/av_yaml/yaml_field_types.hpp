#ifndef AV_YAML_YAML_FIELD_TYPES_HPP
#define AV_YAML_YAML_FIELD_TYPES_HPP

#include <av_core/milliseconds.hpp>
#include <av_yaml/yaml_field.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Parse a scalar, or a list of scalars; return nothing if the value is not of
// the type.
std::optional<std::int64_t> parse_integer(const yaml_value& value);
std::optional<double> parse_number(const yaml_value& value);
std::optional<bool> parse_boolean(const yaml_value& value);
std::optional<std::string> parse_text(const yaml_value& value);
std::optional<std::vector<std::string>> parse_texts(const yaml_value& value);

// Returns the shortest text that parses to the same number.
std::string format_number(double value);

// Returns whether the text is a name: 1 to 64 of [A-Za-z0-9._-].
bool is_name(std::string_view text);

// Returns whether the text is an IP address and a port other than 0, such as
// "10.0.0.1:80" or "[fd00::1]:80". Host names are not accepted: a DNS lookup
// could block, and its result could change.
bool is_address(std::string_view text);

// Returns whether the text is printable ASCII of at most limit bytes.
bool is_printable(std::string_view text, std::size_t limit);

constexpr std::string_view name_allowed = "name, 1 to 64 of [A-Za-z0-9._-]";
constexpr std::string_view address_allowed =
    "IP address and port, such as 10.0.0.1:8080";

// Returns a field with key and documentation only; the caller of this function
// sets read_, is_valid_ and write_. Use the functions below for common types.
template <typename Struct>
yaml_field<Struct> describe_field(std::string_view key,
                                  std::string_view allowed,
                                  std::string_view meaning)
{
    yaml_field<Struct> field;
    field.key_ = std::string(key);
    field.allowed_ = std::string(allowed);
    field.meaning_ = std::string(meaning);
    return field;
}

// Returns the field, marked as required.
template <typename Struct>
yaml_field<Struct> required(yaml_field<Struct> field)
{
    field.required_ = true;
    return field;
}

// Returns a field for an integer from lowest to highest.
template <typename Struct, typename Integer>
yaml_field<Struct> integer_field(std::string_view key,
                                 Integer Struct::*member,
                                 std::int64_t lowest,
                                 std::int64_t highest,
                                 std::string_view meaning)
{
    auto field = describe_field<Struct>(key,
                                        "integer, " + std::to_string(lowest) +
                                            " to " + std::to_string(highest),
                                        meaning);
    field.read_ =
        [member, lowest, highest](const yaml_value& value, Struct& into)
    {
        const auto number = parse_integer(value);
        if (!number || *number < lowest || *number > highest)
        {
            return false;
        }
        into.*member = static_cast<Integer>(*number);
        return true;
    };
    field.is_valid_ = [member, lowest, highest](const Struct& from)
    {
        const auto number = static_cast<std::int64_t>(from.*member);
        return number >= lowest && number <= highest;
    };
    field.write_ = [member](const Struct& from)
    {
        return yaml_scalar(std::to_string(from.*member));
    };
    return field;
}

// Returns a field for a number from lowest to highest.
template <typename Struct>
yaml_field<Struct> number_field(std::string_view key,
                                double Struct::*member,
                                double lowest,
                                double highest,
                                std::string_view meaning)
{
    auto field = describe_field<Struct>(key,
                                        "number, " + format_number(lowest) +
                                            " to " + format_number(highest),
                                        meaning);
    field.read_ = [member](const yaml_value& value, Struct& into)
    {
        const auto number = parse_number(value);
        into.*member = number.value_or(into.*member);
        return number.has_value();
    };
    field.is_valid_ = [member, lowest, highest](const Struct& from)
    {
        return from.*member >= lowest && from.*member <= highest;
    };
    field.write_ = [member](const Struct& from)
    {
        return yaml_scalar(format_number(from.*member));
    };
    return field;
}

// Returns a field for a duration in milliseconds, from lowest to highest.
template <typename Struct>
yaml_field<Struct> milliseconds_field(std::string_view key,
                                      milliseconds Struct::*member,
                                      milliseconds lowest,
                                      milliseconds highest,
                                      std::string_view meaning)
{
    auto field = describe_field<Struct>(
        key,
        "milliseconds, " + format_number(lowest.count()) + " to " +
            format_number(highest.count()),
        meaning);
    field.read_ = [member](const yaml_value& value, Struct& into)
    {
        const auto number = parse_number(value);
        into.*member = milliseconds(number.value_or((into.*member).count()));
        return number.has_value();
    };
    field.is_valid_ = [member, lowest, highest](const Struct& from)
    {
        return from.*member >= lowest && from.*member <= highest;
    };
    field.write_ = [member](const Struct& from)
    {
        return yaml_scalar(format_number((from.*member).count()));
    };
    return field;
}

// Returns a field for true or false.
template <typename Struct>
yaml_field<Struct> boolean_field(std::string_view key,
                                 bool Struct::*member,
                                 std::string_view meaning)
{
    auto field = describe_field<Struct>(key, "true or false", meaning);
    field.read_ = [member](const yaml_value& value, Struct& into)
    {
        const auto truth = parse_boolean(value);
        into.*member = truth.value_or(into.*member);
        return truth.has_value();
    };
    field.is_valid_ = [](const Struct&)
    {
        return true;
    };
    field.write_ = [member](const Struct& from)
    {
        return yaml_scalar(from.*member ? "true" : "false");
    };
    return field;
}

// Returns a field for a text for which is_allowed returns true.
template <typename Struct>
yaml_field<Struct>
text_field(std::string_view key,
           std::string Struct::*member,
           std::string_view allowed,
           std::function<bool(const std::string& text)> is_allowed,
           std::string_view meaning)
{
    auto field = describe_field<Struct>(key, allowed, meaning);
    field.read_ = [member](const yaml_value& value, Struct& into)
    {
        const auto text = parse_text(value);
        into.*member = text.value_or(into.*member);
        return text.has_value();
    };
    field.is_valid_ = [member, is_allowed](const Struct& from)
    {
        return is_allowed(from.*member);
    };
    field.write_ = [member](const Struct& from)
    {
        return yaml_scalar(from.*member);
    };
    return field;
}

// Returns a field for a name, see is_name.
template <typename Struct>
yaml_field<Struct> name_field(std::string_view key,
                              std::string Struct::*member,
                              std::string_view meaning)
{
    return text_field(key, member, name_allowed, is_name, meaning);
}

// Returns a field for an IP address and port, see is_address.
template <typename Struct>
yaml_field<Struct> address_field(std::string_view key,
                                 std::string Struct::*member,
                                 std::string_view meaning)
{
    return text_field(key, member, address_allowed, is_address, meaning);
}

// Returns a field for an IP address and port, or an empty text.
template <typename Struct>
yaml_field<Struct> optional_address_field(std::string_view key,
                                          std::string Struct::*member,
                                          std::string_view meaning)
{
    return text_field(
        key,
        member,
        address_allowed,
        [](const std::string& text)
        {
            return text.empty() || is_address(text);
        },
        meaning);
}

} // namespace anvilturn

#endif
