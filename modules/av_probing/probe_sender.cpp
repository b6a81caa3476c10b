#include <av_probing/probe_sender.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_http/response_head.hpp>
#include <av_net/av_net.hpp>
#include <av_probing/probe_permission.hpp>
#include <av_probing/shard_assignment.hpp>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <utility>

namespace anvilturn
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr milliseconds check_interval(20.0);
constexpr milliseconds connect_timeout(500.0);
constexpr milliseconds probe_timeout(2000.0);
constexpr std::size_t probe_body_limit = 4096;

clock_reading read_clocks()
{
    return {monotonic_now(), wall_clock_now()};
}

http_request make_request(const probe_target& target)
{
    http_request request(http::verb::get, "/probe", 11);
    request.set(http::field::host, target.address_);
    return request;
}

} // namespace

class probe_sender::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& context,
                   std::string self_vm,
                   probe_sender_handlers handlers)
        : context_(context)
        , timer_(context)
        , self_vm_(std::move(self_vm))
        , handlers_(std::move(handlers))
        , last_reading_(read_clocks())
    {
    }

    void run()
    {
        if (is_closed_)
        {
            return;
        }
        check_clocks();
        for (auto& entry : probed_targets_)
        {
            if (!entry.second.is_busy_ && is_allowed(entry.second))
            {
                start_probe(entry.first, entry.second);
            }
        }
        timer_.expires_after(to_duration(check_interval));
        timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error)
                {
                    self->run();
                }
            });
    }

    void close()
    {
        is_closed_ = true;
        timer_.cancel();
        for (auto& entry : probed_targets_)
        {
            if (entry.second.exchange_)
            {
                entry.second.exchange_->abandon();
            }
            entry.second.stream_.reset();
        }
    }

    void set_targets(const std::vector<probe_target>& targets)
    {
        for (auto& entry : probed_targets_)
        {
            entry.second.target_.probes_per_second_ = 0.0;
        }
        for (const auto& target : targets)
        {
            auto& probed = probed_targets_[target.name_];
            if (probed.target_.address_ != target.address_)
            {
                probed.stream_.reset();
            }
            probed.target_ = target;
            probed.shard_ = shard_of_target(target.name_);
        }
    }

    void set_leases(const probe_lease_state& leases)
    {
        lease_state_ = leases;
    }

    std::uint64_t sent() const
    {
        return sent_;
    }

private:
    struct probed_target
    {
        probe_target target_;
        std::size_t shard_ = 0;
        std::optional<milliseconds> last_sent_at_;
        bool is_busy_ = false;
        std::unique_ptr<beast::tcp_stream> stream_;
        std::shared_ptr<http_exchange> exchange_;
    };

    // A pause between two readings shows as a difference between the clocks.
    void check_clocks()
    {
        const auto reading = read_clocks();
        const bool agree = clocks_agree(last_reading_, reading);
        last_reading_ = reading;
        if (!agree)
        {
            lease_state_ = after_leases_dropped(lease_state_);
            handlers_.on_clock_mismatch_();
        }
    }

    bool is_allowed(const probed_target& probed) const
    {
        const probe_check_input input{probed.shard_,
                                      probed.last_sent_at_,
                                      probed.target_.probes_per_second_};
        return may_probe_now(lease_state_, input, last_reading_.monotonic_);
    }

    void start_probe(const std::string& name, probed_target& probed)
    {
        const auto endpoint = parse_endpoint(probed.target_.address_);
        if (!endpoint)
        {
            return;
        }
        probed.is_busy_ = true;
        if (probed.stream_ && is_idle(*probed.stream_))
        {
            send(name, *endpoint);
            return;
        }
        probed.stream_ = std::make_unique<beast::tcp_stream>(context_);
        probed.stream_->expires_after(to_duration(connect_timeout));
        probed.stream_->async_connect(
            *endpoint,
            [self = shared_from_this(), name, endpoint](
                boost::system::error_code error)
            {
                self->on_connected(name, *endpoint, error);
            });
    }

    void on_connected(const std::string& name,
                      const boost::asio::ip::tcp::endpoint& endpoint,
                      boost::system::error_code error)
    {
        if (is_closed_)
        {
            return;
        }
        auto& probed = probed_targets_.at(name);
        if (error || !probed.stream_)
        {
            probed.stream_.reset();
            probed.is_busy_ = false;
            return;
        }
        send(name, endpoint);
    }

    // The permission check in here is the decisive one: only the write to the
    // connection follows it.
    void send(const std::string& name,
              const boost::asio::ip::tcp::endpoint& endpoint)
    {
        auto& probed = probed_targets_.at(name);
        probed.exchange_ =
            std::make_shared<http_exchange>(std::move(probed.stream_),
                                            make_request(probed.target_),
                                            probe_body_limit);
        check_clocks();
        if (!is_allowed(probed))
        {
            probed.exchange_.reset();
            probed.is_busy_ = false;
            return;
        }
        probed.last_sent_at_ = last_reading_.monotonic_;
        ++sent_;
        probed.exchange_->start(
            endpoint,
            probe_timeout,
            [weak = weak_from_this(), name](const http_result& result)
            {
                if (const auto self = weak.lock())
                {
                    self->on_response(name, result);
                }
            });
    }

    void on_response(const std::string& name, const http_result& result)
    {
        if (is_closed_)
        {
            return;
        }
        auto& probed = probed_targets_.at(name);
        probed.is_busy_ = false;
        probed.stream_ = probed.exchange_->take_stream();
        probed.exchange_.reset();
        if (result.outcome_ != http_outcome::answered)
        {
            return;
        }
        const auto& response = result.http_response_;
        const auto load = parse_load(std::string(response["Anvilturn-Load"]));
        if (response.result() != http::status::ok || !load)
        {
            return;
        }
        target_notice notice;
        notice.kind_ = target_notice_kind::probed;
        notice.target_ = name;
        notice.load_ = *load;
        notice.load_.draining_ = response["Anvilturn-Draining"] == "1";
        notice.source_vm_ = self_vm_;
        handlers_.on_result_(notice);
    }

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    std::string self_vm_;
    probe_sender_handlers handlers_;
    clock_reading last_reading_;
    probe_lease_state lease_state_;
    std::map<std::string, probed_target> probed_targets_;
    std::uint64_t sent_ = 0;
    bool is_closed_ = false;
};

probe_sender::probe_sender(boost::asio::io_context& context,
                           std::string self_vm,
                           probe_sender_handlers handlers)
    : implementation_(std::make_shared<implementation>(
          context, std::move(self_vm), std::move(handlers)))
{
    implementation_->run();
}

probe_sender::~probe_sender()
{
    implementation_->close();
}

void probe_sender::set_targets(const std::vector<probe_target>& targets)
{
    implementation_->set_targets(targets);
}

void probe_sender::set_leases(const probe_lease_state& leases)
{
    implementation_->set_leases(leases);
}

std::uint64_t probe_sender::sent() const
{
    return implementation_->sent();
}

} // namespace anvilturn
