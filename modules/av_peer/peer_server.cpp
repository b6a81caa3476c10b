#include <av_peer/peer_server.hpp>

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_peer/counting_stream.hpp>
#include <av_peer/peer_codec.hpp>

#include <capnp/rpc-twoparty.h>

#include <optional>
#include <string>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr kj::Duration log_interval = 1 * kj::SECONDS;
constexpr kj::Duration accept_retry_delay = 100 * kj::MILLISECONDS;

// What one accepted connection has done; shared by its calls and its watchdog.
struct connection_activity
{
    bool had_valid_call_ = false;
    kj::TimePoint last_call_ = kj::origin<kj::TimePoint>();
};

kj::Duration to_duration(milliseconds time)
{
    return static_cast<std::int64_t>(time.count()) * kj::MILLISECONDS;
}

wire::Refusal refusal_of(const absl::Status& status)
{
    const auto kind = kind_of(status);
    if (kind == error_kind::peer_other_deployment)
    {
        return wire::Refusal::OTHER_DEPLOYMENT;
    }
    if (kind == error_kind::peer_malformed)
    {
        return wire::Refusal::MALFORMED;
    }
    return wire::Refusal::UNAVAILABLE;
}

// Serves the calls of one connection.
class connection_service final : public wire::Peer::Server
{
public:
    connection_service(peer_server& server,
                       std::shared_ptr<connection_activity> activity)
        : server_(server)
        , activity_(std::move(activity))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        auto message = read(context.getParams().getRequest());
        if (!message.ok())
        {
            context.getResults().setRefusal(refuse(message.status()));
            return kj::READY_NOW;
        }
        auto [promise, reply] =
            server_.pending_exchanges_.add(server_.task_queue_);
        server_.handlers_.on_exchange_(*std::move(message), std::move(reply));
        return with_timeout(kj::mv(promise))
            .then(
                [context](auto&& result) mutable
                {
                    auto results = context.getResults();
                    if (!result->ok())
                    {
                        results.setRefusal(refusal_of(result->status()));
                        return;
                    }
                    encode_message(**result, results.initReply());
                });
    }

    kj::Promise<void> pushNews(PushNewsContext context) override
    {
        auto message = read(context.getParams().getNews());
        if (!message.ok())
        {
            context.getResults().setRefusal(refuse(message.status()));
            return kj::READY_NOW;
        }
        server_.handlers_.on_pushed_update_(*std::move(message));
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchRelease(FetchReleaseContext context) override
    {
        const auto status =
            check_deployment(context.getParams().getDeployment());
        if (!status.ok())
        {
            context.getResults().setRefusal(refuse(status));
            return kj::READY_NOW;
        }
        record_call();
        auto [promise, reply] =
            server_.pending_fetches_.add(server_.task_queue_);
        server_.handlers_.on_fetch_(std::move(reply));
        return with_timeout(kj::mv(promise))
            .then(
                [context](auto&& result) mutable
                {
                    auto results = context.getResults();
                    if (!result->ok() || **result == nullptr)
                    {
                        results.setRefusal(wire::Refusal::UNAVAILABLE);
                        return;
                    }
                    encode_document(***result, results.initRelease());
                });
    }

private:
    template <typename Promise>
    Promise with_timeout(Promise promise)
    {
        return server_.timer_.timeoutAfter(
            to_duration(server_.options_.call_timeout_), kj::mv(promise));
    }

    absl::Status check_deployment(capnp::Text::Reader deployment) const
    {
        const std::string& own = server_.options_.deployment_;
        if (deployment == kj::StringPtr(own.c_str(), own.size()))
        {
            return absl::OkStatus();
        }
        return make_error(error_kind::peer_other_deployment,
                          "a VM of another deployment called");
    }

    absl::StatusOr<peer_message> read(wire::Exchange::Reader reader)
    {
        const auto status = check_deployment(reader.getDeployment());
        if (!status.ok())
        {
            return status;
        }
        auto message = decode_message(reader);
        if (message.ok())
        {
            record_call();
        }
        return message;
    }

    void record_call()
    {
        ++server_.counters_.calls_received_;
        activity_->had_valid_call_ = true;
        activity_->last_call_ = server_.timer_.now();
    }

    wire::Refusal refuse(const absl::Status& status)
    {
        ++server_.counters_.calls_refused_;
        if (server_.may_log())
        {
            log_event(log_level::warning, "peer_call_refused")
                .field("error", status)
                .field("refused", server_.counters_.calls_refused_.load())
                .write();
        }
        return refusal_of(status);
    }

    peer_server& server_;
    std::shared_ptr<connection_activity> activity_;
};

