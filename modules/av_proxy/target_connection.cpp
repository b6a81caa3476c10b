#include <av_proxy/target_connection.hpp>

#include <av_core/log_event.hpp>
#include <av_net/endpoint.hpp>
#include <av_proxy/worker.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

// A target may repeat responses to earlier calls. More than this is a target
// that sends without end.
constexpr int max_skipped_responses = 16;
constexpr std::size_t max_skipped_bytes = std::size_t{4} * 1024 * 1024;

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr int misdirected_status = 421;

// Returns whether the target says that it has not run the request.
bool is_refusal(const response_head& head)
{
    return head.not_run_ || head.status_ == misdirected_status;
}

} // namespace

target_connection::target_connection(worker& owner,
                                     std::shared_ptr<target_pool> pool)
    : worker_(owner)
    , pool_(std::move(pool))
    , socket_(owner.context())
    , reader_(owner.core().settings_.limits_, owner.core().settings_.dialect_)
{
    ++pool_->open_;
    pool_->state_->connections_.fetch_add(1, std::memory_order_relaxed);
}

target_connection::~target_connection()
{
    close();
}

bool target_connection::is_usable()
{
    if (closed_ || !unread_input_.empty())
    {
        return false;
    }
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void target_connection::begin(attempt_observer& observer,
                              bool is_head_request,
                              std::string_view call_id)
{
    observer_ = &observer;
    call_id_.assign(call_id);
    is_head_request_ = is_head_request;
    skipping_response_ = false;
    skipped_responses_ = 0;
    skipped_bytes_ = 0;
    reader_.reset(is_head_request);
    output_.clear();
    header_delivered_ = false;
    any_bytes_sent_ = false;
    request_complete_ = false;
    paused_ = false;
    if (connected_)
    {
        observer_->on_connected();
        return;
    }
    connect();
}

void target_connection::set_observer(attempt_observer& observer)
{
    observer_ = &observer;
}

std::string& target_connection::output()
{
    return output_.bytes();
}

std::size_t target_connection::unsent_bytes() const
{
    return output_.unsent_bytes();
}

void target_connection::set_request_complete(bool complete)
{
    request_complete_ = complete;
}

void target_connection::flush()
{
    if (closed_ || write_wait_pending_)
    {
        return;
    }
    const auto self = shared_from_this();
    error_code error;
    const auto sent = output_.send(socket_, error);
    if (sent > 0 && !std::exchange(any_bytes_sent_, true) &&
        observer_ != nullptr)
    {
        observer_->on_bytes_sent();
    }
    if (error == asio::error::would_block)
    {
        wait_writable();
    }
    else if (error)
    {
        // A response may have arrived before the target closed: read it first.
        write_failed_ = true;
        output_.clear();
        request_complete_ = false;
        if (!any_bytes_sent_)
        {
            fail_attempt(error_kind::target_answer_lost);
        }
    }
}

void target_connection::pause()
{
    paused_ = true;
}

void target_connection::resume()
{
    if (std::exchange(paused_, false) && !closed_)
    {
        wait_readable();
    }
}

void target_connection::abandon()
{
    observer_ = nullptr;
    close();
}

void target_connection::discard_remaining_response()
{
    observer_ = nullptr;
    discarding_response_ = true;
}

milliseconds target_connection::became_idle_at() const
{
    return became_idle_at_;
}

void target_connection::return_to_pool(milliseconds now)
{
    became_idle_at_ = now;
    if (closed_ || pool_->withdrawn_)
    {
        close();
        return;
    }
    pool_->idle_.push_back(shared_from_this());
    wait_readable();
}

void target_connection::close()
{
    if (std::exchange(closed_, true))
    {
        return;
    }
    error_code ignored;
    socket_.close(ignored);
    --pool_->open_;
    pool_->state_->connections_.fetch_sub(1, std::memory_order_relaxed);
}

void target_connection::connect()
{
    const auto address = parse_endpoint(pool_->state_->address_);
    if (!address)
    {
        asio::post(worker_.context(),
                   [self = shared_from_this()]
                   {
                       self->fail_attempt(error_kind::target_unreachable);
                   });
        return;
    }
    socket_.async_connect(*address,
                          [self = shared_from_this()](const error_code& error)
                          {
                              self->on_connect(error);
                          });
}

void target_connection::on_connect(const error_code& error)
{
    if (closed_ || observer_ == nullptr)
    {
        return;
    }
    error_code setting;
    if (!error)
    {
        socket_.non_blocking(true, setting);
        socket_.set_option(tcp::no_delay(true), setting);
    }
    if (error || setting)
    {
        fail_attempt(error_kind::target_unreachable);
        return;
    }
    connected_ = true;
    wait_readable();
    observer_->on_connected();
}

void target_connection::wait_readable()
{
    if (read_wait_pending_ || closed_)
    {
        return;
    }
    read_wait_pending_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error)
                       {
                           self->on_readable(error);
                       });
}

void target_connection::wait_writable()
{
    write_wait_pending_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const error_code& error)
                       {
                           self->write_wait_pending_ = false;
                           if (error || self->closed_)
                           {
                               return;
                           }
                           self->flush();
                           if (self->observer_ != nullptr &&
                               self->output_.unsent_bytes() == 0)
                           {
                               self->observer_->on_output_drained();
                           }
                       });
}

