// Private to av_proxy.

#ifndef AV_PROXY_CALLER_CONNECTION_HPP
#define AV_PROXY_CALLER_CONNECTION_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/request_reader.hpp>
#include <av_proxy/caller_link.hpp>
#include <av_proxy/output_buffer.hpp>
#include <av_proxy/proxied_call.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace anvilturn
{

class worker;

// One connection of a caller, or of a VM that forwards calls. Requests are
// served one after the other, in their order.
class caller_connection
    : public std::enable_shared_from_this<caller_connection>,
      private caller_link
{
public:
    caller_connection(worker& owner,
                      boost::asio::ip::tcp::socket socket,
                      bool from_vm);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    void start();

    // Returns whether no request is under way, and since when.
    bool is_idle() const;
    milliseconds idle_since() const;

    void close();

private:
    std::string& output() override;
    void flush() override;
    std::size_t unsent_bytes() const override;
    void resume_reading() override;
    void update_timer() override;
    void finish_response(bool keep_alive) override;
    void abort_connection() override;
    std::shared_ptr<proxied_call> share_call() override;

    void wait_readable();
    void wait_writable();
    void on_readable();
    void on_writable();
    void watch_for_close();
    void discard_input();
    void process_unread_input();
    std::size_t process(std::string_view input);
    bool read_step(std::string_view input, std::size_t& used);
    void take_failure(error_kind kind);
    bool start_next();
    void after_input_processed();
    void continue_after_response();
    void linger();
    milliseconds due() const;
    void on_timer();
    void on_timeout();

    worker& worker_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    request_reader reader_;
    proxied_call call_;
    output_buffer output_;
    std::string pending_;
    bool from_vm_;

    bool closed_ = false;
    bool read_wait_pending_ = false;
    bool write_wait_pending_ = false;
    bool processing_ = false;
    // The request's header was read, and its body.
    bool header_done_ = false;
    bool request_complete_ = false;
    bool response_done_ = false;
    bool keep_alive_ = true;
    bool lingering_ = false;
    bool header_started_ = false;
    std::size_t discarded_bytes_ = 0;
    // When bytes last arrived or a request ended.
    milliseconds last_activity_at_;
    bool timer_pending_ = false;
    milliseconds timer_expires_at_;
};

} // namespace anvilturn

#endif
