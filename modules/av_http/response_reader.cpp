#include <av_http/response_reader.hpp>

#include <av_core/http_status.hpp>
#include <av_http/message_parser.hpp>
#include <av_model/cold_time.hpp>

#include <charconv>
#include <limits>

namespace anvilturn
{
namespace
{

// Returns the number of milliseconds; nothing if the value is malformed.
std::optional<milliseconds> parse_cold_time(std::string_view value)
{
    int count = 0;
    const auto* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end || count < 0)
    {
        return std::nullopt;
    }
    return std::min(milliseconds(count), max_cold_time);
}

using detail::equals_ignoring_case;
using detail::http_field;

constexpr int http_1_1 = 11;
constexpr int first_final_status = 200;
constexpr int switching_protocols = 101;
constexpr int no_content = 204;
// A target in trouble may send interim responses without end.
constexpr int max_interim_responses = 16;
constexpr int not_modified = 304;

class response_message_parser : public detail::message_parser<false>
{
public:
    response_message_parser(response_head& head,
                            const header_dialect& dialect,
                            bool responds_to_head_request)
        : head_(head)
        , dialect_(dialect)
        , responds_to_head_request_(responds_to_head_request)
    {
    }

private:
    void on_response_impl(int status,
                          boost::beast::string_view phrase,
                          int version,
                          detail::error_code& error) override
    {
        head_.status_ = status;
        head_.reason_phrase_.assign(detail::to_std(phrase));
        http_1_0_ = version < http_1_1;
        if (!is_http_status(status) || status == switching_protocols)
        {
            error = detail::http_error::bad_status;
        }
    }

    void on_request_impl(boost::beast::http::verb,
                         boost::beast::string_view,
                         boost::beast::string_view,
                         int,
                         detail::error_code&) override
    {
    }

    bool apply_field(http_field id,
                     std::string_view name,
                     std::string_view value) override
    {
        if (id == http_field::unknown && apply_dialect_field(name, value))
        {
            return true;
        }
        const std::string_view prefix = dialect_.internal_field_prefix_;
        const bool is_internal =
            !prefix.empty() &&
            equals_ignoring_case(name.substr(0, prefix.size()), prefix);
        if (!is_internal)
        {
            append_forwarded_field(head_.fields_, name, value);
        }
        return true;
    }

    void apply_keep_alive(std::string_view value) override
    {
        constexpr std::string_view parameter = "timeout=";
        constexpr double milliseconds_per_second = 1000.0;
        const auto at = value.find(parameter);
        if (at == std::string_view::npos)
        {
            return;
        }
        const auto digits = value.substr(at + parameter.size());
        unsigned seconds = 0;
        const auto parsed = std::from_chars(
            digits.data(), digits.data() + digits.size(), seconds);
        if (parsed.ec == std::errc())
        {
            head_.idle_limit_ = milliseconds(seconds * milliseconds_per_second);
        }
    }

    // Returns whether the field is named by the dialect and must not be
    // forwarded.
    bool apply_dialect_field(std::string_view name, std::string_view value)
    {
        const auto is = [name](const std::string& known)
        {
            return !known.empty() && equals_ignoring_case(name, known);
        };
        if (is(dialect_.load_))
        {
            head_.load_ = dialect_.parse_load_(value);
            return true;
        }
        if (is(dialect_.cold_for_))
        {
            head_.cold_for_ = parse_cold_time(value);
            return true;
        }
        if (is(dialect_.draining_))
        {
            head_.draining_ = value == "1";
            return true;
        }
        if (is(dialect_.not_run_))
        {
            head_.not_run_ = value == "1";
            return true;
        }
        if (is(dialect_.outcome_))
        {
            head_.outcome_.assign(value);
            return true;
        }
        if (is(dialect_.reason_))
        {
            head_.reason_.assign(value);
            return true;
        }
        if (is(dialect_.call_id_))
        {
            head_.call_id_.assign(value);
            return true;
        }
        if (is(dialect_.target_id_))
        {
            head_.target_id_.assign(value);
        }
        else if (is(dialect_.signature_))
        {
            head_.has_signature_ = !value.empty();
        }
        return false;
    }

    bool finish_header() override
    {
        head_.keep_alive_ = !closes() && !http_1_0_;
        drop_connection_fields(head_.fields_);
        if (head_.load_)
        {
            head_.load_->draining_ = head_.draining_;
        }
        if (has_no_body())
        {
            return apply_bodiless_framing();
        }
        head_.framing_ = framing();
        if (head_.framing_ == body_framing::length)
        {
            head_.length_ = this->content_length().value_or(0);
        }
        if (head_.framing_ == body_framing::none)
        {
            head_.framing_ = body_framing::until_close;
            head_.keep_alive_ = false;
            return dialect_.allows_unframed_responses_;
        }
        return !http_1_0_ || head_.framing_ != body_framing::chunked;
    }

