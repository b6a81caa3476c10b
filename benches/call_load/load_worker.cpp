#include <call_load/load_worker.hpp>

#include <common/service_body.hpp>
#include <common/standin_program.hpp>

#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cstdio>
#include <utility>

namespace anvilturn
{
namespace
{

namespace http = boost::beast::http;

constexpr std::uint64_t response_limit_bytes = 256ULL << 20U;

std::string make_request_body(const std::string& id, std::size_t size)
{
    std::string body;
    while (body.size() < size)
    {
        body.append(id, 0, size - body.size()).append(1, '/');
    }
    body.resize(size);
    return body;
}

// Returns whether a pooled connection is still open with nothing to read.
bool is_reusable(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

load_worker::load_worker(load_run& run, std::size_t first, std::size_t stride)
    : run_(run)
    , next_arrival_(first)
    , stride_(stride)
    , context_(1)
    , arrival_timer_(context_)
    , idle_connections_(run.destinations_.addresses_.size())
    , in_flight_(run.destinations_.addresses_.size())
{
}

void load_worker::run_to_completion()
{
    schedule_next();
    context_.run();
}

void load_worker::schedule_next()
{
    const auto now = std::chrono::steady_clock::now();
    while (next_arrival_ < run_.arrivals_.size())
    {
        const auto due =
            run_.start_ +
            to_duration(run_.arrivals_[next_arrival_].start_offset_);
        if (due > now)
        {
            arrival_timer_.expires_at(due);
            arrival_timer_.async_wait(
                [this](auto)
                {
                    schedule_next();
                });
            return;
        }
        start_call(next_arrival_);
        next_arrival_ += stride_;
    }
}

void load_worker::start_call(std::size_t index)
{
    auto call = std::make_shared<active_call>(context_, index);
    run_.results_[index].send_delay_ms_ = since_intended_start_ms(*call);
    const auto& destinations = run_.destinations_;
    if (!destinations.central_queue_addresses_.empty())
    {
        add_to_central_queue(call);
        return;
    }
    const auto random_value = arrival_of(*call).balancer_random_value_;
    call->address_index_ = destinations.balancer_
                               ? destinations.balancer_->choose(random_value)
                               : random_value % destinations.addresses_.size();
    send(call);
}

void load_worker::add_to_central_queue(const call_pointer& call)
{
    const auto& service = stream_of(*call).service_;
    central_queues_[service].push_back(call);
    dispatch_central_queue(service);
}

void load_worker::dispatch_central_queue(const std::string& service)
{
    const auto found =
        run_.destinations_.central_queue_addresses_.find(service);
    auto& queue = central_queues_[service];
    while (!queue.empty() &&
           found != run_.destinations_.central_queue_addresses_.end())
    {
        auto least_busy = found->second.front();
        for (const auto candidate : found->second)
        {
            least_busy = in_flight_[candidate] < in_flight_[least_busy]
                             ? candidate
                             : least_busy;
        }
        if (in_flight_[least_busy] >= run_.destinations_.slots_per_target_)
        {
            return;
        }
        const auto call = queue.front();
        queue.pop_front();
        ++in_flight_[least_busy];
        call->address_index_ = least_busy;
        send(call);
    }
}

void load_worker::send(const call_pointer& call)
{
    build_request(*call);
    auto& result = run_.results_[call->arrival_index_];
    result.address_index_ = static_cast<std::uint16_t>(call->address_index_);
    start_timeout(call);
    auto& idle = idle_connections_[call->address_index_];
    while (!idle.empty())
    {
        call->connection_ = std::move(idle.back());
        idle.pop_back();
        if (is_reusable(call->connection_->socket_))
        {
            write(call);
            return;
        }
    }
    call->connection_ = std::make_unique<connection>(context_);
    call->connection_->socket_.async_connect(
        run_.destinations_.addresses_[call->address_index_],
        [this, call](boost::system::error_code error)
        {
            if (error)
            {
                fail_call(call, caller_outcome::unreached, error.message());
                return;
            }
            call->connection_->socket_.set_option(
                boost::asio::ip::tcp::no_delay(true), error);
            write(call);
        });
}

void load_worker::build_request(active_call& call)
{
    const auto& stream = stream_of(call);
    const auto id = call_id(run_.run_id_, arrival_of(call));
    char service[32];
    std::snprintf(
        service, sizeof service, "%.3f", arrival_of(call).service_ms_);
    call.request_.version(11);
    call.request_.method_string(stream.method_);
    call.request_.target(stream.path_ +
                         "?size=" + std::to_string(stream.response_bytes_) +
                         "&service_ms=" + service);
    call.request_.set(http::field::host, stream.host_);
    call.request_.set("Anvilturn-Call-Id", id);
    if (stream.deadline_ > milliseconds(0.0))
    {
        call.request_.set("Anvilturn-Deadline-Ms",
                          std::to_string(static_cast<std::int64_t>(
                              stream.deadline_.count())));
    }
    call.request_.body() = make_request_body(id, stream.body_bytes_);
    call.request_.prepare_payload();
}

void load_worker::start_timeout(const call_pointer& call)
{
    call->timer_.expires_after(to_duration(run_.call_timeout_));
    call->timer_.async_wait(
        [call](boost::system::error_code error)
        {
            if (!error && call->connection_)
            {
                call->timed_out_ = true;
                boost::system::error_code ignored;
                call->connection_->socket_.close(ignored);
            }
        });
}

void load_worker::write(const call_pointer& call)
{
    http::async_write(call->connection_->socket_,
                      call->request_,
                      [this, call](auto error, std::size_t)
                      {
                          // A server may respond before it has read the whole
                          // request, so a failed write doesn't end the call.
                          static_cast<void>(error);
                          read(call);
                      });
}

void load_worker::read(const call_pointer& call)
{
    call->parser_.emplace();
    call->parser_->body_limit(response_limit_bytes);
    call->parser_->skip(stream_of(*call).method_ == "HEAD");
    http::async_read(call->connection_->socket_,
                     call->connection_->buffer_,
                     *call->parser_,
                     [this, call](auto error, std::size_t)
                     {
                         handle_response(call, error);
                     });
}

void load_worker::handle_response(const call_pointer& call,
                                  boost::system::error_code error)
{
    if (error)
    {
        fail_call(call, caller_outcome::unknown, error.message());
        return;
    }
    classify_response(*call);
    const auto& buffer = call->connection_->buffer_;
    if (buffer.size() > 0)
    {
        // Bytes after the response belong to no request of this connection.
        run_.results_[call->arrival_index_].misdelivered_ = true;
    }
    else if (call->parser_->get().keep_alive())
    {
        idle_connections_[call->address_index_].push_back(
            std::move(call->connection_));
    }
    end_call(call);
}

void load_worker::fail_call(const call_pointer& call,
                            caller_outcome outcome,
                            const std::string& reason)
{
    auto& result = run_.results_[call->arrival_index_];
    result.outcome_ = outcome;
    result.broken_ = outcome == caller_outcome::unknown;
    result.reason_ = call->timed_out_ ? "caller_timeout" : reason;
    end_call(call);
}

void load_worker::classify_response(const active_call& call)
{
    auto& result = run_.results_[call.arrival_index_];
    const auto& response = call.parser_->get();
    const auto outcome = response["Anvilturn-Outcome"];
    const bool refused_by_target =
        response.result_int() == 503 && response["Anvilturn-Not-Run"] == "1";
    result.status_ = static_cast<std::uint16_t>(response.result_int());
    result.reason_ = std::string(response["Anvilturn-Reason"]);
    if (run_.destinations_.are_targets_)
    {
        result.outcome_ = refused_by_target ? caller_outcome::not_run
                                            : caller_outcome::answered;
    }
    else if (outcome == "answered" || outcome == "not-run")
    {
        result.outcome_ = outcome == "answered" ? caller_outcome::answered
                                                : caller_outcome::not_run;
    }
    else
    {
        result.outcome_ = caller_outcome::unknown;
    }
    if (result.outcome_ != caller_outcome::answered || result.status_ != 200)
    {
        return;
    }
    const auto check =
        check_service_body(response.body(),
                           call_id(run_.run_id_, arrival_of(call)),
                           call.request_.body(),
                           stream_of(call).response_bytes_);
    result.misdelivered_ = check == body_check::foreign;
    result.damaged_ = check == body_check::damaged;
}

void load_worker::end_call(const call_pointer& call)
{
    run_.results_[call->arrival_index_].latency_ms_ =
        since_intended_start_ms(*call);
    call->connection_.reset();
    call->timer_.cancel();
    if (!run_.destinations_.central_queue_addresses_.empty())
    {
        --in_flight_[call->address_index_];
        dispatch_central_queue(stream_of(*call).service_);
    }
}

const arrival& load_worker::arrival_of(const active_call& call) const
{
    return run_.arrivals_[call.arrival_index_];
}

const stream_spec& load_worker::stream_of(const active_call& call) const
{
    return run_.plan_.streams_[arrival_of(call).stream_index_];
}

float load_worker::since_intended_start_ms(const active_call& call) const
{
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - run_.start_;
    return static_cast<float>(elapsed.count() -
                              arrival_of(call).start_offset_.count());
}

} // namespace anvilturn
