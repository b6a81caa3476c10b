#include <av_platform/platform_client.hpp>

#include <av_core/error.hpp>
#include <av_net/http_caller.hpp>
#include <av_platform/platform_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cassert>
#include <map>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

using response_callback =
    std::function<void(absl::StatusOr<http_response_message>)>;

// Whether a call may change an object. Decides which error is reported if its
// outcome is unknown.
enum class call_effect
{
    reads,
    writes
};

[[maybe_unused]] bool is_valid_key(const std::string& key)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789._-/";
    return key.find_first_not_of(allowed.data(), 0, allowed.size()) ==
           std::string::npos;
}

// Returns the error of a call that was sent and gave no result: a write may
// have taken effect.
absl::Status outcome_unknown_error(call_effect effect, const std::string& what)
{
    return make_error(effect == call_effect::writes
                          ? error_kind::platform_answer_lost
                          : error_kind::platform_unreachable,
                      what);
}

// Returns OK for status 200, otherwise the documented error.
absl::Status check_status(const http_response_message& response,
                          call_effect effect)
{
    const auto code = response.result_int();
    const std::string what =
        "the platform answered with status " + std::to_string(code);
    if (code == 200)
    {
        return absl::OkStatus();
    }
    if (response.result() == http::status::precondition_failed)
    {
        const auto tag = response[http::field::etag];
        return make_error(error_kind::version_mismatch,
                          tag.empty()
                              ? "the object does not exist"
                              : "the object has version " + std::string(tag));
    }
    if (response.result() == http::status::not_found)
    {
        return make_error(error_kind::object_unknown, what);
    }
    if (code >= 500)
    {
        return outcome_unknown_error(effect, what);
    }
    return make_error(code >= 400 ? error_kind::platform_refused
                                  : error_kind::platform_malformed,
                      what);
}

// Returns the response if its status is 200, otherwise an error.
absl::StatusOr<http_response_message> to_response(http_result result,
                                                  call_effect effect)
{
    switch (result.outcome_)
    {
    case http_outcome::not_connected:
        return make_error(error_kind::platform_unreachable, result.detail_);
    case http_outcome::response_lost:
        return outcome_unknown_error(effect, result.detail_);
    case http_outcome::malformed:
        return make_error(error_kind::platform_malformed, result.detail_);
    case http_outcome::answered:
        break;
    }
    const absl::Status status = check_status(result.http_response_, effect);
    if (!status.ok())
    {
        return status;
    }
    return std::move(result.http_response_);
}

} // namespace

// Counts the calls and classifies their results.
class platform_client::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    using counter = std::atomic<std::uint64_t>;

    implementation(asio::io_context& context, platform_client_options options)
        : options_(std::move(options))
        , caller_(context, options_.address_, options_.body_limit_)
    {
    }

    http_request make_request(http::verb method, const std::string& path) const
    {
        return http_request(method, path, 11);
    }

    // Sends the request. The callback gets a response of status 200 or an
    // error.
    void call(counter& kind,
              http_request request,
              call_effect effect,
              milliseconds extra_time,
              response_callback done)
    {
        kind.fetch_add(1, std::memory_order_relaxed);
        caller_.call(std::move(request),
                     options_.call_timeout_ + extra_time,
                     [this, effect, done = std::move(done)](http_result result)
                     {
                         auto response = to_response(std::move(result), effect);
                         if (!response.ok())
                         {
                             count_failure(response.status());
                         }
                         done(std::move(response));
                     });
    }

    platform_call_counts counts() const
    {
        return {gets_,
                puts_,
                removes_,
                lists_,
                watches_,
                vm_lists_,
                failures_,
                caller_.connections()};
    }

    counter gets_{0};
    counter puts_{0};
    counter removes_{0};
    counter lists_{0};
    counter watches_{0};
    counter vm_lists_{0};

private:
    void count_failure(const absl::Status& status)
    {
        const auto kind = kind_of(status);
        if (kind != error_kind::version_mismatch &&
            kind != error_kind::object_unknown)
        {
            failures_.fetch_add(1, std::memory_order_relaxed);
        }
    }

    platform_client_options options_;
    counter failures_{0};
    http_caller caller_;
};

