#ifndef AV_PLATFORM_PLATFORM_CLIENT_HPP
#define AV_PLATFORM_PLATFORM_CLIENT_HPP

#include <av_core/milliseconds.hpp>
#include <av_platform/platform_call_counts.hpp>
#include <av_platform/platform_changes.hpp>
#include <av_platform/platform_client_options.hpp>
#include <av_platform/platform_listing.hpp>
#include <av_platform/platform_object.hpp>
#include <av_platform/platform_vm.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
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

// Calls the platform's object API. Each call invokes its callback exactly once,
// after the function that started the call has returned and within the time
// limits of the options. Calls are not retried.
//
// Errors of every call:
//   platform_unreachable  no connection: the call had no effect. For calls
//                         that only read, also no complete response in time,
//                         or 5xx
//   platform_answer_lost  a write was sent, but no complete response came in
//                         time, or 5xx: the write may have taken effect; read
//                         the object before writing it again
//   platform_refused      the call exceeded a limit of the platform (413, 429)
//                         or got another 4xx; a write had no effect
//   platform_malformed    the response was not as documented; after a write it
//                         is unknown whether the write took effect
//
// Use a client from the thread of its io_context only, except for counts, which
// may be called from any thread. The callbacks of calls in progress are dropped
// when the client is destroyed.
class platform_client
{
public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;

    // The address must be an IP address and port, which the settings verify;
    // otherwise every call ends in platform_unreachable.
    platform_client(boost::asio::io_context& context,
                    const platform_client_options& options);
    ~platform_client();

    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // Reads an object; nothing if the platform reports that it does not exist.
    // The result may be stale.
    void get(const std::string& key,
             callback<std::optional<platform_object>> done);

    // Writes an object if its version is the expected one or, with
    // object_absent, if it does not exist. Returns the new version. Fails with
    // version_mismatch otherwise; the write then had no effect.
    void put(const std::string& key,
             std::string value,
             object_version expected,
             callback<object_version> done);

    // Deletes an object if its version is the expected one; fails with
    // version_mismatch or object_unknown otherwise.
    void remove(const std::string& key,
                object_version expected,
                std::function<void(absl::Status)> done);

    // Lists the objects under a prefix.
    void list(const std::string& prefix, callback<platform_listing> done);

    // Waits for changes under a prefix after a revision, at most for the time
    // given. A pending watch occupies one connection.
    void watch(const std::string& prefix,
               store_revision since,
               milliseconds wait,
               callback<platform_changes> done);

    // Reads the platform's list of VMs, which lags behind the actual state.
    void list_vms(callback<std::vector<platform_vm>> done);

    // Returns the calls made so far.
    platform_call_counts counts() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
