#ifndef STANDINS_FAKE_PLATFORM_PLATFORM_HPP
#define STANDINS_FAKE_PLATFORM_PLATFORM_HPP

#include <fake_platform/object_store.hpp>

#include <common/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{

// Faults that can be changed while the platform runs. Control requests are not
// affected.
struct platform_faults
{
    // Resets the connection of each call and of each pending watch.
    bool resets_connections_ = false;
    // Reads calls and sends no response; their connections are reset when the
    // fault is cleared.
    bool black_hole_ = false;
    // Responds 503 to each call.
    bool unavailable_ = false;
    // Responds 429 to each call.
    bool rate_limited_ = false;
    // Added to the latency of each response.
    milliseconds extra_latency_{0.0};
    // Number of coming writes that take effect but whose connection is closed
    // without a response.
    int responses_to_drop_ = 0;
    // Age of the state that reads return.
    milliseconds read_staleness_{0.0};
    // Watches report events newest first, then the oldest event under the
    // prefix again.
    bool reorder_watch_ = false;
};

// Initial limits and delays.
struct platform_options
{
    // Time until a new VM list is visible.
    milliseconds list_lag_{1000.0};
    double writes_per_second_ = 400.0;
    double reads_per_second_ = 2000.0;
    // Latency of each response without faults.
    milliseconds latency_{2.0};
};

// Fake platform: objects, watches and the VM list. Single-threaded.
class platform
{
public:
    platform(boost::asio::io_context& context,
             const boost::asio::ip::tcp::endpoint& address,
             platform_options options);

private:
    // A watch request without a response so far (long polling).
    struct pending_watch
    {
        pending_watch(boost::asio::io_context& context,
                      std::shared_ptr<http_session> session,
                      std::string prefix,
                      std::uint64_t since)
            : session_(std::move(session))
            , timer_(context)
            , prefix_(std::move(prefix))
            , since_(since)
        {
        }

        std::shared_ptr<http_session> session_;
        boost::asio::steady_timer timer_;
        std::string prefix_;
        std::uint64_t since_;
    };
    using pending_watch_pointer = std::shared_ptr<pending_watch>;

    // A VM list, and the monotonic time from which it is returned.
    struct scheduled_vm_list
    {
        milliseconds visible_from_;
        std::string json_;
    };

    // Token bucket of a rate limit; each call takes one token.
    struct rate_bucket
    {
        double tokens_ = 0.0;
        milliseconds refilled_at_{0.0};
    };

    void handle(const std::shared_ptr<http_session>& session);
    void handle_api(const std::shared_ptr<http_session>& session);
    void handle_object(const std::shared_ptr<http_session>& session,
                       const std::string& key);
    void handle_write(const std::shared_ptr<http_session>& session,
                      const std::string& key);
    void handle_list(const std::shared_ptr<http_session>& session);
    void handle_watch(const std::shared_ptr<http_session>& session);
    void handle_vms(const std::shared_ptr<http_session>& session);
    void handle_control(const std::shared_ptr<http_session>& session);
    void change_faults(const std::string& yaml);
    void answer_watch(const pending_watch_pointer& pending);
    void answer_changed_watches();
    void drop_pending_watches();
    void schedule_api_call(const std::shared_ptr<http_session>& session);
    bool take_token(rate_bucket& bucket, double tokens_per_second);
    std::string counts_text() const;
    // Returns the monotonic time of the state that reads return.
    milliseconds read_state_time() const;

    boost::asio::io_context& context_;
    platform_options options_;
    platform_faults faults_;
    object_store store_;
    std::list<pending_watch_pointer> pending_watches_;
    std::vector<std::shared_ptr<http_session>> unanswered_sessions_;
    std::deque<scheduled_vm_list> vm_lists_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t answered_bytes_ = 0;
    rate_bucket read_tokens_;
    rate_bucket write_tokens_;
    http_server server_;
};

} // namespace anvilturn

#endif
