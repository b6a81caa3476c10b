#include <av_daemon/platform_binding.hpp>

#include <av_platform/platform_client.hpp>
#include <av_platform/platform_keys.hpp>

#include <memory>
#include <utility>

namespace anvilturn
{

platform_factory bind_platform(const platform_client_options& options,
                               const std::string& deployment)
{
    const auto key = release_key(deployment);
    return [options, key](boost::asio::io_context& context)
    {
        const auto client = std::make_shared<platform_client>(context, options);
        control_platform calls;
        calls.read_release_ = [client, key](auto done)
        {
            client->get(key, std::move(done));
        };
        calls.watch_release_ =
            [client, key](store_revision since, milliseconds wait, auto done)
        {
            client->watch(key, since, wait, std::move(done));
        };
        calls.list_vms_ = [client](auto done)
        {
            client->list_vms(std::move(done));
        };
        calls.counts_ = [client]
        {
            return client->counts();
        };
        return calls;
    };
}

} // namespace anvilturn