namespace
{

// Returns the version in the response to a get or put.
absl::StatusOr<object_version> version_of(const http_response_message& response)
{
    const auto tag = response[http::field::etag];
    return parse_etag(std::string_view(tag.data(), tag.size()));
}

void set_condition(object_version expected, http_request& request)
{
    if (expected == object_absent)
    {
        request.set(http::field::if_none_match, "*");
        return;
    }
    request.set(http::field::if_match, "\"" + std::to_string(expected) + "\"");
}

absl::StatusOr<std::optional<platform_object>>
to_object(const absl::StatusOr<http_response_message>& response)
{
    if (kind_of(response.status()) == error_kind::object_unknown)
    {
        return std::nullopt;
    }
    if (!response.ok())
    {
        return response.status();
    }
    const auto version = version_of(*response);
    if (!version.ok())
    {
        return version.status();
    }
    return platform_object{*version, response->body()};
}

// Returns a callback that parses the response body with the function.
template <typename Value>
response_callback
read_body(absl::StatusOr<Value> (*read)(std::string_view json),
          platform_client::callback<Value> done)
{
    return [read, done = std::move(done)](
               absl::StatusOr<http_response_message> response)
    {
        if (response.ok())
        {
            done(read(response->body()));
            return;
        }
        done(response.status());
    };
}

} // namespace

platform_client::platform_client(asio::io_context& context,
                                 const platform_client_options& options)
    : implementation_(std::make_shared<implementation>(context, options))
{
}

platform_client::~platform_client() = default;

void platform_client::get(const std::string& key,
                          callback<std::optional<platform_object>> done)
{
    assert(is_valid_key(key));
    implementation& self = *implementation_;
    self.call(
        self.gets_,
        self.make_request(http::verb::get, "/v1/objects/" + key),
        call_effect::reads,
        milliseconds(0.0),
        [done = std::move(done)](absl::StatusOr<http_response_message> response)
        {
            done(to_object(response));
        });
}

void platform_client::put(const std::string& key,
                          std::string value,
                          object_version expected,
                          callback<object_version> done)
{
    assert(is_valid_key(key));
    implementation& self = *implementation_;
    auto request = self.make_request(http::verb::put, "/v1/objects/" + key);
    set_condition(expected, request);
    request.body() = std::move(value);
    self.call(
        self.puts_,
        std::move(request),
        call_effect::writes,
        milliseconds(0.0),
        [done = std::move(done)](absl::StatusOr<http_response_message> response)
        {
            done(response.ok() ? version_of(*response) : response.status());
        });
}

void platform_client::remove(const std::string& key,
                             object_version expected,
                             std::function<void(absl::Status)> done)
{
    assert(is_valid_key(key) && expected != object_absent);
    implementation& self = *implementation_;
    auto request = self.make_request(http::verb::delete_, "/v1/objects/" + key);
    set_condition(expected, request);
    self.call(
        self.removes_,
        std::move(request),
        call_effect::writes,
        milliseconds(0.0),
        [done = std::move(done)](absl::StatusOr<http_response_message> response)
        {
            done(response.status());
        });
}

void platform_client::list(const std::string& prefix,
                           callback<platform_listing> done)
{
    assert(is_valid_key(prefix));
    implementation& self = *implementation_;
    self.call(self.lists_,
              self.make_request(http::verb::get, "/v1/list?prefix=" + prefix),
              call_effect::reads,
              milliseconds(0.0),
              read_body(&parse_listing, std::move(done)));
}

void platform_client::watch(const std::string& prefix,
                            store_revision since,
                            milliseconds wait,
                            callback<platform_changes> done)
{
    assert(is_valid_key(prefix));
    implementation& self = *implementation_;
    const auto wait_ms = static_cast<std::uint64_t>(wait.count());
    const std::string path = "/v1/watch?prefix=" + prefix +
                             "&since=" + std::to_string(since) +
                             "&timeout_ms=" + std::to_string(wait_ms);
    self.call(self.watches_,
              self.make_request(http::verb::get, path),
              call_effect::reads,
              wait,
              read_body(&parse_changes, std::move(done)));
}

void platform_client::list_vms(callback<std::vector<platform_vm>> done)
{
    implementation& self = *implementation_;
    self.call(self.vm_lists_,
              self.make_request(http::verb::get, "/v1/vms"),
              call_effect::reads,
              milliseconds(0.0),
              read_body(&parse_vm_list, std::move(done)));
}

platform_call_counts platform_client::counts() const
{
    return implementation_->counts();
}

} // namespace anvilturn
