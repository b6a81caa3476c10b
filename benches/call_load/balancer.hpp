#ifndef BENCHES_CALL_LOAD_BALANCER_HPP
#define BENCHES_CALL_LOAD_BALANCER_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>
#include <vector>

namespace anvilturn
{

// The platform's balancer: it asks each VM from time to time whether it is
// ready, and gives calls to those that were.
class balancer
{
public:
    // Asks once before it returns, and then on a thread of its own.
    balancer(std::vector<boost::asio::ip::tcp::endpoint> vms,
             milliseconds interval);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    // Returns the index of a VM that was ready; of any if none was.
    std::size_t choose(std::uint32_t random_value) const noexcept;

private:
    void query_all();

    std::vector<boost::asio::ip::tcp::endpoint> vms_;
    milliseconds interval_;
    std::vector<std::atomic<bool>> ready_;
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

} // namespace anvilturn

#endif
