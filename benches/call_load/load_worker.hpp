#ifndef BENCHES_CALL_LOAD_LOAD_WORKER_HPP
#define BENCHES_CALL_LOAD_LOAD_WORKER_HPP

#include <call_load/balancer.hpp>
#include <call_load/call_result.hpp>
#include <call_load/load_plan.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// The addresses that calls are sent to, and how one is selected.
struct load_destinations
{
    // Addresses on which the VMs serve callers, or those of the targets if
    // calls go to them directly.
    std::vector<boost::asio::ip::tcp::endpoint> addresses_;
    // Whether calls go directly to targets, whose responses carry no
    // Anvilturn-Outcome.
    bool are_targets_ = false;
    // With a central queue: indices of the addresses that serve each service.
    // Empty without one.
    std::map<std::string, std::vector<std::size_t>> central_queue_addresses_;
    // Calls that the central queue sends to one target concurrently.
    int slots_per_target_ = 6;
    // Selects among the VMs that are ready; if null, calls are spread over all
    // addresses.
    std::shared_ptr<const balancer> balancer_;
};

// State that the workers share. Only the results change during a run, each
// written by one worker.
struct load_run
{
    std::string run_id_;
    load_plan plan_;
    std::vector<arrival> arrivals_;
    load_destinations destinations_;
    milliseconds call_timeout_{30000.0};
    std::chrono::steady_clock::time_point start_;
    std::vector<call_result> results_;
};

// Starts calls of a run at their intended times, without waiting for earlier
// ones: the call with index `first` and every stride-th after it. Each worker
// runs on its own thread.
class load_worker
{
public:
    load_worker(load_run& run, std::size_t first, std::size_t stride);

    // Makes the calls and returns once each has ended.
    void run_to_completion();

private:
    struct connection
    {
        explicit connection(boost::asio::io_context& context)
            : socket_(context)
        {
        }

        boost::asio::ip::tcp::socket socket_;
        boost::beast::flat_buffer buffer_;
    };

    struct active_call
    {
        active_call(boost::asio::io_context& context, std::size_t index)
            : arrival_index_(index)
            , timer_(context)
        {
        }

        std::size_t arrival_index_;
        std::size_t address_index_ = 0;
        std::unique_ptr<connection> connection_;
        boost::asio::steady_timer timer_;
        boost::beast::http::request<boost::beast::http::string_body> request_;
        std::optional<boost::beast::http::response_parser<
            boost::beast::http::string_body>>
            parser_;
        bool timed_out_ = false;
    };
    using call_pointer = std::shared_ptr<active_call>;

    void schedule_next();
    void start_call(std::size_t index);
    void send(const call_pointer& call);
    void write(const call_pointer& call);
    void read(const call_pointer& call);
    void handle_response(const call_pointer& call,
                         boost::system::error_code error);
    void fail_call(const call_pointer& call,
                   caller_outcome outcome,
                   const std::string& reason);
    void classify_response(const active_call& call);
    void end_call(const call_pointer& call);
    void build_request(active_call& call);
    void start_timeout(const call_pointer& call);
    void add_to_central_queue(const call_pointer& call);
    void dispatch_central_queue(const std::string& service);
    const arrival& arrival_of(const active_call& call) const;
    const stream_spec& stream_of(const active_call& call) const;
    float since_intended_start_ms(const active_call& call) const;

    load_run& run_;
    std::size_t next_arrival_;
    std::size_t stride_;
    boost::asio::io_context context_;
    boost::asio::steady_timer arrival_timer_;
    std::vector<std::vector<std::unique_ptr<connection>>> idle_connections_;
    std::map<std::string, std::deque<call_pointer>> central_queues_;
    std::vector<int> in_flight_;
};

} // namespace anvilturn

#endif
