#include <av_yaml/yaml_field_types.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace anvilturn
{
namespace
{

constexpr std::size_t max_name_bytes = 64;

} // namespace

std::optional<std::int64_t> parse_integer(const yaml_value& value)
{
    std::int64_t number = 0;
    if (value.kind_ != yaml_kind::scalar ||
        !absl::SimpleAtoi(value.scalar_, &number))
    {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parse_number(const yaml_value& value)
{
    double number = 0.0;
    if (value.kind_ != yaml_kind::scalar ||
        !absl::SimpleAtod(value.scalar_, &number) || !std::isfinite(number))
    {
        return std::nullopt;
    }
    return number;
}

std::optional<bool> parse_boolean(const yaml_value& value)
{
    if (value.kind_ != yaml_kind::scalar ||
        (value.scalar_ != "true" && value.scalar_ != "false"))
    {
        return std::nullopt;
    }
    return value.scalar_ == "true";
}

std::optional<std::string> parse_text(const yaml_value& value)
{
    if (value.kind_ != yaml_kind::scalar)
    {
        return std::nullopt;
    }
    return value.scalar_;
}

std::optional<std::vector<std::string>> parse_texts(const yaml_value& value)
{
    if (value.kind_ != yaml_kind::list)
    {
        return std::nullopt;
    }
    std::vector<std::string> result;
    for (const yaml_value& item : value.items_)
    {
        if (item.kind_ != yaml_kind::scalar)
        {
            return std::nullopt;
        }
        result.push_back(item.scalar_);
    }
    return result;
}

std::string format_number(double value)
{
    std::array<char, 64> buffer{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return std::string(buffer.data(), end.ptr);
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(),
                       text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '.' ||
                                  c == '_' || c == '-';
                       });
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    std::string host(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const auto end =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return !error && address.is_v6() == bracketed && port != 0 &&
           end.ec == std::errc() && end.ptr == digits.data() + digits.size();
}

bool is_printable(std::string_view text, std::size_t limit)
{
    return text.size() <= limit && std::all_of(text.begin(),
                                               text.end(),
                                               [](char c)
                                               {
                                                   return c >= ' ' && c <= '~';
                                               });
}

} // namespace anvilturn
