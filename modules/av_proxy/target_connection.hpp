// Private to av_proxy.

#ifndef AV_PROXY_TARGET_CONNECTION_HPP
#define AV_PROXY_TARGET_CONNECTION_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/response_reader.hpp>
#include <av_proxy/attempt_observer.hpp>
#include <av_proxy/output_buffer.hpp>
#include <av_proxy/target_state.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

class target_connection;
class worker;

// The connection pool of one thread for one target.
struct target_pool
{
    std::shared_ptr<target_state> state_;
    // Number of open connections, including idle ones.
    int open_ = 0;
    // Whether the release no longer has the target at this address.
    bool withdrawn_ = false;
    // Idle connections, the most recently used one last.
    std::vector<std::shared_ptr<target_connection>> idle_;
};

// One connection to a target or to another VM. It serves one attempt at a time,
// and another one only after the earlier response ended at its own message
// boundary.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    target_connection(worker& owner, std::shared_ptr<target_pool> pool);
    ~target_connection();
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    // Returns whether the connection is open and the target has neither closed
    // it nor sent anything since the last response.
    bool is_usable();

    // Begins an attempt. Calls on_connected immediately if the connection is
    // established. Responses that carry the id of another call are skipped.
    void begin(attempt_observer& observer,
               bool is_head_request,
               std::string_view call_id);

    // Passes the attempt on to another observer, which gets its further events.
    void set_observer(attempt_observer& observer);

    // Buffer to which the request is appended; flush sends it.
    std::string& output();
    void flush();
    std::size_t unsent_bytes() const;

    // Sets whether the whole request was appended; only then may the connection
    // be reused.
    void set_request_complete(bool complete);

    // Pause and resume reading the response, while the caller reads it slowly.
    void pause();
    void resume();

    // Ends the attempt without notifying the observer and closes the
    // connection, which cancels the call at the target.
    void abandon();

    // Ends the attempt from within on_response_head. The connection returns to
    // the pool if the rest of the response has arrived with the header;
    // otherwise it is closed.
    void discard_remaining_response();

    // Adds the connection to the idle ones of its pool, or closes it if the
    // release no longer has the target at this address.
    void return_to_pool(milliseconds now);

    // Returns when the connection became idle.
    milliseconds became_idle_at() const;

    void close();

private:
    void connect();
    void on_connect(const boost::system::error_code& error);
    void wait_readable();
    void on_readable(const boost::system::error_code& error);
    void wait_writable();
    void process(std::string_view input);
    bool is_for_other_call() const;
    bool is_late_copy_recognizable() const;
    void skip_response();
    std::size_t read_message(std::string_view input, bool& complete);
    void end_response(bool has_surplus_input);
    void fail_attempt(error_kind kind);
    void remove_from_pool();

    worker& worker_;
    std::shared_ptr<target_pool> pool_;
    boost::asio::ip::tcp::socket socket_;
    response_reader reader_;
    output_buffer output_;
    // Received bytes that were not parsed yet.
    std::string unread_input_;
    attempt_observer* observer_ = nullptr;
    std::string call_id_;
    bool is_head_request_ = false;
    // Whether this connection has served a load query.
    bool served_load_query_ = false;
    // Whether a response to another call is being skipped.
    bool skipping_response_ = false;
    // Responses to other calls since the attempt began, and their bytes.
    int skipped_responses_ = 0;
    std::size_t skipped_bytes_ = 0;
    milliseconds became_idle_at_;
    bool connected_ = false;
    bool closed_ = false;
    bool read_wait_pending_ = false;
    bool write_wait_pending_ = false;
    bool paused_ = false;
    bool header_delivered_ = false;
    bool any_bytes_sent_ = false;
    bool write_failed_ = false;
    bool request_complete_ = false;
    bool discarding_response_ = false;
};

} // namespace anvilturn

#endif
