#include <av_http/request_reader.hpp>

#include <av_http/message_parser.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace anvilturn
{
namespace
{

using detail::equals_ignoring_case;
using detail::http_field;

constexpr int http_1_1 = 11;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

void set_host(std::string& host, std::string_view value)
{
    const auto bracket = value.rfind(']');
    const auto colon =
        value.find(':', bracket == std::string_view::npos ? 0 : bracket);
    host.assign(value.substr(0, colon));
    std::transform(host.begin(),
                   host.end(),
                   host.begin(),
                   [](char c)
                   {
                       return c >= 'A' && c <= 'Z'
                                  ? static_cast<char>(c - 'A' + 'a')
                                  : c;
                   });
}

class request_message_parser : public detail::message_parser<true>
{
public:
    request_message_parser(request_head& head, const header_dialect& dialect)
        : head_(head)
        , dialect_(dialect)
    {
    }

private:
    void on_request_impl(boost::beast::http::verb,
                         boost::beast::string_view method,
                         boost::beast::string_view target,
                         int version,
                         detail::error_code& error) override
    {
        head_.method_.assign(detail::to_std(method));
        head_.target_.assign(detail::to_std(target));
        head_.http_1_0_ = version < http_1_1;
        if (!is_plain_request_target(head_.target_))
        {
            error = detail::http_error::bad_target;
        }
    }

    void on_response_impl(int,
                          boost::beast::string_view,
                          int,
                          detail::error_code&) override
    {
    }

    bool apply_field(http_field id,
                     std::string_view name,
                     std::string_view value) override
    {
        if (id == http_field::host)
        {
            return apply_host(name, value);
        }
        if (id == http_field::expect)
        {
            head_.expects_continue_ =
                equals_ignoring_case(value, "100-continue");
            return head_.expects_continue_;
        }
        if (id == http_field::unknown)
        {
            if (const auto validity = apply_dialect_field(name, value))
            {
                return *validity;
            }
        }
        append_forwarded_field(head_.fields_, name, value);
        return true;
    }

    bool apply_host(std::string_view name, std::string_view value)
    {
        if (host_seen_)
        {
            return false;
        }
        host_seen_ = true;
        set_host(head_.host_, value);
        append_forwarded_field(head_.fields_, name, value);
        return true;
    }

    // Returns whether the value is valid; nothing for a field that is to be
    // forwarded.
    std::optional<bool> apply_dialect_field(std::string_view name,
                                            std::string_view value)
    {
        const auto is = [name](const std::string& known)
        {
            return !known.empty() && equals_ignoring_case(name, known);
        };
        if (is(dialect_.call_id_))
        {
            const bool first = head_.call_id_.empty();
            head_.call_id_.assign(value);
            return first && is_call_id(value);
        }
        if (is(dialect_.deadline_))
        {
            return apply_deadline(value);
        }
        if (is(dialect_.depth_))
        {
            const auto depth = parse_number(value);
            const bool valid =
                depth && *depth <= std::numeric_limits<std::int16_t>::max();
            head_.depth_ = valid ? static_cast<int>(*depth) : 0;
            return valid;
        }
        if (is(dialect_.forwarded_))
        {
            head_.forwarded_ = value == "1";
        }
        if (is(dialect_.deployment_))
        {
            head_.deployment_.assign(value);
        }
        if (is(dialect_.api_key_))
        {
            head_.api_key_repeated_ = std::exchange(api_key_seen_, true);
            head_.api_key_.assign(value);
            return true;
        }
        if (is(dialect_.account_))
        {
            head_.account_.assign(value);
            return true;
        }
        // Neither the expected target, which VMs set themselves, nor other
        // internal fields, which belong to responses, are forwarded.
        const std::string_view prefix = dialect_.internal_field_prefix_;
        const bool is_internal =
            is(dialect_.expected_target_) ||
            (!prefix.empty() &&
             equals_ignoring_case(name.substr(0, prefix.size()), prefix));
        return is_internal ? std::optional<bool>(true) : std::nullopt;
    }

    bool apply_deadline(std::string_view value)
    {
        constexpr std::uint64_t max_deadline_ms = 24ULL * 3600 * 1000;
        const auto number = parse_number(value);
        if (!number || head_.deadline_)
        {
            return false;
        }
        head_.deadline_ = milliseconds(
            static_cast<double>(std::min(*number, max_deadline_ms)));
        return true;
    }

    bool finish_header() override
    {
        head_.framing_ = framing();
        head_.keep_alive_ = !closes() && !head_.http_1_0_;
        if (head_.framing_ == body_framing::length)
        {
            head_.length_ = this->content_length().value_or(0);
        }
        drop_connection_fields(head_.fields_);
        const bool framing_known =
            !head_.http_1_0_ || head_.framing_ != body_framing::chunked;
        return framing_known && (host_seen_ || head_.http_1_0_);
    }

    request_head& head_;
    const header_dialect& dialect_;
    bool host_seen_ = false;
    bool api_key_seen_ = false;
};

} // namespace

void request_head::clear()
{
    method_.clear();
    target_.clear();
    host_.clear();
    call_id_.clear();
    deadline_.reset();
    depth_ = 0;
    forwarded_ = false;
    deployment_.clear();
    api_key_.clear();
    api_key_repeated_ = false;
    account_.clear();
    expects_continue_ = false;
    keep_alive_ = true;
    http_1_0_ = false;
    framing_ = body_framing::none;
    length_ = 0;
    fields_.clear();
}

std::optional<std::string_view> find_field(std::string_view lines,
                                           std::string_view name)
{
    while (!lines.empty())
    {
        const auto line = lines.substr(0, lines.find("\r\n"));
        lines.remove_prefix(line.size() + 2);
        const auto colon = line.find(':');
        if (equals_ignoring_case(line.substr(0, colon), name))
        {
            return detail::trim(line.substr(colon + 1));
        }
    }
    return std::nullopt;
}

struct request_reader::parser
{
    request_head head_;
    std::optional<request_message_parser> parser_;
};

request_reader::request_reader(const http_limits& limits,
                               const header_dialect& dialect)
    : limits_(limits)
    , dialect_(dialect)
    , parser_(std::make_unique<parser>())
{
    reset();
}

request_reader::~request_reader() = default;

void request_reader::reset()
{
    parser_->head_.clear();
    auto& beast_parser = parser_->parser_.emplace(parser_->head_, dialect_);
    beast_parser.eager(true);
    beast_parser.header_limit(
        static_cast<std::uint32_t>(limits_.header_bytes_));
    beast_parser.body_limit(limits_.body_bytes_);
}

read_result request_reader::read(std::string_view input, std::string& body)
{
    return parser_->parser_->step(input, body, limits_.header_bytes_);
}

const request_head& request_reader::head() const
{
    return parser_->head_;
}

request_head& request_reader::head()
{
    return parser_->head_;
}

} // namespace anvilturn
