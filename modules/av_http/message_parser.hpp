// Include it in the .cpp files of this module only: Beast is slow to compile.

#ifndef AV_HTTP_MESSAGE_PARSER_HPP
#define AV_HTTP_MESSAGE_PARSER_HPP

#include <av_http/header_check.hpp>
#include <av_http/http_limits.hpp>
#include <av_http/read_result.hpp>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn::detail
{

using http_field = boost::beast::http::field;
using http_error = boost::beast::http::error;
using boost::beast::error_code;

inline std::string_view to_std(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

inline bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

inline std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Parses one message with Beast's parser. Derived classes handle the start line
// and the fields that they need. Beast accepts some messages that other
// recipients interpret differently; those are refused here.
template <bool IsRequest>
class message_parser : public boost::beast::http::basic_parser<IsRequest>
{
public:
    // Reads until the end of the header or of the message, or all of the
    // input; see request_reader::read.
    read_result
    step(std::string_view input, std::string& body, std::size_t header_limit)
    {
        if (!this->is_header_done())
        {
            return read_header(input, header_limit);
        }
        return read_body(input, body, header_limit);
    }

protected:
    // Handles one field of the header; returns false if it must be refused.
    virtual bool apply_field(http_field id,
                             std::string_view name,
                             std::string_view value) = 0;
    // Handles the Keep-Alive field, which applies to this connection only.
    virtual void apply_keep_alive(std::string_view)
    {
    }
    // Called after the last field of the header; returns false if the header
    // must be refused.
    virtual bool finish_header() = 0;

    body_framing framing() const
    {
        if (chunked_)
        {
            return body_framing::chunked;
        }
        return length_seen_ ? body_framing::length : body_framing::none;
    }

    bool closes() const
    {
        return closes_;
    }

    // Appends a field to the lines to forward.
    static void append_forwarded_field(std::string& lines,
                                       std::string_view name,
                                       std::string_view value)
    {
        lines.append(name).append(": ").append(value).append("\r\n");
    }

    // Removes the fields named by Connection fields (hop-by-hop fields) from
    // the lines.
    void drop_connection_fields(std::string& lines) const
    {
        for (const auto& name : connection_fields_)
        {
            drop_field(lines, name);
        }
    }

private:
    read_result read_header(std::string_view input, std::size_t header_limit)
    {
        const auto end = input.substr(0, header_limit).find("\r\n\r\n");
        if (end == std::string_view::npos)
        {
            return check_incomplete_header(input, header_limit);
        }
        const auto header = input.substr(0, end + 4);
        if (!is_strict_header(header))
        {
            return failure(error_kind::request_malformed);
        }
        return put(header);
    }

    static read_result check_incomplete_header(std::string_view input,
                                               std::size_t header_limit)
    {
        if (has_bare_line_feed(input) ||
            input.find('\0') != std::string_view::npos)
        {
            return failure(error_kind::request_malformed);
        }
        if (input.size() >= header_limit)
        {
            return failure(error_kind::request_header_too_large);
        }
        return {};
    }

    // The size of a chunk, its extensions and the trailers are consumed when
    // they are complete, so they are limited like a header.
    read_result read_body(std::string_view input,
                          std::string& body,
                          std::size_t header_limit)
    {
        body_ = &body;
        const auto result = put(input);
        const bool is_stuck =
            result.state_ == read_state::in_body && result.consumed_ == 0;
        return is_stuck && input.size() >= header_limit
                   ? failure(error_kind::request_malformed)
                   : result;
    }

    read_result put(std::string_view input)
    {
        error_code error;
        read_result result;
        result.consumed_ =
            parser_base::put({input.data(), input.size()}, error);
        if (error && error != http_error::need_more)
        {
            return failure(error == http_error::body_limit
                               ? error_kind::request_body_too_large
                               : error_kind::request_malformed);
        }
        result.state_ = this->is_done()          ? read_state::complete
                        : this->is_header_done() ? read_state::in_body
                                                 : read_state::in_header;
        return result;
    }

    static read_result failure(error_kind kind)
    {
        return {0, read_state::failed, kind};
    }

    bool apply_framing_field(http_field id, std::string_view value)
    {
        if (id == http_field::content_length)
        {
            // Beast accepts repeated equal values; other recipients may not.
            const bool is_single_value =
                value.find(',') == std::string_view::npos;
            const bool first = !length_seen_ && !transfer_encoding_seen_;
            length_seen_ = true;
            return is_single_value && first;
        }
        // Beast reads a message with an unknown transfer encoding as one
        // without a body, so only "chunked" is accepted.
        const bool first = !length_seen_ && !transfer_encoding_seen_;
        transfer_encoding_seen_ = true;
        chunked_ = equals_ignoring_case(value, "chunked");
        return first && chunked_;
    }

    void apply_connection_options(std::string_view value)
    {
        while (!value.empty())
        {
            const auto comma = value.find(',');
            const auto token = trim(value.substr(0, comma));
            value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                                : comma + 1);
            if (equals_ignoring_case(token, "close"))
            {
                closes_ = true;
            }
            else if (!token.empty() &&
                     !equals_ignoring_case(token, "keep-alive"))
            {
                connection_fields_.emplace_back(token);
            }
        }
    }

    static void drop_field(std::string& lines, std::string_view name)
    {
        std::size_t at = 0;
        while (at < lines.size())
        {
            const auto end = lines.find("\r\n", at) + 2;
            const auto colon = lines.find(':', at);
            const auto found = std::string_view(lines).substr(at, colon - at);
            if (equals_ignoring_case(found, name))
            {
                lines.erase(at, end - at);
            }
            else
            {
                at = end;
            }
        }
    }

    bool
    dispatch_field(http_field id, std::string_view name, std::string_view value)
    {
        switch (id)
        {
        case http_field::content_length:
        case http_field::transfer_encoding:
            return apply_framing_field(id, value);
        case http_field::connection:
            apply_connection_options(value);
            return true;
        // Hop-by-hop fields, which are not forwarded.
        case http_field::keep_alive:
            apply_keep_alive(value);
            return true;
        case http_field::proxy_connection:
        case http_field::proxy_authenticate:
        case http_field::proxy_authorization:
        case http_field::te:
        case http_field::trailer:
        case http_field::upgrade:
            return true;
        default:
            return apply_field(id, name, value);
        }
    }

    using parser_base = boost::beast::http::basic_parser<IsRequest>;
    using view = boost::beast::string_view;

    void on_field_impl(http_field id,
                       view name,
                       view value,
                       error_code& error) override
    {
        if (this->is_header_done())
        {
            return; // Trailer fields are dropped, as RFC 9110 allows.
        }
        if (!dispatch_field(id, to_std(name), trim(to_std(value))))
        {
            error = http_error::bad_field;
        }
    }

    void on_header_impl(error_code& error) override
    {
        if (!finish_header())
        {
            error = http_error::bad_field;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           error_code& error) override
    {
        error = {};
    }

    std::size_t on_body_impl(view bytes, error_code& error) override
    {
        error = {};
        body_->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, view, error_code& error) override
    {
        error = {};
    }

    std::size_t
    on_chunk_body_impl(std::uint64_t, view bytes, error_code& error) override
    {
        return on_body_impl(bytes, error);
    }

    void on_finish_impl(error_code& error) override
    {
        error = {};
    }

    std::string* body_ = nullptr;
    bool length_seen_ = false;
    bool transfer_encoding_seen_ = false;
    bool chunked_ = false;
    bool closes_ = false;
    std::vector<std::string> connection_fields_;
};

} // namespace anvilturn::detail

#endif
