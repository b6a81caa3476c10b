#include <av_peer/peer_endpoint.hpp>

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_peer/peer_address.hpp>
#include <av_peer/peer_clients.hpp>
#include <av_peer/peer_counters.hpp>
#include <av_peer/peer_server.hpp>
#include <av_peer/peer_task_queue.hpp>

#include <kj/async-io.h>
#include <kj/exception.h>

#include <ctime>
#include <future>
#include <thread>
#include <utility>

#include <pthread.h>

namespace anvilturn
{
namespace
{

// Sends KJ's own messages to the log. Traces are off, since KJ would start a
// process to write one.
class logging_exception_callback final : public kj::ExceptionCallback
{
public:
    void logMessage(kj::LogSeverity severity,
                    const char* file,
                    int line,
                    int context_depth,
                    kj::String&& text) override
    {
        static_cast<void>(file);
        static_cast<void>(line);
        static_cast<void>(context_depth);
        const bool is_error = severity >= kj::LogSeverity::ERROR;
        log_event(is_error ? log_level::warning : log_level::debug,
                  "peer_rpc_message")
            .field("detail", text.cStr())
            .write();
    }

    StackTraceMode stackTraceMode() override
    {
        return StackTraceMode::NONE;
    }
};

std::string with_port(const std::string& address, unsigned port)
{
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

} // namespace

class peer_endpoint::implementation
{
public:
    implementation(const peer_options& options, peer_handlers handlers)
        : options_(options)
        , handlers_(std::move(handlers))
    {
    }

    ~implementation()
    {
        if (thread_.joinable())
        {
            task_queue_->post(
                [this]
                {
                    stopped_ = true;
                });
            thread_.join();
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start()
    {
        std::promise<absl::Status> opened;
        auto result = opened.get_future();
        thread_ = std::thread(
            [this, &opened]
            {
                run(opened);
            });
        return result.get();
    }

    // Runs the work on the endpoint's thread.
    template <typename Work>
    void post(Work work)
    {
        task_queue_->post(
            [this, work = std::move(work)]
            {
                if (clients_ != nullptr)
                {
                    work(*clients_);
                }
            });
    }

    milliseconds cpu_time()
    {
        clockid_t clock{};
        timespec time{};
        if (pthread_getcpuclockid(thread_.native_handle(), &clock) != 0 ||
            clock_gettime(clock, &time) != 0)
        {
            return milliseconds();
        }
        return milliseconds(static_cast<double>(time.tv_sec) * 1e3 +
                            static_cast<double>(time.tv_nsec) / 1e6);
    }

    std::string address_;
    peer_counters counters_;

private:
    void run(std::promise<absl::Status>& opened)
    {
        const logging_exception_callback callback;
        bool is_open = false;
        try
        {
            auto io = kj::setupAsyncIo();
            auto listener = listen(io);
            if (!listener.ok())
            {
                opened.set_value(listener.status());
                return;
            }
            is_open = true;
            opened.set_value(absl::OkStatus());
            serve(io, **listener);
        }
        catch (const kj::Exception& exception)
        {
            auto status =
                make_error(error_kind::settings_invalid,
                           "peer address " + options_.listen_address_ + ": " +
                               exception.getDescription().cStr());
            if (is_open)
            {
                log_event(log_level::error, "peer_endpoint_stopped")
                    .field("error", status)
                    .write();
                return;
            }
            opened.set_value(status);
        }
    }

    absl::StatusOr<kj::Own<kj::ConnectionReceiver>>
    listen(kj::AsyncIoContext& io)
    {
        auto address = parse_peer_address(io.provider->getNetwork(),
                                          options_.listen_address_);
        if (!address.ok())
        {
            return make_error(error_kind::settings_invalid,
                              address.status().message().data());
        }
        auto listener = (*address)->listen();
        address_ = with_port(options_.listen_address_, listener->getPort());
        return listener;
    }

    void serve(kj::AsyncIoContext& io, kj::ConnectionReceiver& listener)
    {
        auto& timer = io.provider->getTimer();
        peer_server server(timer, options_, handlers_, task_queue_, counters_);
        peer_clients clients(
            timer, io.provider->getNetwork(), options_, counters_);
        clients_ = &clients;
        auto wake = io.lowLevelProvider->wrapInputFd(task_queue_->descriptor());
        auto accepting = server.serve(listener).eagerlyEvaluate(nullptr);
        std::uint64_t count = 0;
        while (!stopped_)
        {
            wake->read(&count, sizeof count, sizeof count).wait(io.waitScope);
            for (const auto& work : task_queue_->take())
            {
                work();
            }
        }
        clients_ = nullptr;
    }

    peer_options options_;
    peer_handlers handlers_;
    std::shared_ptr<peer_task_queue> task_queue_ =
        std::make_shared<peer_task_queue>();
    // Of the endpoint's thread only.
    peer_clients* clients_ = nullptr;
    bool stopped_ = false;
    std::thread thread_;
};

absl::StatusOr<std::unique_ptr<peer_endpoint>>
peer_endpoint::open(const peer_options& options, peer_handlers handlers)
{
    auto impl = std::make_unique<implementation>(options, std::move(handlers));
    const auto status = impl->start();
    if (!status.ok())
    {
        return status;
    }
    return std::unique_ptr<peer_endpoint>(new peer_endpoint(std::move(impl)));
}

peer_endpoint::peer_endpoint(std::unique_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

peer_endpoint::~peer_endpoint() = default;

const std::string& peer_endpoint::address() const noexcept
{
    return implementation_->address_;
}

void peer_endpoint::exchange(const std::string& address,
                             peer_message message,
                             callback<peer_message> done)
{
    implementation_->post(
        [address, message = std::move(message), done = std::move(done)](
            peer_clients& clients)
        {
            clients.exchange(address, message, done);
        });
}

void peer_endpoint::push_update(const std::string& address,
                                peer_message message,
                                std::function<void(absl::Status)> done)
{
    implementation_->post(
        [address, message = std::move(message), done = std::move(done)](
            peer_clients& clients)
        {
            clients.push_update(address, message, done);
        });
}

void peer_endpoint::fetch_release(const std::string& address,
                                  release_version version,
                                  callback<release_document> done)
{
    implementation_->post(
        [address, version, done = std::move(done)](peer_clients& clients)
        {
            clients.fetch_release(address, version, done);
        });
}

peer_traffic peer_endpoint::traffic() const
{
    const peer_counters& counters = implementation_->counters_;
    peer_traffic traffic;
    traffic.bytes_sent_ = counters.bytes_sent_;
    traffic.bytes_received_ = counters.bytes_received_;
    traffic.calls_sent_ = counters.calls_sent_;
    traffic.calls_received_ = counters.calls_received_;
    traffic.calls_failed_ = counters.calls_failed_;
    traffic.calls_refused_ = counters.calls_refused_;
    traffic.connections_refused_ = counters.connections_refused_;
    traffic.cpu_time_ = implementation_->cpu_time();
    return traffic;
}

} // namespace anvilturn
