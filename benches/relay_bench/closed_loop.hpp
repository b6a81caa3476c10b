#ifndef BENCHES_RELAY_BENCH_CLOSED_LOOP_HPP
#define BENCHES_RELAY_BENCH_CLOSED_LOOP_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <vector>

namespace anvilturn
{

// A target that gives each request the same small answer at once.
class instant_target
{
public:
    explicit instant_target(boost::asio::io_context& context);

    boost::asio::ip::tcp::endpoint address() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
};

// Keeps one call under way on each connection until so many calls were made.
// Returns their latencies; throws if a connection fails.
std::vector<milliseconds>
run_closed_loop(const boost::asio::ip::tcp::endpoint& address,
                std::size_t connection_count,
                std::size_t call_count);

} // namespace anvilturn

#endif
