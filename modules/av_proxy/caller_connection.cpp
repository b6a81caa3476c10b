#include <av_proxy/caller_connection.hpp>

#include <av_net/duration.hpp>
#include <av_proxy/worker.hpp>

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

} // namespace

caller_connection::caller_connection(worker& owner,
                                     tcp::socket socket,
                                     bool from_vm)
    : worker_(owner)
    , socket_(std::move(socket))
    , timer_(owner.context())
    , reader_(owner.core().settings_.limits_, owner.core().settings_.dialect_)
    , call_(owner, *this)
    , from_vm_(from_vm)
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
    return !header_done_ && !header_started_ && !call_.is_active() &&
           output_.unsent_bytes() == 0;
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
    call_.on_caller_disconnected();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
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
    if (closed_ || processing_ || request_complete_)
    {
        return;
    }
    process_unread_input();
}

void caller_connection::finish_response(bool keep_alive)
{
    response_done_ = true;
    keep_alive_ = keep_alive;
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

std::shared_ptr<proxied_call> caller_connection::share_call()
{
    return {shared_from_this(), &call_};
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
    if (response_done_)
    {
        continue_after_response();
        return;
    }
    call_.on_caller_output_drained();
}

void caller_connection::on_readable()
{
    if (lingering_)
    {
        discard_input();
        return;
    }
    if (request_complete_)
    {
        watch_for_close();
        return;
    }
    auto& scratch = worker_.scratch();
    error_code error;
    const auto count = socket_.read_some(asio::buffer(scratch), error);
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
    last_activity_at_ = worker_.now();
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

// Checks whether the caller closed the connection while a call runs. Consumes
// no input: further requests stay in the socket until their turn.
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
    std::size_t used = 0;
    while (!closed_)
    {
        if (response_done_ && !prepare_next_request())
        {
            break;
        }
        if (request_complete_ || (header_done_ && !call_.wants_body()) ||
            used >= input.size() || !read_step(input, used))
        {
            break;
        }
    }
    processing_ = false;
    return used;
}

// Parses the next part of the request. Returns whether there may be another one
// in the input.
bool caller_connection::read_step(std::string_view input, std::size_t& used)
{
    const auto result = reader_.read(input.substr(used), call_.body());
    used += result.consumed_;
    switch (result.state_)
    {
    case read_state::in_header:
        header_started_ = true;
        return false;
    case read_state::failed:
        reject_request(result.error_);
        return response_done_;
    case read_state::in_body:
    case read_state::complete:
        break;
    }
    request_complete_ = result.state_ == read_state::complete;
    if (!std::exchange(header_done_, true))
    {
        call_.begin(reader_.head(), from_vm_, request_complete_);
    }
    if (call_.is_active() && !closed_)
    {
        call_.on_request_body(request_complete_);
    }
    return result.consumed_ > 0 || response_done_;
}

void caller_connection::reject_request(error_kind kind)
{
    header_done_ = true;
    call_.reject(kind);
}

// Called after the input that arrived was parsed as far as possible. Waits for
// more, or continues after a finished response.
void caller_connection::after_input_processed()
{
    if (closed_ || lingering_)
    {
        return;
    }
    if (response_done_)
    {
        continue_after_response();
        return;
    }
    if (header_done_ && !request_complete_ && !call_.wants_body())
    {
        update_timer();
        return;
    }
    // Pipelined requests that were already received wait in memory; further
    // ones stay in the socket.
    if (!request_complete_ || unread_input_.empty())
    {
        wait_readable();
    }
    update_timer();
}

// Prepares for the next request. Returns false if there will be none, or none
// until the response was sent completely.
bool caller_connection::prepare_next_request()
{
    if (!keep_alive_ || !request_complete_ || output_.unsent_bytes() > 0)
    {
        return false;
    }
    response_done_ = false;
    request_complete_ = false;
    header_done_ = false;
    header_started_ = false;
    last_activity_at_ = worker_.now();
    reader_.reset();
    return true;
}

void caller_connection::continue_after_response()
{
    if (closed_ || lingering_ || output_.unsent_bytes() > 0)
    {
        update_timer();
        return;
    }
    if (!keep_alive_ || !request_complete_)
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
    const auto request_due = last_activity_at_ + settings.request_timeout_;
    if (!call_.is_active())
    {
        return request_due;
    }
    const bool reads = !request_complete_ && call_.wants_body();
    return reads ? std::min(call_.due(), request_due) : call_.due();
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
    if (lingering_ || is_idle())
    {
        close();
        return;
    }
    if (call_.is_active() && worker_.now() >= call_.due())
    {
        call_.on_timeout();
        return;
    }
    const bool reads = !request_complete_ && !response_done_;
    if (!reads)
    {
        abort_connection(); // The caller does not read the response.
        return;
    }
    reject_request(error_kind::request_too_slow);
}

} // namespace anvilturn
