#ifndef AV_PEER_PEER_SERVER_HPP
#define AV_PEER_PEER_SERVER_HPP

// Only for the source files of this module: it includes KJ and generated code.

#include <av_peer/peer.capnp.h>
#include <av_peer/peer_counters.hpp>
#include <av_peer/peer_handlers.hpp>
#include <av_peer/peer_options.hpp>
#include <av_peer/peer_task_queue.hpp>

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>

namespace anvilturn
{

// Keeps the calls of peers that wait for a reply from another thread.
template <typename Value>
class pending_replies
{
public:
    using result = std::shared_ptr<absl::StatusOr<Value>>;

    // Returns a promise, and the functor that keeps it from any thread.
    std::pair<kj::Promise<result>, peer_handlers::reply<Value>>
    add(const std::shared_ptr<peer_task_queue>& task_queue);

    // Forgets the calls whose time limit passed.
    void remove_cancelled();

private:
    using fulfiller = kj::Own<kj::PromiseFulfiller<result>>;

    std::uint64_t last_id_ = 0;
    std::shared_ptr<std::map<std::uint64_t, fulfiller>> waiting_ =
        std::make_shared<std::map<std::uint64_t, fulfiller>>();
};

// Accepts peers' connections and serves their calls, on KJ's event loop.
class peer_server final : private kj::TaskSet::ErrorHandler
{
public:
    peer_server(kj::Timer& timer,
                const peer_options& options,
                const peer_handlers& handlers,
                const std::shared_ptr<peer_task_queue>& task_queue,
                peer_counters& counters);

    // Serves until the promise is dropped.
    kj::Promise<void> serve(kj::ConnectionReceiver& listener);

    // Returns whether a refusal may be logged now: one a second, so that a
    // flood of calls is no flood of log lines.
    bool may_log();

    // Used by the connections.
    kj::Timer& timer_;
    const peer_options& options_;
    const peer_handlers& handlers_;
    std::shared_ptr<peer_task_queue> task_queue_;
    peer_counters& counters_;
    pending_replies<peer_message> pending_exchanges_;
    pending_replies<peer_handlers::shared_document> pending_fetches_;

private:
    void accept(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception&& exception) override;

    std::size_t connections_ = 0;
    kj::TimePoint next_log_at_ = kj::origin<kj::TimePoint>();
    kj::TaskSet tasks_;
};

} // namespace anvilturn

#endif