// One accepted connection. Members are destroyed in reverse order, the RPC
// system before its stream.
struct accepted_connection
{
    accepted_connection(kj::Own<kj::AsyncIoStream> stream,
                        peer_counters& counters,
                        wire::Peer::Client service,
                        const capnp::ReaderOptions& limits)
        : stream_(kj::mv(stream), counters)
        , network_(stream_, capnp::rpc::twoparty::Side::SERVER, limits)
        , rpc_(capnp::makeRpcServer(network_, kj::mv(service)))
    {
    }

    counting_stream stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

// Ends when the connection has been silent for too long.
kj::Promise<void> wait_until_idle(kj::Timer& timer,
                                  const peer_options& options,
                                  std::shared_ptr<connection_activity> activity)
{
    const auto limit =
        to_duration(activity->had_valid_call_ ? options.idle_timeout_
                                              : options.first_call_timeout_);
    const auto deadline = activity->last_call_ + limit;
    if (timer.now() >= deadline)
    {
        return kj::READY_NOW;
    }
    return timer.atTime(deadline).then(
        [&timer, &options, activity]
        {
            return wait_until_idle(timer, options, activity);
        });
}

} // namespace

template <typename Value>
std::pair<kj::Promise<typename pending_replies<Value>::result>,
          peer_handlers::reply<Value>>
pending_replies<Value>::add(const std::shared_ptr<peer_task_queue>& task_queue)
{
    remove_cancelled();
    auto pair = kj::newPromiseAndFulfiller<result>();
    const std::uint64_t id = ++last_id_;
    waiting_->emplace(id, kj::mv(pair.fulfiller));
    peer_handlers::reply<Value> reply =
        [id, task_queue, weak = std::weak_ptr(waiting_)](
            absl::StatusOr<Value> value)
    {
        auto shared = std::make_shared<absl::StatusOr<Value>>(std::move(value));
        task_queue->post(
            [id, weak, shared]
            {
                const auto waiting = weak.lock();
                if (waiting == nullptr || waiting->count(id) == 0)
                {
                    return;
                }
                waiting->at(id)->fulfill(result(shared));
                waiting->erase(id);
            });
    };
    return {kj::mv(pair.promise), std::move(reply)};
}

template <typename Value>
void pending_replies<Value>::remove_cancelled()
{
    for (auto entry = waiting_->begin(); entry != waiting_->end();)
    {
        entry = entry->second->isWaiting() ? std::next(entry)
                                           : waiting_->erase(entry);
    }
}

peer_server::peer_server(kj::Timer& timer,
                         const peer_options& options,
                         const peer_handlers& handlers,
                         const std::shared_ptr<peer_task_queue>& task_queue,
                         peer_counters& counters)
    : timer_(timer)
    , options_(options)
    , handlers_(handlers)
    , task_queue_(task_queue)
    , counters_(counters)
    , tasks_(*this)
{
}

kj::Promise<void> peer_server::serve(kj::ConnectionReceiver& listener)
{
    return listener.accept().then(
        [this, &listener](kj::Own<kj::AsyncIoStream> stream)
        {
            accept(kj::mv(stream));
            return serve(listener);
        },
        [this, &listener](kj::Exception&& exception)
        {
            // Such as too many open files: wait until some are closed.
            taskFailed(kj::mv(exception));
            return timer_.afterDelay(accept_retry_delay)
                .then(
                    [this, &listener]
                    {
                        return serve(listener);
                    });
        });
}

void peer_server::accept(kj::Own<kj::AsyncIoStream> stream)
{
    if (connections_ >= options_.connection_limit_)
    {
        ++counters_.connections_refused_;
        return;
    }
    ++connections_;
    auto activity = std::make_shared<connection_activity>();
    activity->last_call_ = timer_.now();
    capnp::ReaderOptions limits;
    limits.traversalLimitInWords =
        options_.message_limit_bytes_ / sizeof(capnp::word);
    auto connection = kj::heap<accepted_connection>(
        kj::mv(stream),
        counters_,
        kj::heap<connection_service>(*this, activity),
        limits);
    auto ended = connection->network_.onDisconnect().exclusiveJoin(
        wait_until_idle(timer_, options_, activity));
    auto count_end = kj::defer(
        [this, activity]
        {
            --connections_;
            counters_.connections_refused_ +=
                activity->had_valid_call_ ? 0U : 1U;
        });
    tasks_.add(ended.attach(kj::mv(connection), kj::mv(count_end)));
}

void peer_server::taskFailed(kj::Exception&& exception)
{
    if (may_log())
    {
        log_event(log_level::warning, "peer_connection_failed")
            .field("detail", exception.getDescription().cStr())
            .write();
    }
}

bool peer_server::may_log()
{
    const auto now = timer_.now();
    if (now < next_log_at_)
    {
        return false;
    }
    next_log_at_ = now + log_interval;
    return true;
}

} // namespace anvilturn
