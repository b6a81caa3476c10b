#include <av_proxy/caller_connection.hpp>

#include <av_net/duration.hpp>
#include <av_proxy/worker.hpp>

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr milliseconds linger_timeout{1000.0};
constexpr std::size_t linger_limit_bytes = 4 * 1024 * 1024;
// Input that is read while it can't be parsed yet, so that requests don't stay
// in the socket, where callers take them for unread, and a close is noticed.
constexpr std::size_t max_read_ahead_bytes = std::size_t{16} * 1024;

} // namespace

caller_connection::caller_connection(worker& owner,
                                     tcp::socket socket,
                                     bool from_vm)
    : worker_(owner)
    , socket_(std::move(socket))
    , timer_(owner.context())
    , exchanges_(owner, *this, from_vm)
    , last_activity_at_(owner.now())
{
    worker_.add(*this);
}

caller_connection::~caller_connection()
{
    worker_.remove(*this);
}

void caller_connection::start()
{
    error_code error;
    socket_.non_blocking(true, error);
    if (!error)
    {
        socket_.set_option(tcp::no_delay(true), error);
    }
    if (error)
    {
        close();
        return;
    }
    wait_readable();
    update_timer();
}

bool caller_connection::is_idle() const
{
    return exchanges_.is_unused() && output_.unsent_bytes() == 0;
}

milliseconds caller_connection::idle_since() const
{
    return last_activity_at_;
}

void caller_connection::close()
{
    if (std::exchange(closed_, true))
    {
        return;
    }
    const auto self = shared_from_this();
    exchanges_.disconnect();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

void caller_connection::close_if_unused()
{
    error_code error;
    const bool has_unread_request = socket_.available(error) > 0 && !error;
    if (is_idle() && !has_unread_request)
    {
        close();
    }
}

void caller_connection::limit_deadlines(milliseconds latest)
{
    exchanges_.limit_deadlines(latest);
    update_timer();
}

const exchange_queue& caller_connection::exchanges() const
{
    return exchanges_;
}

std::string& caller_connection::output()
{
    return output_.bytes();
}

std::size_t caller_connection::unsent_bytes() const
{
    return output_.unsent_bytes();
}

void caller_connection::flush()
{
    if (closed_ || write_wait_pending_)
    {
        return;
    }
    error_code error;
    output_.send(socket_, error);
    if (error == asio::error::would_block)
    {
        wait_writable();
    }
    else if (error)
    {
        close();
    }
}

void caller_connection::resume_reading()
{
    if (!closed_ && !processing_ && !lingering_)
    {
        process_unread_input();
    }
}

void caller_connection::on_response_finished(const caller_exchange& exchange)
{
    if (closed_ || lingering_ || !exchanges_.is_first(exchange))
    {
        return;
    }
    flush();
    if (!processing_ && !closed_)
    {
        continue_after_response();
    }
}

void caller_connection::abort_connection()
{
    if (closed_)
    {
        return;
    }
    // Sends a reset instead of closing in an orderly way, since a caller may
    // take an orderly close for the end of the body.
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void caller_connection::wait_readable()
{
    if (read_wait_pending_ || closed_)
    {
        return;
    }
    read_wait_pending_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error)
                       {
                           self->read_wait_pending_ = false;
                           if (!error && !self->closed_)
                           {
                               self->on_readable();
                           }
                       });
}

void caller_connection::wait_writable()
{
    write_wait_pending_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const error_code& error)
                       {
                           self->write_wait_pending_ = false;
                           if (!error && !self->closed_)
                           {
                               self->on_writable();
                           }
                       });
}

void caller_connection::on_writable()
{
    flush();
    if (closed_ || output_.unsent_bytes() > 0)
    {
        return;
    }
    auto& first = exchanges_.first();
    if (first.has_response())
    {
        continue_after_response();
        return;
    }
    first.call().on_caller_output_drained();
}

void caller_connection::on_readable()
{
    if (lingering_)
    {
        discard_input();
        return;
    }
    const auto limit = readable_bytes();
    if (limit == 0)
    {
        watch_for_close();
        return;
    }
    auto& scratch = worker_.scratch();
    error_code error;
    const auto count =
        socket_.read_some(asio::buffer(scratch.data(), limit), error);
    if (error == asio::error::would_block)
    {
        wait_readable();
        return;
    }
    if (error)
    {
        close();
        return;
    }
    input_arrived_at_ = worker_.now();
    last_activity_at_ = input_arrived_at_;
    const std::string_view arrived(scratch.data(), count);
    if (unread_input_.empty())
    {
        const auto used = process(arrived);
        unread_input_.assign(arrived.substr(used));
        after_input_processed();
        return;
    }
    unread_input_.append(arrived);
    process_unread_input();
}

// Checks whether the caller closed the connection while calls run. Consumes no
// input: further requests stay in the socket until their turn.
void caller_connection::watch_for_close()
{
    char byte = 0;
    error_code error;
    const auto count = socket_.receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block)
    {
        wait_readable();
    }
    else if (error || count == 0)
    {
        close();
    }
}

