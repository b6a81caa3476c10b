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

// Faults that can be switched while the platform runs. The control calls are
// not struck.
struct platform_faults
{
    // Closes the connection at each call.
    bool resets_connections_ = false;
    // Takes calls and never answers them.
    bool black_hole_ = false;
    // Answers 503 to each call.
    bool unavailable_ = false;
    // Answers 429 to each call.
    bool rate_limited_ = false;
    milliseconds extra_latency_{0.0};
    // Number of writes to come whose answer is lost after they took effect.
    int responses_to_drop_ = 0;
    // Reads give the state of that long ago.
    milliseconds read_staleness_{0.0};
    // Watches tell events newest first, and an old one again.
    bool reorder_watch_ = false;
};

// Limits and lags from the start.
struct platform_options
{
    milliseconds list_lag_{1000.0};
    double writes_per_second_ = 400.0;
    double reads_per_second_ = 2000.0;
    // Time that each answer takes without any fault.
    milliseconds latency_{2.0};
};

// The platform: objects, watches and the VM list. Single-threaded.
class platform
{
public:
    platform(boost::asio::io_context& context,
             const boost::asio::ip::tcp::endpoint& address,
             platform_options options);

private:
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

    // A list of VMs, and when the platform's callers begin to see it.
    struct scheduled_vm_list
    {
        milliseconds visible_from_;
        std::string json_;
    };

    // Calls that may still be made now, refilled as time passes.
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
    void answer_watch(const pending_watch_pointer& waiting);
    void answer_changed_watches();
    void drop_pending_watches();
    void schedule_api_call(const std::shared_ptr<http_session>& session);
    bool take_token(rate_bucket& bucket, double tokens_per_second);
    std::string counts_text() const;
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
