#include <av_http/message_writer.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace anvilturn
{
namespace
{

constexpr std::size_t max_digits = 20;
constexpr int hexadecimal = 16;

void append_number(std::string& output, std::uint64_t value, int base = 10)
{
    char digits[max_digits];
    const auto end =
        std::to_chars(std::begin(digits), std::end(digits), value, base).ptr;
    output.append(digits, end);
}

// Appends a field; does nothing if the name is empty, as the dialect then does
// not have the field.
void append_field(std::string& output,
                  std::string_view name,
                  std::string_view value)
{
    if (name.empty())
    {
        return;
    }
    output.append(name).append(": ").append(value).append("\r\n");
}

void append_number_field(std::string& output,
                         std::string_view name,
                         std::uint64_t value)
{
    if (name.empty())
    {
        return;
    }
    output.append(name).append(": ");
    append_number(output, value);
    output.append("\r\n");
}

void append_framing(std::string& output,
                    body_framing framing,
                    std::uint64_t length)
{
    if (framing == body_framing::length)
    {
        append_number_field(output, "Content-Length", length);
    }
    if (framing == body_framing::chunked ||
        framing == body_framing::until_close)
    {
        output.append("Transfer-Encoding: chunked\r\n");
    }
}

void append_status_line(std::string& output, int status, std::string_view text)
{
    output.append("HTTP/1.1 ");
    append_number(output, static_cast<std::uint64_t>(status));
    output.append(" ").append(text).append("\r\n");
}

void append_load(std::string& output, const response_head& head)
{
    if (head.load_)
    {
        output.append("Anvilturn-Load: busy=");
        append_number(output, head.load_->busy_slots_);
        output.append(", queued=");
        append_number(output, head.load_->queued_calls_);
        output.append(", slots=");
        append_number(output, head.load_->slots_);
        output.append("\r\n");
    }
    if (head.draining_)
    {
        output.append("Anvilturn-Draining: 1\r\n");
    }
}

// Writes seconds. Whole seconds are written without a fraction, since few
// recipients parse fractions.
void append_retry_after(std::string& output, milliseconds value)
{
    constexpr double milliseconds_per_second = 1000.0;
    if (value.count() <= 0.0)
    {
        return;
    }
    char text[32];
    const int size = std::snprintf(
        text, sizeof text, "%.3g", value.count() / milliseconds_per_second);
    append_field(output, "Retry-After", {text, static_cast<std::size_t>(size)});
}

std::string_view reason_phrase_of(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

} // namespace

const header_dialect& native_dialect()
{
    static const header_dialect dialect;
    return dialect;
}

void write_request_head(std::string& output,
                        const request_head& head,
                        const request_additions& additions,
                        const header_dialect& dialect)
{
    output.append(head.method_).append(" ").append(head.target_);
    output.append(" HTTP/1.1\r\n").append(head.fields_);
    append_field(output, dialect.call_id_, additions.call_id_);
    append_number_field(output,
                        dialect.deadline_,
                        static_cast<std::uint64_t>(
                            std::max(1.0, additions.deadline_left_.count())));
    append_number_field(
        output, dialect.depth_, static_cast<std::uint64_t>(additions.depth_));
    if (additions.forwarded_)
    {
        append_field(output, dialect.forwarded_, "1");
        append_field(output, dialect.deployment_, additions.deployment_);
    }
    if (!additions.expected_target_.empty())
    {
        append_field(
            output, dialect.expected_target_, additions.expected_target_);
    }
    if (!additions.account_.empty())
    {
        append_field(output, dialect.account_, additions.account_);
    }
    append_framing(output, additions.framing_, additions.length_);
    output.append("\r\n");
}

void write_response_head(std::string& output,
                         const response_head& head,
                         const response_additions& additions,
                         const header_dialect& dialect)
{
    append_status_line(output, head.status_, head.reason_phrase_);
    output.append(head.fields_);
    append_field(output, dialect.call_id_, additions.call_id_);
    append_field(output, dialect.outcome_, additions.outcome_);
    if (!additions.reason_.empty())
    {
        append_field(output, dialect.reason_, additions.reason_);
    }
    if (additions.with_load_)
    {
        append_load(output, head);
    }
    if (!additions.keep_alive_)
    {
        output.append("Connection: close\r\n");
    }
    if (head.content_length_)
    {
        append_framing(output, body_framing::length, *head.content_length_);
    }
    else
    {
        append_framing(output, head.framing_, head.length_);
    }
    output.append("\r\n");
}

void write_local_response(std::string& output,
                          const local_response& response,
                          const header_dialect& dialect)
{
    append_status_line(
        output, response.status_, reason_phrase_of(response.status_));
    output.append("Content-Type: text/plain\r\n");
    if (!response.call_id_.empty())
    {
        append_field(output, dialect.call_id_, response.call_id_);
    }
    if (!response.outcome_.empty())
    {
        append_field(output, dialect.outcome_, response.outcome_);
    }
    if (!response.reason_.empty())
    {
        append_field(output, dialect.reason_, response.reason_);
    }
    append_retry_after(output, response.retry_after_);
    if (!response.keep_alive_)
    {
        output.append("Connection: close\r\n");
    }
    append_framing(output, body_framing::length, response.text_.size() + 1);
    output.append("\r\n");
    if (!response.responds_to_head_request_)
    {
        output.append(response.text_).append("\n");
    }
}

void write_chunk(std::string& output, std::string_view bytes)
{
    if (bytes.empty())
    {
        return; // An empty chunk would end the body.
    }
    append_number(output, bytes.size(), hexadecimal);
    output.append("\r\n").append(bytes).append("\r\n");
}

void write_last_chunk(std::string& output)
{
    output.append("0\r\n\r\n");
}

} // namespace anvilturn
