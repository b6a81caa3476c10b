#include <relay_bench/closed_loop.hpp>

#include <av_core/monotonic_clock.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

const std::string response_body(128, 'k');
const std::string response_text =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    "Anvilturn-Load: busy=1, queued=0, slots=6\r\n"
    "Content-Length: 128\r\n\r\n" +
    response_body;
const std::string request_text =
    "GET /kits/availability?day=2026-12-04 HTTP/1.1\r\n"
    "Host: kits.example\r\nAccept: application/json\r\n"
    "User-Agent: bench\r\nAuthorization: Bearer 0123456789abcdef\r\n\r\n";

class instant_session : public std::enable_shared_from_this<instant_session>
{
public:
    explicit instant_session(tcp::socket socket)
        : socket_(std::move(socket))
    {
        socket_.set_option(tcp::no_delay(true));
    }

    void serve()
    {
        asio::async_read_until(
            socket_,
            asio::dynamic_buffer(input_buffer_),
            "\r\n\r\n",
            [self = shared_from_this()](error_code error, std::size_t size)
            {
                if (error)
                {
                    return;
                }
                self->input_buffer_.erase(0, size);
                asio::write(self->socket_, asio::buffer(response_text), error);
                self->serve();
            });
    }

private:
    tcp::socket socket_;
    std::string input_buffer_;
};

// State that the connections of one run share.
struct run_state
{
    std::size_t remaining_calls_ = 0;
    std::vector<milliseconds> latencies_;
};

class closed_loop_caller
    : public std::enable_shared_from_this<closed_loop_caller>
{
public:
    closed_loop_caller(asio::io_context& context,
                       const tcp::endpoint& address,
                       run_state& state)
        : socket_(context)
        , state_(state)
    {
        socket_.connect(address);
        socket_.set_option(tcp::no_delay(true));
    }

    void send_call()
    {
        if (state_.remaining_calls_ == 0)
        {
            return;
        }
        --state_.remaining_calls_;
        started_at_ = monotonic_now();
        asio::write(socket_, asio::buffer(request_text));
        asio::async_read_until(
            socket_,
            asio::dynamic_buffer(input_buffer_),
            response_body,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error)
                {
                    throw std::runtime_error("connection failed during a call");
                }
                self->input_buffer_.clear();
                self->state_.latencies_.push_back(monotonic_now() -
                                                  self->started_at_);
                self->send_call();
            });
    }

private:
    tcp::socket socket_;
    run_state& state_;
    std::string input_buffer_;
    milliseconds started_at_;
};

} // namespace

instant_target::instant_target(asio::io_context& context)
    : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    accept();
}

tcp::endpoint instant_target::address() const
{
    return acceptor_.local_endpoint();
}

void instant_target::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (!error)
            {
                std::make_shared<instant_session>(std::move(socket))->serve();
                accept();
            }
        });
}

std::vector<milliseconds> run_closed_loop(const tcp::endpoint& address,
                                          std::size_t connection_count,
                                          std::size_t call_count)
{
    asio::io_context context(1);
    run_state state;
    state.remaining_calls_ = call_count;
    state.latencies_.reserve(call_count);
    for (std::size_t i = 0; i < connection_count; ++i)
    {
        std::make_shared<closed_loop_caller>(context, address, state)
            ->send_call();
    }
    context.run();
    return std::move(state.latencies_);
}

} // namespace anvilturn