void target_connection::on_readable(const error_code& wait_error)
{
    read_wait_pending_ = false;
    if (closed_ || wait_error || paused_)
    {
        return;
    }
    if (observer_ == nullptr && !discarding_response_)
    {
        // Idle: the target closed the connection or sent unexpected bytes.
        remove_from_pool();
        close();
        return;
    }
    auto& scratch = worker_.scratch();
    error_code error;
    const auto count = socket_.read_some(
        asio::buffer(scratch, worker_.response_buffer_limit()), error);
    if (error == asio::error::would_block)
    {
        wait_readable();
        return;
    }
    // A failed write takes the socket's error, and the end of a connection that
    // was reset then looks like an orderly one.
    const bool ended_in_order = error == asio::error::eof && !write_failed_;
    if (ended_in_order && header_delivered_ && !skipping_response_ &&
        reader_.finish())
    {
        end_response(false);
        return;
    }
    if (error)
    {
        fail_attempt(error_kind::target_answer_lost);
        return;
    }
    const std::string_view arrived(scratch.data(), count);
    if (unread_input_.empty())
    {
        process(arrived);
        return;
    }
    const auto all_input = std::move(unread_input_.append(arrived));
    unread_input_.clear();
    process(all_input);
}

void target_connection::process(std::string_view input)
{
    std::size_t used = 0;
    bool complete = false;
    while (!complete && !closed_ && used < input.size())
    {
        const auto consumed = read_message(input.substr(used), complete);
        used += consumed;
        if (consumed == 0)
        {
            break;
        }
    }
    if (closed_)
    {
        return;
    }
    if (complete)
    {
        end_response(used < input.size());
        return;
    }
    if (discarding_response_)
    {
        close();
        return;
    }
    unread_input_.assign(input.substr(used));
    if (observer_ != nullptr)
    {
        observer_->on_input_processed();
    }
    if (!paused_)
    {
        wait_readable();
    }
}

// Parses the next part of the response and passes it to the observer. Returns
// the number of bytes consumed.
std::size_t target_connection::read_message(std::string_view input,
                                            bool& complete)
{
    auto& body = worker_.body_buffer();
    body.clear();
    const auto result = reader_.read(input, body);
    if (result.state_ == read_state::failed)
    {
        fail_attempt(error_kind::target_answer_malformed);
        return 0;
    }
    if (result.state_ != read_state::in_header && !header_delivered_)
    {
        header_delivered_ = true;
        skipping_response_ = is_for_other_call();
        if (observer_ != nullptr && !skipping_response_)
        {
            observer_->on_response_head(reader_.head());
        }
    }
    if (!body.empty() && observer_ != nullptr && !skipping_response_ &&
        !closed_)
    {
        observer_->on_response_body(body);
    }
    if (skipping_response_)
    {
        skipped_bytes_ += result.consumed_;
        if (skipped_bytes_ > max_skipped_bytes)
        {
            fail_attempt(error_kind::target_answer_malformed);
            return 0;
        }
    }
    complete = result.state_ == read_state::complete;
    if (complete && skipping_response_)
    {
        complete = false;
        if (++skipped_responses_ > max_skipped_responses)
        {
            fail_attempt(error_kind::target_answer_malformed);
            return 0;
        }
        skip_response();
    }
    return result.consumed_;
}

// Returns whether the response belongs to another call, as when a target
// responds to an earlier call twice.
bool target_connection::is_for_other_call() const
{
    const auto& head = reader_.head();
    if (!worker_.core().settings_.dialect_.responses_repeat_call_id_)
    {
        return false;
    }
    if (!head.call_id_.empty())
    {
        return head.call_id_ != call_id_;
    }
    // It may be a late copy of the response to a load query, which has no id.
    // The response to a call lacks it only if the target refused the call.
    return served_load_query_ && !call_id_.empty() && !is_refusal(head);
}

// Returns whether a second copy of the response can be told from the response
// to the next call on this connection.
bool target_connection::is_late_copy_recognizable() const
{
    const auto& head = reader_.head();
    return !worker_.core().settings_.dialect_.responses_repeat_call_id_ ||
           !head.call_id_.empty() || (call_id_.empty() && !is_refusal(head));
}

// Skips a response to another call and prepares to read the next one.
void target_connection::skip_response()
{
    log_event(log_level::info, "stray_answer_dropped")
        .field("call", call_id_)
        .field("stray_call", reader_.head().call_id_)
        .field("target", pool_->state_->name_)
        .write();
    skipping_response_ = false;
    header_delivered_ = false;
    reader_.reset(is_head_request_);
}

void target_connection::end_response(bool has_surplus_input)
{
    const bool reusable = !has_surplus_input && request_complete_ &&
                          output_.unsent_bytes() == 0 &&
                          reader_.head().keep_alive_ &&
                          is_late_copy_recognizable();
    served_load_query_ = served_load_query_ || call_id_.empty();
    auto* const observer = std::exchange(observer_, nullptr);
    if (observer != nullptr)
    {
        observer->on_response_complete(reusable);
        return;
    }
    discarding_response_ = false;
    if (reusable)
    {
        return_to_pool(worker_.now());
    }
    else
    {
        close();
    }
}

void target_connection::fail_attempt(error_kind kind)
{
    auto* const observer = std::exchange(observer_, nullptr);
    close();
    if (observer != nullptr)
    {
        observer->on_attempt_failed(kind);
    }
}

void target_connection::remove_from_pool()
{
    auto& idle = pool_->idle_;
    idle.erase(std::remove(idle.begin(), idle.end(), shared_from_this()),
               idle.end());
}

} // namespace anvilturn
