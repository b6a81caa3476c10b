#include <call_load/balancer.hpp>

#include <common/standin_program.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace anvilturn
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::milliseconds response_timeout{500};

// One readiness query to one VM; the queries to all VMs run concurrently.
class readiness_query : public std::enable_shared_from_this<readiness_query>
{
public:
    readiness_query(boost::asio::io_context& context, std::atomic<bool>& ready)
        : stream_(context)
        , ready_(ready)
    {
    }

    void send_query(const boost::asio::ip::tcp::endpoint& vm)
    {
        request_ = {http::verb::get, "/.anvilturn/ready", 11};
        request_.set(http::field::host, "balancer");
        request_.keep_alive(false);
        stream_.expires_after(response_timeout);
        stream_.async_connect(vm,
                              [self = shared_from_this()](auto error)
                              {
                                  self->ready_ = self->ready_ && !error;
                                  if (!error)
                                  {
                                      self->write();
                                  }
                              });
    }

private:
    void write()
    {
        http::async_write(stream_,
                          request_,
                          [self = shared_from_this()](auto, std::size_t)
                          {
                              self->read();
                          });
    }

    void read()
    {
        http::async_read(stream_,
                         buffer_,
                         response_,
                         [self = shared_from_this()](auto error, std::size_t)
                         {
                             self->ready_ =
                                 !error &&
                                 self->response_.result() == http::status::ok;
                         });
    }

    beast::tcp_stream stream_;
    std::atomic<bool>& ready_;
    beast::flat_buffer buffer_;
    http::request<http::empty_body> request_;
    http::response<http::string_body> response_;
};

} // namespace

balancer::balancer(std::vector<boost::asio::ip::tcp::endpoint> vms,
                   milliseconds interval)
    : vms_(std::move(vms))
    , interval_(interval)
    , ready_(vms_.size())
{
    query_all();
    thread_ = std::thread(
        [this]
        {
            while (!stopped_)
            {
                std::this_thread::sleep_for(to_duration(interval_));
                query_all();
            }
        });
}

balancer::~balancer()
{
    stopped_ = true;
    thread_.join();
}

std::size_t balancer::choose(std::uint32_t random_value) const noexcept
{
    const auto count = std::count(ready_.begin(), ready_.end(), true);
    if (count == 0)
    {
        return random_value % vms_.size();
    }
    auto skip = random_value % static_cast<std::uint32_t>(count);
    for (std::size_t i = 0; i < ready_.size(); ++i)
    {
        if (ready_[i] && skip-- == 0)
        {
            return i;
        }
    }
    // Readiness changed between the count and the selection.
    return random_value % vms_.size();
}

void balancer::query_all()
{
    boost::asio::io_context context(1);
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        std::make_shared<readiness_query>(context, ready_[i])
            ->send_query(vms_[i]);
    }
    context.run();
}

} // namespace anvilturn
