#include <av_proxy/caller_exchange.hpp>

#include <av_proxy/caller_connection.hpp>
#include <av_proxy/worker.hpp>

#include <utility>

namespace anvilturn
{

caller_exchange::caller_exchange(worker& owner,
                                 caller_connection& connection,
                                 bool from_vm)
    : connection_(connection)
    , reader_(owner.core().settings_.limits_, owner.core().settings_.dialect_)
    , call_(owner, *this)
    , from_vm_(from_vm)
{
}

void caller_exchange::reset()
{
    reader_.reset();
    waiting_output_.clear();
    header_started_ = false;
    header_done_ = false;
    request_complete_ = false;
    held_ = false;
    response_done_ = false;
    keep_alive_ = true;
    aborted_ = false;
}

bool caller_exchange::read(std::string_view input,
                           std::size_t& used,
                           milliseconds now)
{
    const auto result = reader_.read(input.substr(used), call_.body());
    used += result.consumed_;
    switch (result.state_)
    {
    case read_state::in_header:
        header_started_ = true;
        return false;
    case read_state::failed:
        reject(result.error_);
        return response_done_;
    case read_state::in_body:
    case read_state::complete:
        break;
    }
    request_complete_ = result.state_ == read_state::complete;
    if (!std::exchange(header_done_, true))
    {
        arrived_at_ = now;
        held_ = !connection_.exchanges().may_begin(*this, reader_.head());
        if (!held_)
        {
            begin_call();
        }
    }
    else if (call_.is_active())
    {
        call_.on_request_body(request_complete_);
    }
    return result.consumed_ > 0 || response_done_;
}

void caller_exchange::begin_call()
{
    held_ = false;
    call_.begin(reader_.head(), from_vm_, request_complete_, arrived_at_);
    if (call_.is_active())
    {
        call_.on_request_body(request_complete_);
    }
}

void caller_exchange::reject(error_kind kind)
{
    header_done_ = true;
    call_.reject(kind);
}

void caller_exchange::become_first()
{
    if (aborted_)
    {
        connection_.abort_connection();
        return;
    }
    connection_.output().append(std::exchange(waiting_output_, {}));
    connection_.flush();
    if (held_)
    {
        begin_call();
    }
    else if (call_.is_active() && connection_.unsent_bytes() == 0)
    {
        call_.on_caller_output_drained();
    }
}

proxied_call& caller_exchange::call()
{
    return call_;
}

const proxied_call& caller_exchange::call() const
{
    return call_;
}

bool caller_exchange::is_unused() const
{
    return !header_started_ && !header_done_ && !call_.is_active();
}

bool caller_exchange::wants_input() const
{
    if (request_complete_ || response_done_ || held_)
    {
        return false;
    }
    return !header_done_ || call_.wants_body();
}

bool caller_exchange::is_complete() const
{
    return request_complete_;
}

bool caller_exchange::is_reading() const
{
    return !request_complete_ && !response_done_ && !held_;
}

bool caller_exchange::may_be_followed() const
{
    return request_complete_ && !held_ && !aborted_ &&
           reader_.head().keep_alive_ && (!response_done_ || keep_alive_);
}

bool caller_exchange::has_response() const
{
    return response_done_;
}

bool caller_exchange::ends_connection() const
{
    return response_done_ && (!keep_alive_ || !request_complete_);
}

std::size_t caller_exchange::buffered_bytes() const
{
    return waiting_output_.size() + call_.buffered_bytes();
}

std::string& caller_exchange::output()
{
    return connection_.exchanges().is_first(*this) ? connection_.output()
                                                   : waiting_output_;
}

void caller_exchange::flush()
{
    if (connection_.exchanges().is_first(*this))
    {
        connection_.flush();
    }
}

std::size_t caller_exchange::unsent_bytes() const
{
    return connection_.exchanges().is_first(*this) ? connection_.unsent_bytes()
                                                   : waiting_output_.size();
}

bool caller_exchange::is_last_request() const
{
    return connection_.exchanges().is_last(*this);
}

void caller_exchange::resume_reading()
{
    if (!request_complete_)
    {
        connection_.resume_reading();
    }
}

void caller_exchange::update_timer()
{
    connection_.update_timer();
}

void caller_exchange::finish_response(bool keep_alive)
{
    response_done_ = true;
    keep_alive_ = keep_alive;
    connection_.on_response_finished(*this);
}

void caller_exchange::abort_connection()
{
    if (connection_.exchanges().is_first(*this))
    {
        connection_.abort_connection();
        return;
    }
    // The earlier responses are complete or may become so.
    aborted_ = true;
    response_done_ = true;
}

std::shared_ptr<proxied_call> caller_exchange::share_call()
{
    return {connection_.shared_from_this(), &call_};
}

} // namespace anvilturn
