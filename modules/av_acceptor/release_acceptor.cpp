#include <av_acceptor/release_acceptor.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_net/duration.hpp>
#include <av_platform/platform_keys.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

absl::StatusOr<std::optional<release_head>>
to_release_head(const absl::StatusOr<std::optional<platform_object>>& object)
{
    if (!object.ok())
    {
        return object.status();
    }
    if (!*object)
    {
        return std::nullopt;
    }
    return release_head{(*object)->version_, (*object)->value_};
}

void log_result(const std::string& note_id, const finish_acceptance& result)
{
    log_event event(log_level::info, "release_note_settled");
    event.field("note", note_id).field("verdict", name_of(result.outcome_));
    if (result.outcome_ == acceptance_outcome::accepted)
    {
        event.field("version", result.version_);
    }
    else
    {
        event.field("error", result.status_);
    }
    event.write();
}

} // namespace

class release_acceptor::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   platform_client& client,
                   const release_acceptor_options& options,
                   version_source get_in_force)
        : context_(context)
        , client_(client)
        , options_(options)
        , get_in_force_(std::move(get_in_force))
    {
    }

    void accept(const release_note& note, callback done)
    {
        start_attempt(start_acceptance(note,
                                       get_in_force_(),
                                       options_.release_limits_,
                                       options_.acceptance_limits_,
                                       monotonic_now()),
                      std::move(done));
    }

    void settle(const std::string& note_id, callback done)
    {
        start_attempt(start_settlement(note_id,
                                       get_in_force_(),
                                       options_.release_limits_,
                                       options_.acceptance_limits_,
                                       monotonic_now()),
                      std::move(done));
    }

    std::size_t running_count() const
    {
        return running_count_;
    }

private:
    // One call of accept or settle in progress.
    struct attempt
    {
        explicit attempt(asio::io_context& context)
            : timer_(context)
        {
        }

        acceptance state_;
        callback done_;
        asio::steady_timer timer_;
    };

    using attempt_pointer = std::shared_ptr<attempt>;

    void start_attempt(acceptance_step step, callback done)
    {
        ++running_count_;
        const auto started = std::make_shared<attempt>(context_);
        started->done_ = std::move(done);
        perform(started, std::move(step));
    }

    void perform(const attempt_pointer& current, acceptance_step step)
    {
        current->state_ = std::move(step.state_);
        if (const auto* read = std::get_if<read_head>(&step.action_))
        {
            wait_and_read(current, read->delay_);
        }
        else if (const auto* write = std::get_if<write_head>(&step.action_))
        {
            put(current, *write);
        }
        else
        {
            finish(current, std::get<finish_acceptance>(step.action_));
        }
    }

    void wait_and_read(const attempt_pointer& current, milliseconds delay)
    {
        current->timer_.expires_after(to_duration(delay));
        current->timer_.async_wait(
            [weak = weak_from_this(), current](boost::system::error_code error)
            {
                const auto self = weak.lock();
                if (self && !error)
                {
                    self->get(current);
                }
            });
    }

    void get(const attempt_pointer& current)
    {
        client_.get(options_.key_,
                    [weak = weak_from_this(), current](
                        absl::StatusOr<std::optional<platform_object>> object)
                    {
                        if (const auto self = weak.lock())
                        {
                            self->on_event(current,
                                           head_read{to_release_head(object)});
                        }
                    });
    }

    void put(const attempt_pointer& current, const write_head& action)
    {
        client_.put(options_.key_,
                    action.text_,
                    action.expected_,
                    [weak = weak_from_this(),
                     current](absl::StatusOr<object_version> version)
                    {
                        if (const auto self = weak.lock())
                        {
                            self->on_event(current,
                                           head_written{std::move(version)});
                        }
                    });
    }

    void on_event(const attempt_pointer& current, const acceptance_event& event)
    {
        perform(current,
                step_acceptance(
                    std::move(current->state_), event, monotonic_now()));
    }

    void finish(const attempt_pointer& current, const finish_acceptance& result)
    {
        --running_count_;
        log_result(current->state_.note_id_, result);
        current->done_(result);
    }

    asio::io_context& context_;
    platform_client& client_;
    release_acceptor_options options_;
    version_source get_in_force_;
    std::size_t running_count_ = 0;
};

release_acceptor::release_acceptor(asio::io_context& context,
                                   platform_client& client,
                                   const release_acceptor_options& options,
                                   version_source get_in_force)
    : implementation_(std::make_shared<implementation>(
          context, client, options, std::move(get_in_force)))
{
}

release_acceptor::~release_acceptor() = default;

void release_acceptor::accept(const release_note& note, callback done)
{
    implementation_->accept(note, std::move(done));
}

void release_acceptor::settle(const std::string& note_id, callback done)
{
    implementation_->settle(note_id, std::move(done));
}

std::size_t release_acceptor::running_count() const
{
    return implementation_->running_count();
}

} // namespace anvilturn
