#include <av_proxy/worker.hpp>

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/event_loop.hpp>
#include <av_proxy/caller_connection.hpp>
#include <av_proxy/outlier_check.hpp>
#include <av_proxy/proxied_call.hpp>
#include <av_proxy/response_buffer_limit.hpp>
#include <av_routing/random_bits.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/random/seed_seq.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <sstream>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Pause before connections are accepted again after an error.
constexpr std::chrono::milliseconds accept_retry_interval{100};
// While the VM stops, a keep-alive connection is closed after it was idle for
// this long.
constexpr milliseconds stopping_idle_limit{500.0};
constexpr auto relaxed = std::memory_order_relaxed;

boost::random::mt19937_64 seeded_generator()
{
    std::random_device device;
    std::array<std::uint32_t, 8> words{};
    std::generate(words.begin(),
                  words.end(),
                  [&device]
                  {
                      return device();
                  });
    boost::random::seed_seq seed(words.begin(), words.end());
    return boost::random::mt19937_64(seed);
}

std::string address_text(const tcp::endpoint& value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

error_code open_acceptor(tcp::acceptor& acceptor, const tcp::endpoint& address)
{
    error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        acceptor.set_option(reuse_port(true), error);
    }
    if (!error)
    {
        acceptor.bind(address, error);
    }
    if (!error)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace

worker::worker(path_core& core, std::size_t index)
    : core_(core)
    , index_(index)
    , context_(1)
    , tick_timer_(context_)
    , poll_timer_(context_)
    , started_at_(monotonic_now())
    , pending_timer_(context_)
    , callers_acceptor_(context_)
    , forward_acceptor_(context_)
    , reader_(core.table_)
    , random_(seeded_generator())
    , cached_now_(monotonic_now())
    , split_phase_(unit_interval(random_()))
    , load_query_sender_(*this)
{
    if (!core_.settings_.permits_.grantors_.empty())
    {
        permits_ =
            std::make_unique<permit_client>(context_, core_.settings_.permits_);
    }
}

worker::~worker()
{
    error_code ignored;
    callers_acceptor_.close(ignored);
    forward_acceptor_.close(ignored);
    tick_timer_.cancel();
    poll_timer_.cancel();
    pending_timer_.cancel();
    load_query_sender_.stop();
    close_all_connections();
    permits_.reset();
    // Runs the handlers of the cancelled operations, so that they release their
    // references to this object.
    context_.restart();
    context_.poll();
}

absl::StatusOr<std::string> worker::listen(const std::string& address,
                                           bool for_vms)
{
    const auto parsed = parse_endpoint(address);
    if (!parsed)
    {
        return make_error(
            error_kind::settings_invalid,
            absl::StrCat("'", address, "' is not an IP address and port"));
    }
    auto& acceptor = for_vms ? forward_acceptor_ : callers_acceptor_;
    const auto error = open_acceptor(acceptor, *parsed);
    if (error)
    {
        return make_error(
            error_kind::settings_invalid,
            absl::StrCat("can't listen on ", address, ": ", error.message()));
    }
    accept(acceptor, for_vms);
    return address_text(acceptor.local_endpoint());
}

void worker::run()
{
    cached_now_ = monotonic_now();
    tick();
    run_event_loop(context_, "worker");
}

void worker::stop_accepting()
{
    asio::post(context_,
               [this]
               {
                   accept_pending(callers_acceptor_, false);
                   accept_pending(forward_acceptor_, true);
               });
}

void worker::begin_finish()
{
    asio::post(context_,
               [this]
               {
                   refuse_waiting();
                   limit_deadlines();
                   close_idle_caller_connections();
               });
}

void worker::stop_now()
{
    asio::post(context_,
               [this]
               {
                   close_all_connections();
                   finished_ = true;
                   context_.stop();
               });
}

void worker::post_dispatch_waiting(
    const std::shared_ptr<service_state>& service)
{
    asio::post(context_,
               [this, service]
               {
                   const auto found = worker_states_.find(service->name_);
                   if (found != worker_states_.end())
                   {
                       dispatch_waiting(*found->second);
                   }
               });
}

path_core& worker::core()
{
    return core_;
}

path_counters& worker::counters()
{
    return counters_;
}

asio::io_context& worker::context()
{
    return context_;
}

milliseconds worker::now()
{
    const auto time = monotonic_now();
    if (was_paused(cached_now_, time))
    {
        core_.resumed_at_ms_.store(time.count());
        log_event(log_level::warning, "thread_was_paused")
            .field("paused_ms", (time - cached_now_).count())
            .write();
    }
    cached_now_ = time;
    return time;
}

milliseconds worker::last_time() const
{
    return cached_now_;
}

std::uint64_t worker::random_bits()
{
    return random_();
}

const std::shared_ptr<const routing_table>& worker::table()
{
    return reader_.current();
}

std::size_t worker::index() const
{
    return index_;
}

std::array<char, scratch_bytes>& worker::scratch()
{
    return scratch_;
}

std::size_t worker::response_buffer_limit() const
{
    return anvilturn::response_buffer_limit(core_.settings_,
                                            counters_.calls_.load(relaxed));
}

std::string& worker::body_buffer()
{
    return body_buffer_;
}

void worker::add(caller_connection& connection)
{
    connections_.insert(&connection);
    counters_.connections_.fetch_add(1, relaxed);
}

void worker::remove(caller_connection& connection)
{
    connections_.erase(&connection);
    counters_.connections_.fetch_sub(1, relaxed);
}

std::shared_ptr<target_connection> worker::connect(const target_entry& target)
{
    const auto pool = pool_of(target);
    const auto idle_limit =
        milliseconds(target.state_->idle_limit_ms_.load(relaxed)) *
        target_idle_limit_factor;
    while (!pool->idle_.empty())
    {
        const auto connection = std::move(pool->idle_.back());
        pool->idle_.pop_back();
        const bool too_old =
            idle_limit.count() > 0.0 &&
            cached_now_ - connection->became_idle_at() > idle_limit;
        if (!too_old && connection->is_usable())
        {
            return connection;
        }
        connection->close();
    }
    return std::make_shared<target_connection>(*this, pool);
}

void worker::accept(tcp::acceptor& acceptor, bool for_vms)
{
    acceptor.async_accept(
        [this, &acceptor, for_vms](const error_code& error, tcp::socket socket)
        {
            if (!acceptor.is_open())
            {
                return;
            }
            if (error)
            {
                accept_later(acceptor, for_vms);
                return;
            }
            accept(acceptor, for_vms);
            const bool full =
                connections_.size() >= core_.settings_.connections_per_thread_;
            if (!full)
            {
                std::make_shared<caller_connection>(
                    *this, std::move(socket), for_vms)
                    ->start();
            }
        });
}

// Accepts the connections that are already in the backlog, which closing the
// socket would reset, and stops listening.
void worker::accept_pending(tcp::acceptor& acceptor, bool for_vms)
{
    error_code error;
    if (acceptor.is_open())
    {
        acceptor.non_blocking(true, error);
    }
    while (!error && acceptor.is_open())
    {
        tcp::socket socket(context_);
        acceptor.accept(socket, error);
        if (!error)
        {
            std::make_shared<caller_connection>(
                *this, std::move(socket), for_vms)
                ->start();
        }
    }
    acceptor.close(error);
}

// Waits before the next attempt, since a shortage of file descriptors lasts for
// a while.
void worker::accept_later(tcp::acceptor& acceptor, bool for_vms)
{
    const auto timer =
        std::make_shared<asio::steady_timer>(context_, accept_retry_interval);
    timer->async_wait(
        [this, &acceptor, for_vms, timer](const error_code&)
        {
            if (acceptor.is_open())
            {
                accept(acceptor, for_vms);
            }
        });
}

void worker::refuse_waiting()
{
    for (auto* worker_state : worker_states())
    {
        while (!worker_state->queue_.empty())
        {
            pop(*worker_state)->refuse(error_kind::vm_stopping);
        }
    }
}

milliseconds worker::calls_end_at() const
{
    return milliseconds(core_.calls_end_at_ms_.load(relaxed));
}

// Makes the calls that run end with an answer before this VM does.
void worker::limit_deadlines()
{
    for (auto* connection : connections_)
    {
        connection->limit_deadlines(calls_end_at());
    }
}

void worker::close_idle_caller_connections()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (auto* connection : connections_)
    {
        if (connection->is_idle() &&
            cached_now_ - connection->idle_since() >= stopping_idle_limit)
        {
            idle.push_back(connection->shared_from_this());
        }
    }
    for (const auto& connection : idle)
    {
        connection->close_if_unused();
    }
    idle.clear();
    if (connections_.empty())
    {
        finished_ = true;
        context_.stop();
    }
}

void worker::close_all_connections()
{
    std::vector<std::shared_ptr<caller_connection>> all;
    for (auto* connection : connections_)
    {
        all.push_back(connection->shared_from_this());
    }
    for (const auto& connection : all)
    {
        connection->close();
    }
    for (const auto& pool : pools_)
    {
        const auto idle = std::move(pool.second->idle_);
        for (const auto& connection : idle)
        {
            connection->close();
        }
    }
}

std::shared_ptr<target_pool> worker::pool_of(const target_entry& target)
{
    auto& pool = pools_[target.state_.get()];
    if (pool == nullptr)
    {
        pool = std::make_shared<target_pool>();
        pool->state_ = target.state_;
    }
    return pool;
}

} // namespace anvilturn
