#include <av_client/vm_request.hpp>

#include <av_core/error.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/http_exchange.hpp>

#include <boost/asio/io_context.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace http = boost::beast::http;

// A state dump of a large deployment is several megabytes.
constexpr std::size_t max_vm_response_bytes = 64'000'000;

http_result send_to_vm(const std::string& vm,
                       const vm_request& request,
                       milliseconds timeout)
{
    const auto endpoint = parse_endpoint(vm);
    if (!endpoint)
    {
        return {http_outcome::not_connected, "not an IP address and port", {}};
    }
    boost::asio::io_context context;
    http_request message(
        http::string_to_verb(request.method_), request.path_, 11);
    message.set(http::field::host, vm);
    message.body() = request.body_;
    const auto exchange = std::make_shared<http_exchange>(
        std::make_unique<boost::beast::tcp_stream>(context),
        std::move(message),
        max_vm_response_bytes);
    http_result end;
    exchange->start(*endpoint,
                    timeout,
                    [&end](http_result result)
                    {
                        end = std::move(result);
                    });
    context.run();
    return end;
}

} // namespace

absl::StatusOr<vm_response> send_vm_request(const std::vector<std::string>& vms,
                                            const vm_request& request,
                                            milliseconds timeout)
{
    std::string failures;
    for (const std::string& vm : vms)
    {
        http_result result = send_to_vm(vm, request, timeout);
        if (result.outcome_ == http_outcome::answered)
        {
            return vm_response{result.http_response_.result_int(),
                               std::move(result.http_response_.body())};
        }
        const std::string failure = vm + ": " + result.detail_;
        if (result.outcome_ != http_outcome::not_connected &&
            !request.idempotent_)
        {
            return make_error(error_kind::release_outcome_unknown, failure);
        }
        failures += (failures.empty() ? "" : ", ") + failure;
    }
    return make_error(error_kind::vm_unreachable, failures);
}

} // namespace anvilturn
