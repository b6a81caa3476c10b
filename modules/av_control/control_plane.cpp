#include <av_control/control_plane.hpp>

#include <av_control/control_worker.hpp>
#include <av_core/error.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_net/event_loop.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cassert>
#include <future>
#include <random>
#include <thread>
#include <utility>

namespace anvilturn
{
namespace
{

// A later start gets a greater incarnation unless its clock is behind; then the
// VM raises its incarnation itself. The random low bits distinguish VMs that
// start at the same time.
std::uint64_t make_incarnation()
{
    constexpr unsigned random_bits = 20;
    std::random_device device;
    const std::uint64_t random = device() & ((1U << random_bits) - 1);
    const auto now = static_cast<std::uint64_t>(wall_clock_now().count());
    return (now << random_bits) | random;
}

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

} // namespace

class control_plane::implementation
{
public:
    implementation(control_options options, control_handlers handlers)
        : options_(std::move(options))
        , handlers_(std::move(handlers))
    {
        if (options_.self_.incarnation_ == 0)
        {
            options_.self_.incarnation_ = make_incarnation();
        }
    }

    ~implementation()
    {
        context_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
        // Both refer to the context, so they are destroyed before it.
        endpoint_.reset();
        worker_.reset();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start()
    {
        peer_options peer = options_.peer_;
        peer.deployment_ = options_.deployment_;
        if (peer.listen_address_.empty())
        {
            peer.listen_address_ = options_.self_.peer_address_;
        }
        auto endpoint = peer_endpoint::open(peer, make_peer_handlers());
        if (!endpoint.ok())
        {
            return endpoint.status();
        }
        endpoint_ = *std::move(endpoint);
        auto& address = options_.self_.peer_address_;
        if (port_of(address) == "0")
        {
            address = host_of(address) + ":" + port_of(endpoint_->address());
        }
        self_ = options_.self_;
        worker_ = std::make_unique<control_worker>(
            context_, std::move(options_), std::move(handlers_));
        boost::asio::post(context_,
                          [this]
                          {
                              started_ = true;
                              worker_->start(*endpoint_);
                          });
        thread_ = std::thread(
            [this]
            {
                run_event_loop(context_, "control");
            });
        return absl::OkStatus();
    }

    // Runs the work on the control thread.
    template <typename Work>
    void post(Work work)
    {
        boost::asio::post(context_,
                          [this, work = std::move(work)]() mutable
                          {
                              if (started_)
                              {
                                  work(*worker_);
                              }
                          });
    }

    vm_description self_;
    std::unique_ptr<control_worker> worker_;

private:
    peer_handlers make_peer_handlers()
    {
        peer_handlers handlers;
        handlers.on_exchange_ = [this](peer_message request,
                                       peer_handlers::reply<peer_message> reply)
        {
            post(
                [request = std::move(request),
                 reply = std::move(reply)](control_worker& worker)
                {
                    reply(worker.on_exchange(request));
                });
        };
        handlers.on_pushed_update_ = [this](peer_message update)
        {
            post(
                [update = std::move(update)](control_worker& worker)
                {
                    worker.on_update(update);
                });
        };
        handlers.on_fetch_ =
            [this](peer_handlers::reply<peer_handlers::shared_document> reply)
        {
            post(
                [reply = std::move(reply)](control_worker& worker)
                {
                    reply(worker.document());
                });
        };
        return handlers;
    }

    control_options options_;
    control_handlers handlers_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_{context_.get_executor()};
    // Used on the control thread only.
    bool started_ = false;
    std::unique_ptr<peer_endpoint> endpoint_;
    std::thread thread_;
};

absl::StatusOr<std::unique_ptr<control_plane>>
control_plane::start(control_options options, control_handlers handlers)
{
    assert(options.decode_);
    auto impl = std::make_unique<implementation>(std::move(options),
                                                 std::move(handlers));
    const auto status = impl->start();
    if (!status.ok())
    {
        return status;
    }
    return std::unique_ptr<control_plane>(new control_plane(std::move(impl)));
}

control_plane::control_plane(std::unique_ptr<implementation> impl)
    : implementation_(std::move(impl))
{
}

control_plane::~control_plane() = default;

const vm_description& control_plane::self() const noexcept
{
    return implementation_->self_;
}

void control_plane::report(target_notice notice)
{
    implementation_->post(
        [notice = std::move(notice)](control_worker& worker) mutable
        {
            worker.report(std::move(notice));
        });
}

void control_plane::submit_release(release_document document)
{
    implementation_->post(
        [document = std::move(document)](control_worker& worker) mutable
        {
            worker.submit_release(std::move(document));
        });
}

void control_plane::begin_leave(std::function<void()> on_done)
{
    implementation_->post(
        [on_done = std::move(on_done)](control_worker& worker)
        {
            worker.begin_leave(on_done);
        });
}

milliseconds control_plane::last_contact() const noexcept
{
    return implementation_->worker_->last_contact();
}

milliseconds control_plane::current_at() const noexcept
{
    return implementation_->worker_->current_at();
}

control_state control_plane::read_state() const
{
    std::promise<control_state> promise;
    auto result = promise.get_future();
    implementation_->post(
        [&promise](control_worker& worker)
        {
            promise.set_value(worker.read_state());
        });
    return result.get();
}

} // namespace anvilturn
