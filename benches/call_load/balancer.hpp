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

// Stands in for the platform's load balancer: queries the readiness of each VM
// periodically and chooses among the VMs that were ready.
class balancer
{
public:
    // Queries all VMs once before it returns, then on its own thread with a
    // pause of this interval between rounds.
    balancer(std::vector<boost::asio::ip::tcp::endpoint> vms,
             milliseconds interval);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    // Maps a random value to the index of a VM that was ready at its last
    // query; to that of any VM if none was.
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