void caller_connection::process_unread_input()
{
    const auto self = shared_from_this();
    const auto input = std::exchange(unread_input_, {});
    const auto used = process(input);
    unread_input_.assign(input, used, std::string::npos);
    after_input_processed();
}

std::size_t caller_connection::process(std::string_view input)
{
    processing_ = true;
    const absl::Cleanup end_processing = [this]
    {
        processing_ = false;
    };
    std::size_t used = 0;
    while (!closed_)
    {
        if (exchanges_.first().has_response() && !continue_with_next())
        {
            break;
        }
        auto* exchange =
            used < input.size()
                ? exchanges_.exchange_to_read(output_.unsent_bytes())
                : nullptr;
        const bool may_continue =
            exchange != nullptr &&
            exchange->read(input, used, input_arrived_at_);
        if (!may_continue && !exchanges_.first().has_response())
        {
            break;
        }
    }
    return used;
}

// Ends the first exchange, whose response is complete, and continues with the
// next one. Returns false if the connection ends or has ended, or if the
// response was not sent completely yet.
bool caller_connection::continue_with_next()
{
    if (exchanges_.first().ends_connection() || output_.unsent_bytes() > 0)
    {
        return false;
    }
    last_activity_at_ = worker_.now();
    exchanges_.end_first(); // Sends what the next response has so far.
    return !closed_;
}

// Returns how much input may be read now, in bytes. Some is read although it
// can't be parsed yet.
std::size_t caller_connection::readable_bytes() const
{
    const auto& last = exchanges_.last();
    if (last.wants_input())
    {
        return scratch_bytes;
    }
    const auto unread = unread_input_.size();
    return last.is_reading() || unread >= max_read_ahead_bytes
               ? 0
               : max_read_ahead_bytes - unread;
}

// Called after the input that arrived was parsed as far as possible. Waits for
// more, or continues after a finished response.
void caller_connection::after_input_processed()
{
    if (closed_ || lingering_)
    {
        return;
    }
    if (exchanges_.first().has_response())
    {
        continue_after_response();
        return;
    }
    if (readable_bytes() > 0)
    {
        wait_readable();
    }
    update_timer();
}

void caller_connection::continue_after_response()
{
    if (closed_ || lingering_ || output_.unsent_bytes() > 0)
    {
        update_timer();
        return;
    }
    if (exchanges_.first().ends_connection())
    {
        linger();
        return;
    }
    process_unread_input();
}

// Shuts down sending and discards input for a while: closing a socket with
// unread bytes resets the connection, and the caller would lose the response.
void caller_connection::linger()
{
    lingering_ = true;
    last_activity_at_ = worker_.now();
    exchanges_.disconnect();
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error)
    {
        close();
        return;
    }
    wait_readable();
    update_timer();
}

void caller_connection::discard_input()
{
    auto& scratch = worker_.scratch();
    error_code error;
    discarded_bytes_ += socket_.read_some(asio::buffer(scratch), error);
    const bool can_continue = !error || error == asio::error::would_block;
    if (!can_continue || discarded_bytes_ > linger_limit_bytes)
    {
        close();
        return;
    }
    wait_readable();
}

milliseconds caller_connection::due() const
{
    const auto& settings = worker_.core().settings_;
    if (lingering_)
    {
        return last_activity_at_ + linger_timeout;
    }
    if (is_idle())
    {
        return last_activity_at_ + settings.idle_timeout_;
    }
    const auto call_due = exchanges_.due();
    if (!call_due)
    {
        return request_due();
    }
    const bool awaits_caller = exchanges_.last().wants_input() ||
                               !exchanges_.first().call().is_active();
    return awaits_caller ? std::min(request_due(), *call_due) : *call_due;
}

// Returns until when the caller must continue with its request, or read the
// response.
milliseconds caller_connection::request_due() const
{
    return last_activity_at_ + worker_.core().settings_.request_timeout_;
}

void caller_connection::update_timer()
{
    if (closed_)
    {
        return;
    }
    const auto at = due();
    if (timer_pending_ && timer_expires_at_ <= at)
    {
        return; // on_timer will set it again.
    }
    timer_pending_ = true;
    timer_expires_at_ = at;
    timer_.expires_after(
        to_duration(std::max(milliseconds(0.0), at - worker_.now())));
    timer_.async_wait(
        [self = shared_from_this()](const error_code& error)
        {
            if (!error && !self->closed_)
            {
                self->on_timer();
            }
        });
}

void caller_connection::on_timer()
{
    timer_pending_ = false;
    if (worker_.now() >= due())
    {
        on_timeout();
    }
    update_timer();
}

void caller_connection::on_timeout()
{
    if (lingering_)
    {
        close();
        return;
    }
    if (is_idle())
    {
        close_if_unused();
        return;
    }
    if (exchanges_.end_overdue_call(worker_.now()))
    {
        return;
    }
    auto& last = exchanges_.last();
    if (!last.is_reading())
    {
        abort_connection(); // The caller does not read the response.
        return;
    }
    last.reject(error_kind::request_too_slow);
}

} // namespace anvilturn
