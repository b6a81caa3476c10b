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
constexpr milliseconds never{1e15};
constexpr std::size_t linger_limit_bytes = 4 * 1024 * 1024;
// Requests of one connection whose calls may run at once.
constexpr std::size_t max_exchanges = 4;
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
    , from_vm_(from_vm)
    , last_activity_at_(owner.now())
{
    add_exchange();
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
    return exchanges_.size() == 1 && exchanges_.front()->is_unused() &&
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
    for (const auto& exchange : exchanges_)
    {
        exchange->call().on_caller_disconnected();
    }
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

bool caller_connection::is_first(const caller_exchange& exchange) const
{
    return exchanges_.front().get() == &exchange;
}

bool caller_connection::is_last(const caller_exchange& exchange) const
{
    return exchanges_.back().get() == &exchange;
}

bool caller_connection::may_begin(const caller_exchange& exchange,
                                  const request_head& head) const
{
    if (is_first(exchange))
    {
        return true;
    }
    const auto* rule = worker_.table()->rules_->match(head);
    return rule != nullptr && rule->idempotent_;
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
    if (closed_ || lingering_ || !is_first(exchange))
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
    auto& first = *exchanges_.front();
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
    if (!exchanges_.back()->wants_input() && !may_read_ahead())
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
    std::size_t used = 0;
    while (!closed_)
    {
        if (exchanges_.front()->has_response() && !finish_first())
        {
            break;
        }
        auto* exchange = used < input.size() ? exchange_to_read() : nullptr;
        const bool may_continue =
            exchange != nullptr &&
            exchange->read(input, used, input_arrived_at_);
        if (!may_continue && !exchanges_.front()->has_response())
        {
            break;
        }
    }
    processing_ = false;
    return used;
}

// Returns the exchange that the next input belongs to; null if the input can't
// be used yet.
caller_exchange* caller_connection::exchange_to_read()
{
    if (exchanges_.back()->is_complete())
    {
        if (!may_add_exchange())
        {
            return nullptr;
        }
        add_exchange();
    }
    auto* last = exchanges_.back().get();
    return last->wants_input() ? last : nullptr;
}

bool caller_connection::may_add_exchange() const
{
    const auto& core = worker_.core();
    const bool may_follow = exchanges_.size() < max_exchanges &&
                            exchanges_.back()->may_be_followed() &&
                            !core.draining_.load();
    if (!may_follow)
    {
        return false;
    }
    std::size_t buffered = output_.unsent_bytes();
    for (const auto& exchange : exchanges_)
    {
        buffered += exchange->buffered_bytes();
    }
    return buffered <= core.settings_.relay_buffer_bytes_;
}

void caller_connection::add_exchange()
{
    if (spare_exchanges_.empty())
    {
        exchanges_.push_back(
            std::make_unique<caller_exchange>(worker_, *this, from_vm_));
        return;
    }
    exchanges_.push_back(std::move(spare_exchanges_.back()));
    spare_exchanges_.pop_back();
    exchanges_.back()->reset();
}

// Returns whether input is read although it can't be parsed yet.
bool caller_connection::may_read_ahead() const
{
    return !exchanges_.back()->is_reading() &&
           unread_input_.size() < max_read_ahead_bytes;
}

// Called after the input that arrived was parsed as far as possible. Waits for
// more, or continues after a finished response.
void caller_connection::after_input_processed()
{
    if (closed_ || lingering_)
    {
        return;
    }
    if (exchanges_.front()->has_response())
    {
        continue_after_response();
        return;
    }
    if (exchanges_.back()->wants_input() || may_read_ahead())
    {
        wait_readable();
    }
    update_timer();
}

// Ends the first exchange and continues with the next one. Returns false if the
// connection ends, or if the response was not sent completely yet.
bool caller_connection::finish_first()
{
    if (exchanges_.front()->ends_connection() || output_.unsent_bytes() > 0)
    {
        return false;
    }
    last_activity_at_ = worker_.now();
    if (exchanges_.size() == 1)
    {
        exchanges_.front()->reset();
        return true;
    }
    spare_exchanges_.push_back(std::move(exchanges_.front()));
    exchanges_.pop_front();
    exchanges_.front()->become_first();
    return true;
}

void caller_connection::continue_after_response()
{
    if (closed_ || lingering_ || output_.unsent_bytes() > 0)
    {
        update_timer();
        return;
    }
    if (exchanges_.front()->ends_connection())
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
    // The caller takes later requests for unread.
    for (const auto& exchange : exchanges_)
    {
        exchange->call().on_caller_disconnected();
    }
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
    const auto& last = *exchanges_.back();
    const bool awaits_caller =
        last.wants_input() || !exchanges_.front()->call().is_active();
    auto result = awaits_caller ? request_due() : never;
    for (const auto& exchange : exchanges_)
    {
        const auto& call = exchange->call();
        result = call.is_active() ? std::min(result, call.due()) : result;
    }
    return result;
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
    if (lingering_ || is_idle())
    {
        close();
        return;
    }
    const auto now = worker_.now();
    for (const auto& exchange : exchanges_)
    {
        auto& call = exchange->call();
        if (call.is_active() && now >= call.due())
        {
            call.on_timeout(); // May change exchanges_.
            return;
        }
    }
    auto& last = *exchanges_.back();
    if (!last.is_reading())
    {
        abort_connection(); // The caller does not read the response.
        return;
    }
    last.reject(error_kind::request_too_slow);
}

} // namespace anvilturn
