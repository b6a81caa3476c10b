// Private to av_proxy.

#ifndef AV_PROXY_CALLER_EXCHANGE_HPP
#define AV_PROXY_CALLER_EXCHANGE_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/request_reader.hpp>
#include <av_proxy/caller_link.hpp>
#include <av_proxy/proxied_call.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace anvilturn
{

class caller_connection;
class worker;

// One request on a caller's connection, with its call and the response. A
// caller may send further requests before the first one is answered; the
// responses are sent in the order of the requests, so that of a later exchange
// waits here until the exchange is the first of the connection.
class caller_exchange final : private caller_link
{
public:
    caller_exchange(worker& owner, caller_connection& connection, bool from_vm);

    // Prepares for another request.
    void reset();

    // Parses the next part of the request, which arrived at the time given, and
    // begins the call once its header is read, or holds it if the connection
    // does not permit it yet. Returns whether there may be more to parse in the
    // input.
    bool read(std::string_view input, std::size_t& used, milliseconds now);

    // Answers a request that can't be read.
    void reject(error_kind kind);

    // Continues as the first exchange of the connection: sends what there is of
    // the response, and begins a call that was held.
    void become_first();

    proxied_call& call();
    const proxied_call& call() const;

    // Returns whether nothing of the request has arrived.
    bool is_unused() const;
    // Returns whether the next input belongs to this request and can be used
    // now.
    bool wants_input() const;
    // Returns whether the request was read to its end.
    bool is_complete() const;
    // Returns whether the request was neither read to its end nor answered.
    bool is_reading() const;
    // Returns whether another request may follow on the connection, as far as
    // is known before the response.
    bool may_be_followed() const;
    bool has_response() const;
    // Returns whether the connection ends with this response.
    bool ends_connection() const;
    // Bytes of the request and the response that wait here.
    std::size_t buffered_bytes() const;

private:
    std::string& output() override;
    void flush() override;
    std::size_t unsent_bytes() const override;
    bool is_last_request() const override;
    void resume_reading() override;
    void update_timer() override;
    void finish_response(bool keep_alive) override;
    void abort_connection() override;
    std::shared_ptr<proxied_call> share_call() override;

    void begin_call();

    caller_connection& connection_;
    request_reader reader_;
    proxied_call call_;
    const bool from_vm_;
    // The response, while this is not the first exchange.
    std::string waiting_output_;
    // When the header was read.
    milliseconds arrived_at_;
    bool header_started_ = false;
    // Whether the header of the request was read or rejected, and whether its
    // body was read as well.
    bool header_done_ = false;
    bool request_complete_ = false;
    // Whether the call may begin only once this is the first exchange.
    bool held_ = false;
    bool response_done_ = false;
    bool keep_alive_ = true;
    // Whether the response ended early while this was not the first exchange.
    bool aborted_ = false;
};

} // namespace anvilturn

#endif
