#ifndef AV_GRANTS_PERMIT_CLIENT_HPP
#define AV_GRANTS_PERMIT_CLIENT_HPP

#include <av_core/milliseconds.hpp>
#include <av_grants/permit_counters.hpp>
#include <av_quota/limit_key.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// Whether a call may be sent, as far as a limit is concerned.
enum class permit_result : std::uint8_t
{
    granted,
    // Grantors responded that the limit is reached.
    over_limit,
    // Too few grantors that know the limit responded.
    unavailable
};

// The answer to a request for one permit.
struct permit_answer
{
    permit_result result_ = permit_result::unavailable;
    // If granted: the call must be sent before this point of monotonic_now.
    milliseconds expires_at_{0.0};
    // If not granted: when to try again.
    milliseconds retry_after_{0.0};
};

// What a permit client needs to know.
struct permit_client_options
{
    // Name of this VM.
    std::string vm_name_;
    // IP addresses and ports of the grantors; the same on all VMs, in any
    // order.
    std::vector<std::string> grantors_;
    // Shared by the clients of a process; the client makes its own if null.
    std::shared_ptr<permit_counters> counters_;
};

// Holds permits of this VM and gets more of them from the grantors, one query
// at a time for each limit. Connects to a grantor when it first needs it. Runs
// on the thread of the io_context only.
class permit_client
{
public:
    permit_client(boost::asio::io_context& context,
                  permit_client_options options);
    // No callback is called from then on.
    ~permit_client();
    permit_client(const permit_client&) = delete;
    permit_client& operator=(const permit_client&) = delete;

    // Takes a permit. Calls back exactly once, unless the client is destroyed
    // first: before it returns if it holds a permit, otherwise from the event
    // loop when grantors have responded or the time for this has passed.
    // Callbacks of other requests are never called before it returns.
    void acquire(const limit_key& key, std::function<void(permit_answer)> done);

    // Returns a permit that was not used, with the expiry of its answer.
    void give_back(const limit_key& key, milliseconds expires_at);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
