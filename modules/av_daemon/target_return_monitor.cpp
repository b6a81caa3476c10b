#include <av_daemon/target_return_monitor.hpp>

#include <av_core/log_event.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/http_exchange.hpp>
#include <av_routing/dispatcher_vm.hpp>
#include <av_routing/target_return.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <utility>

namespace anvilturn
{
namespace
{

namespace http = boost::beast::http;

constexpr milliseconds health_timeout{1000.0};
constexpr std::size_t health_body_limit = 4096;
constexpr auto draining_field = "Anvilturn-Draining";

// Returns whether this VM is the one that checks the target. That VM is chosen
// from the VMs in the target's failure domain or, if there are none, from those
// in this VM's failure domain.
bool is_assigned_to(const std::string& self_vm,
                    const target_spec& target,
                    const fleet_view& fleet)
{
    const auto* assigned_vm =
        dispatcher_vm(target.name_, target.failure_domain_, fleet);
    if (assigned_vm == nullptr)
    {
        assigned_vm =
            dispatcher_vm(target.name_, fleet.self_.failure_domain_, fleet);
    }
    return assigned_vm != nullptr && assigned_vm->name_ == self_vm;
}

bool is_healthy(const http_result& result)
{
    return result.outcome_ == http_outcome::answered &&
           result.http_response_.result() == http::status::ok &&
           result.http_response_.count(draining_field) == 0;
}

} // namespace

class target_return_monitor::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& context,
                   std::string self_vm,
                   std::function<milliseconds()> clock,
                   std::function<void(const target_notice&)> on_return)
        : context_(context)
        , self_vm_(std::move(self_vm))
        , clock_(std::move(clock))
        , on_return_(std::move(on_return))
    {
    }

    void check(const std::vector<target_spec>& marked_as_leaving,
               const fleet_view& fleet)
    {
        std::map<std::string, target_return> remaining;
        for (const auto& target : marked_as_leaving)
        {
            if (is_assigned_to(self_vm_, target, fleet))
            {
                remaining[target.name_] = return_states_[target.name_];
                send_query(target);
            }
        }
        return_states_ = std::move(remaining);
    }

private:
    void send_query(const target_spec& target)
    {
        const auto endpoint = parse_endpoint(target.address_);
        if (!endpoint)
        {
            return;
        }
        http_request request(http::verb::get, "/health", 11);
        request.set(http::field::host, target.address_);
        request.keep_alive(false);
        const auto exchange = std::make_shared<http_exchange>(
            std::make_unique<boost::beast::tcp_stream>(context_),
            std::move(request),
            health_body_limit);
        const std::weak_ptr<implementation> weak = weak_from_this();
        exchange->start(*endpoint,
                        health_timeout,
                        [weak, name = target.name_, sent_at = clock_()](
                            const http_result& result)
                        {
                            if (const auto self = weak.lock())
                            {
                                self->on_health(
                                    name, is_healthy(result), sent_at);
                            }
                        });
    }

    void on_health(const std::string& name, bool healthy, milliseconds sent_at)
    {
        const auto found = return_states_.find(name);
        if (found == return_states_.end())
        {
            return;
        }
        const auto now = clock_();
        found->second = after_health_check(found->second, healthy, sent_at);
        if (!has_returned(found->second, sent_at))
        {
            return;
        }
        return_states_.erase(found);
        log_event(log_level::info, "target_returned")
            .field("target", name)
            .write();
        target_notice notice;
        notice.kind_ = target_notice_kind::serving;
        notice.target_ = name;
        notice.age_ = now - sent_at;
        notice.source_vm_ = self_vm_;
        on_return_(notice);
    }

    boost::asio::io_context& context_;
    std::string self_vm_;
    std::function<milliseconds()> clock_;
    std::function<void(const target_notice&)> on_return_;
    std::map<std::string, target_return> return_states_;
};

target_return_monitor::target_return_monitor(
    boost::asio::io_context& context,
    const std::string& self_vm,
    std::function<milliseconds()> clock,
    std::function<void(const target_notice&)> on_return)
    : implementation_(std::make_shared<implementation>(
          context, self_vm, std::move(clock), std::move(on_return)))
{
}

target_return_monitor::~target_return_monitor() = default;

void target_return_monitor::check(
    const std::vector<target_spec>& marked_as_leaving, const fleet_view& fleet)
{
    implementation_->check(marked_as_leaving, fleet);
}

} // namespace anvilturn
