// Private to av_proxy.

#ifndef AV_PROXY_CALLER_CONNECTION_HPP
#define AV_PROXY_CALLER_CONNECTION_HPP

#include <av_core/milliseconds.hpp>
#include <av_proxy/exchange_queue.hpp>
#include <av_proxy/output_buffer.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace anvilturn
{

class worker;

// One connection from a caller, or from a VM that forwards calls. The caller
// may send further requests before the first one is answered: idempotent ones
// begin at once, up to a limit, others when their turn has come to be answered,
// so that they have not run if the connection ends with an earlier response.
// Responses are sent in the order of the requests.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(worker& owner,
                      boost::asio::ip::tcp::socket socket,
                      bool from_vm);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    void start();

    // Returns whether no request is in progress. idle_since returns since when.
    bool is_idle() const;
    milliseconds idle_since() const;

    void close();
    // Closes the connection if no request is in progress and none has arrived
    // that was not read yet: closing would reset it, and the caller could not
    // tell whether it ran.
    void close_if_unused();

    // Makes the calls that run end by the given point in time.
    void limit_deadlines(milliseconds latest);

    // Used by the exchanges.
    const exchange_queue& exchanges() const;
    // Bytes to be sent to the caller. flush sends as much of them as the socket
    // accepts without blocking.
    std::string& output();
    void flush();
    std::size_t unsent_bytes() const;
    void resume_reading();
    void update_timer();
    void on_response_finished(const caller_exchange& exchange);
    // Resets the connection, so that the caller can tell that the response is
    // incomplete.
    void abort_connection();

private:
    void wait_readable();
    void wait_writable();
    void on_readable();
    void on_writable();
    void watch_for_close();
    void discard_input();
    void process_unread_input();
    std::size_t process(std::string_view input);
    bool continue_with_next();
    std::size_t readable_bytes() const;
    void after_input_processed();
    void continue_after_response();
    void linger();
    milliseconds due() const;
    milliseconds request_due() const;
    void on_timer();
    void on_timeout();

    worker& worker_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    exchange_queue exchanges_;
    output_buffer output_;
    std::string unread_input_;

    bool closed_ = false;
    bool read_wait_pending_ = false;
    bool write_wait_pending_ = false;
    bool processing_ = false;
    bool lingering_ = false;
    std::size_t discarded_bytes_ = 0;
    milliseconds input_arrived_at_;
    // When bytes last arrived, a request ended, or lingering began.
    milliseconds last_activity_at_;
    bool timer_pending_ = false;
    milliseconds timer_expires_at_;
};

} // namespace anvilturn

#endif
