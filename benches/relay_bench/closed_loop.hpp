#ifndef BENCHES_RELAY_BENCH_CLOSED_LOOP_HPP
#define BENCHES_RELAY_BENCH_CLOSED_LOOP_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <vector>

namespace anvilturn
{

// A target that answers each request immediately with the same small response.
class instant_target
{
public:
    explicit instant_target(boost::asio::io_context& context);

    boost::asio::ip::tcp::endpoint address() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
};

// Keeps one call in flight on each connection until call_count calls are made.
// Returns their latencies; throws std::runtime_error if a connection fails.
std::vector<milliseconds>
run_closed_loop(const boost::asio::ip::tcp::endpoint& address,
                std::size_t connection_count,
                std::size_t call_count);

} // namespace anvilturn

#endif