    bool has_no_body() const
    {
        return responds_to_head_request_ ||
               head_.status_ < first_final_status ||
               head_.status_ == no_content || head_.status_ == not_modified;
    }

    // By RFC 9110, only 304 and responses to HEAD may have a Content-Length
    // without a body. In others the sender may send a body after all, which
    // would be read as the next response, so they are refused.
    bool apply_bodiless_framing()
    {
        const bool may_have_length =
            responds_to_head_request_ || head_.status_ == not_modified;
        if (framing() == body_framing::length && may_have_length)
        {
            head_.content_length_ = this->content_length().value_or(0);
            return true;
        }
        return may_have_length || framing() == body_framing::none;
    }

    response_head& head_;
    const header_dialect& dialect_;
    bool responds_to_head_request_;
    bool http_1_0_ = false;
};

// Removes "NAME=NUMBER" and a comma after it from the front of the text and
// returns the number; nothing if it is malformed or out of range.
std::optional<int> consume_count(std::string_view& text, std::string_view name)
{
    text = detail::trim(text);
    if (text.substr(0, name.size()) != name ||
        text.substr(name.size(), 1) != "=")
    {
        return std::nullopt;
    }
    text.remove_prefix(name.size() + 1);
    int value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    constexpr int max_count = 1000000;
    if (parsed.ec != std::errc() || value < 0 || value > max_count)
    {
        return std::nullopt;
    }
    text =
        detail::trim({parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)});
    if (!text.empty() && text[0] == ',')
    {
        text.remove_prefix(1);
    }
    return value;
}

} // namespace

void response_head::clear()
{
    status_ = 0;
    reason_phrase_.clear();
    keep_alive_ = true;
    framing_ = body_framing::none;
    length_ = 0;
    content_length_.reset();
    idle_limit_.reset();
    call_id_.clear();
    target_id_.clear();
    has_signature_ = false;
    load_.reset();
    cold_for_.reset();
    draining_ = false;
    not_run_ = false;
    outcome_.clear();
    reason_.clear();
    fields_.clear();
}

std::optional<load_report> parse_load(std::string_view value)
{
    const auto busy = consume_count(value, "busy");
    const auto queued = busy ? consume_count(value, "queued") : std::nullopt;
    const auto slots = queued ? consume_count(value, "slots") : std::nullopt;
    if (!slots || !value.empty())
    {
        return std::nullopt;
    }
    load_report report;
    report.busy_slots_ = *busy;
    report.queued_calls_ = *queued;
    report.slots_ = *slots;
    return report;
}

struct response_reader::parser
{
    response_head head_;
    std::optional<response_message_parser> parser_;
};

response_reader::response_reader(const http_limits& limits,
                                 const header_dialect& dialect)
    : limits_(limits)
    , dialect_(dialect)
    , parser_(std::make_unique<parser>())
{
    reset(false);
}

response_reader::~response_reader() = default;

void response_reader::reset(bool responds_to_head_request)
{
    responds_to_head_request_ = responds_to_head_request;
    interim_responses_ = 0;
    reset_parser();
}

void response_reader::reset_parser()
{
    parser_->head_.clear();
    auto& beast_parser = parser_->parser_.emplace(
        parser_->head_, dialect_, responds_to_head_request_);
    beast_parser.eager(true);
    beast_parser.header_limit(
        static_cast<std::uint32_t>(limits_.header_bytes_));
    // Beast 1.74 treats an absent limit as zero, so "unlimited" is the largest
    // value.
    beast_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    beast_parser.skip(responds_to_head_request_);
}

read_result response_reader::read(std::string_view input, std::string& body)
{
    std::size_t skipped = 0;
    for (;;)
    {
        auto result = parser_->parser_->step(
            input.substr(skipped), body, limits_.header_bytes_);
        const bool interim = result.state_ == read_state::complete &&
                             parser_->head_.status_ < first_final_status;
        result.consumed_ += skipped;
        if (!interim)
        {
            return result;
        }
        if (++interim_responses_ > max_interim_responses)
        {
            return {skipped,
                    read_state::failed,
                    error_kind::target_answer_malformed};
        }
        skipped = result.consumed_;
        reset_parser();
    }
}

bool response_reader::finish()
{
    auto& beast_parser = *parser_->parser_;
    if (!beast_parser.is_header_done() ||
        parser_->head_.framing_ != body_framing::until_close)
    {
        return false;
    }
    detail::error_code error;
    beast_parser.put_eof(error);
    return !error;
}

const response_head& response_reader::head() const
{
    return parser_->head_;
}

} // namespace anvilturn
