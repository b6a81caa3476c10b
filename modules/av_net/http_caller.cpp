#include <av_net/http_caller.hpp>

#include <av_net/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr std::size_t idle_connection_limit = 4;

} // namespace

// Owns the idle connections and the exchanges in progress.
class http_caller::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   std::string address,
                   std::size_t body_limit)
        : context_(context)
        , address_(std::move(address))
        , endpoint_(parse_endpoint(address_))
        , body_limit_(body_limit)
    {
    }

    void stop()
    {
        for (const auto& entry : running_exchanges_)
        {
            entry.second->abandon();
        }
        running_exchanges_.clear();
        idle_connections_.clear();
    }

    void call(http_request request, milliseconds timeout, http_callback done)
    {
        if (!endpoint_)
        {
            fail_later(std::move(done));
            return;
        }
        request.set(beast::http::field::host, address_);
        const auto started = std::make_shared<http_exchange>(
            reuse_or_open_connection(), std::move(request), body_limit_);
        running_exchanges_[started.get()] = started;
        started->start(*endpoint_,
                       timeout,
                       [weak = weak_from_this(),
                        key = started.get(),
                        done = std::move(done)](http_result result)
                       {
                           if (const auto self = weak.lock())
                           {
                               self->finish(key, result.outcome_);
                               done(std::move(result));
                           }
                       });
    }

    std::uint64_t connections() const
    {
        return opened_connections_.load(std::memory_order_relaxed);
    }

private:
    void fail_later(http_callback done)
    {
        http_result result;
        result.outcome_ = http_outcome::not_connected;
        result.detail_ =
            "the address '" + address_ + "' is not an IP address and port";
        asio::post(context_,
                   [weak = weak_from_this(), result, done = std::move(done)]
                   {
                       if (weak.lock())
                       {
                           done(result);
                       }
                   });
    }

    // After a call without a response, the other connections may be dead too,
    // and each would take the time limit of a call to show it.
    void finish(http_exchange* key, http_outcome outcome)
    {
        const auto finished = running_exchanges_.extract(key);
        if (outcome != http_outcome::answered)
        {
            idle_connections_.clear();
        }
        auto stream = finished.mapped()->take_stream();
        if (stream && idle_connections_.size() < idle_connection_limit)
        {
            idle_connections_.push_back(std::move(stream));
        }
    }

    std::unique_ptr<beast::tcp_stream> reuse_or_open_connection()
    {
        while (!idle_connections_.empty())
        {
            auto stream = std::move(idle_connections_.back());
            idle_connections_.pop_back();
            if (is_idle(*stream))
            {
                return stream;
            }
        }
        opened_connections_.fetch_add(1, std::memory_order_relaxed);
        return std::make_unique<beast::tcp_stream>(context_);
    }

    asio::io_context& context_;
    const std::string address_;
    const std::optional<tcp::endpoint> endpoint_;
    const std::size_t body_limit_;
    std::map<http_exchange*, std::shared_ptr<http_exchange>> running_exchanges_;
    std::vector<std::unique_ptr<beast::tcp_stream>> idle_connections_;
    std::atomic<std::uint64_t> opened_connections_{0};
};

http_caller::http_caller(asio::io_context& context,
                         std::string address,
                         std::size_t body_limit)
    : implementation_(std::make_shared<implementation>(
          context, std::move(address), body_limit))
{
}

http_caller::~http_caller()
{
    implementation_->stop();
}

void http_caller::call(http_request request,
                       milliseconds timeout,
                       http_callback done)
{
    implementation_->call(std::move(request), timeout, std::move(done));
}

std::uint64_t http_caller::connections() const
{
    return implementation_->connections();
}

} // namespace anvilturn
