// Private to av_proxy.

#ifndef AV_PROXY_TARGET_CONNECTION_HPP
#define AV_PROXY_TARGET_CONNECTION_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/answer_reader.hpp>
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

// The connections of one thread to one target.
struct target_pool
{
    std::shared_ptr<target_state> state_;
    // Connections that are open, idle ones included.
    int open_ = 0;
    // Whether the release no longer has the target at this address.
    bool withdrawn_ = false;
    // The one used last stands last.
    std::vector<std::shared_ptr<target_connection>> idle_;
};

// One connection to a target or to another VM. It serves one attempt at a
// time, and a further one only after the earlier ended at its own boundary.
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    target_connection(worker& owner, std::shared_ptr<target_pool> pool);
    ~target_connection();
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    // Returns whether the connection is open and the target neither closed it
    // nor sent anything since the last answer.
    bool is_usable();

    // Begins an attempt; on_connected is called at once if the connection
    // stands. Answers that bear the id of another call are passed over.
    void begin(attempt_observer& observer,
               bool is_head_request,
               std::string_view call_id);

    // Where the request is appended; flush sends it.
    std::string& output();
    void flush();
    std::size_t unsent_bytes() const;

    // Whether the request was handed over whole; only then may the connection
    // be used again.
    void set_request_complete(bool complete);

    // Stop and go on taking the answer, while the caller takes it slowly.
    void pause();
    void resume();

    // Ends the attempt without telling the observer and closes the connection,
    // which cancels the call at the target.
    void abandon();

    // Ends the attempt from within on_answer_head. The connection goes back to
    // the pool if the rest of the answer has arrived with the header; else it
    // is closed.
    void discard_remaining_response();

    // Puts the connection among the idle ones.
    void return_to_pool(milliseconds now);

    // When it became idle.
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
    void skip_response();
    std::size_t read_message(std::string_view input, bool& complete);
    void end_response(bool surplus);
    void lose(error_kind kind);
    void remove_from_pool();

    worker& worker_;
    std::shared_ptr<target_pool> pool_;
    boost::asio::ip::tcp::socket socket_;
    answer_reader reader_;
    output_buffer output_;
    // Bytes that arrived and were not read yet.
    std::string pending_;
    attempt_observer* observer_ = nullptr;
    std::string call_id_;
    bool is_head_request_ = false;
    // An answer to another call is being read.
    bool skipping_response_ = false;
    milliseconds became_idle_at_;
    bool connected_ = false;
    bool closed_ = false;
    bool read_wait_pending_ = false;
    bool write_wait_pending_ = false;
    bool paused_ = false;
    bool header_delivered_ = false;
    bool any_bytes_sent_ = false;
    bool request_complete_ = false;
    bool discarding_response_ = false;
};

} // namespace anvilturn

#endif
