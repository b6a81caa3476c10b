#ifndef STANDINS_FAKE_TARGET_TARGET_HPP
#define STANDINS_FAKE_TARGET_TARGET_HPP

#include <fake_target/target_options.hpp>

#include <common/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilturn
{

// How often a target started and completed one call.
struct execution_record
{
    int starts_ = 0;
    int completions_ = 0;
};

// Counts of a target since its start or the last reset_counts.
struct target_counts
{
    std::uint64_t received_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t cancelled_queued_ = 0;
    std::uint64_t cancelled_running_ = 0;
    std::uint64_t refused_ = 0;
    // Requests dropped by the fault close_idle; they were neither counted as
    // received nor run.
    std::uint64_t closed_idle_ = 0;
    // Monotonic time of the last received call, refused or not.
    milliseconds last_call_at_{0.0};
    // Monotonic time at which draining last began; reset_counts keeps it.
    milliseconds draining_since_{0.0};
    // Monotonic times of the received probes.
    std::vector<milliseconds> probe_times_;
};

// One fake target: slots, a first-in first-out queue, and its faults.
// Single-threaded.
class target
{
public:
    target(boost::asio::io_context& context,
           const boost::asio::ip::tcp::endpoint& address,
           target_options options);

    // Sets the faults that the YAML map names; throws YAML::Exception on values
    // of the wrong type.
    void change_faults(const std::string& yaml);

    // Clears the execution log and the counts.
    void reset_counts();

    const std::string& name() const noexcept;

    // Appends one line "CALL_ID STARTS COMPLETIONS TARGET" for each call.
    void append_executions(std::string& text) const;

    // Appends one line of key=value pairs.
    void append_counts(std::string& text) const;

    // Appends one line "TARGET MONOTONIC_MS" for each probe.
    void append_probes(std::string& text) const;

private:
    // A queued or running call or probe.
    struct work_item
    {
        work_item(boost::asio::io_context& context,
                  std::shared_ptr<http_session> session)
            : session_(std::move(session))
            , timer_(context)
        {
        }

        std::shared_ptr<http_session> session_;
        boost::asio::steady_timer timer_;
        std::string id_;
        bool is_probe_ = false;
        milliseconds service_time_{0.0};
        // Monotonic time; zero if the call has no deadline.
        milliseconds deadline_{0.0};
        // Monotonic time at which the service time ends.
        milliseconds finish_at_{0.0};
        bool running_ = false;
        // Completed, cancelled or refused.
        bool finished_ = false;
    };
    using work_item_pointer = std::shared_ptr<work_item>;

    // Load that /health and /load report, from a monotonic time on.
    struct load_snapshot
    {
        milliseconds since_{0.0};
        int busy_ = 0;
        int queued_ = 0;
        bool draining_ = false;
    };

    void handle(const std::shared_ptr<http_session>& session);
    void handle_call(const std::shared_ptr<http_session>& session);
    void handle_probe(const std::shared_ptr<http_session>& session);
    void handle_report(const std::shared_ptr<http_session>& session,
                       bool is_health);
    bool is_refusing() const;
    bool should_inject(bool fault);
    void refuse(const std::shared_ptr<http_session>& session);
    void enqueue(const work_item_pointer& item);
    void start_queued();
    void run(const work_item_pointer& item);
    void wait_for_finish(const work_item_pointer& item);
    void finish(const work_item_pointer& item);
    void send_response(const work_item_pointer& item);
    void cancel(const work_item_pointer& item);
    void set_frozen(bool frozen);
    void schedule_pause();
    void pause_slots(milliseconds length);
    milliseconds service_time(const http_request& request);
    double current_slowdown() const;
    int busy() const noexcept;
    std::string load_text(int busy, int queued) const;
    http_response make_response(unsigned status);
    void record_load_snapshot();
    load_snapshot delayed_load_snapshot() const;

    boost::asio::io_context& context_;
    target_options options_;
    target_faults faults_;
    boost::random::mt19937_64 random_;
    milliseconds slow_start_began_at_;
    milliseconds paused_until_{0.0};
    boost::asio::steady_timer pause_timer_;
    std::deque<work_item_pointer> queue_;
    std::list<work_item_pointer> running_;
    std::vector<std::shared_ptr<http_session>> frozen_sessions_;
    std::deque<load_snapshot> history_;
    std::unordered_map<std::string, execution_record> executions_;
    target_counts counts_;
    http_server server_;
};

} // namespace anvilturn

#endif
