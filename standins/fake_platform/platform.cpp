#include <fake_platform/platform.hpp>

#include <common/standin_program.hpp>
#include <common/yaml_values.hpp>

#include <av_core/monotonic_clock.hpp>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <optional>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::size_t value_limit_bytes = 1U << 20U;
constexpr std::string_view objects_path = "/v1/objects/";

std::string_view url_of(const http_session& session)
{
    const auto url = session.request().target();
    return {url.data(), url.size()};
}

std::string etag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

// Returns the version that a write requires, zero if it requires that the
// object is absent, or nothing if the request carries no condition.
std::optional<std::uint64_t> expected_version(const http_request& request)
{
    const std::string if_match(request["If-Match"]);
    if (if_match.size() > 2)
    {
        return std::strtoull(if_match.c_str() + 1, nullptr, 10);
    }
    if (request["If-None-Match"] == "*")
    {
        return 0;
    }
    return std::nullopt;
}

void reply_json(http_session& session, std::string text)
{
    http_response response;
    response.result(200);
    response.set("Content-Type", "application/json");
    response.body() = std::move(text);
    session.reply(std::move(response));
}

std::string event_json(const store_event& event)
{
    return R"({"key": ")" + event.key_ + R"(", "version": )" +
           std::to_string(event.version_) + R"(, "deleted": )" +
           (event.deleted_ ? "true}" : "false}");
}

bool is_valid_key(std::string_view key)
{
    return !key.empty() && std::all_of(key.begin(),
                                       key.end(),
                                       [](unsigned char c)
                                       {
                                           return std::isalnum(c) != 0 ||
                                                  c == '.' || c == '_' ||
                                                  c == '-' || c == '/';
                                       });
}

} // namespace

platform::platform(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& address,
                   platform_options options)
    : context_(context)
    , options_(options)
    , vm_lists_{{milliseconds(0.0), R"({"vms": []})"}}
    , server_(context,
              address,
              {},
              [this](const auto& session)
              {
                  handle(session);
              })
{
}

void platform::handle(const std::shared_ptr<http_session>& session)
{
    const auto path = path_of(url_of(*session));
    if (path.substr(0, 9) == "/control/")
    {
        handle_control(session);
        return;
    }
    if (faults_.resets_connections_)
    {
        ++counts_["struck"];
        session->drop(true);
        return;
    }
    if (faults_.black_hole_)
    {
        ++counts_["struck"];
        unanswered_sessions_.push_back(session);
        return;
    }
    schedule_api_call(session);
}

void platform::schedule_api_call(const std::shared_ptr<http_session>& session)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(
        to_duration(options_.latency_ + faults_.extra_latency_));
    timer->async_wait(
        [this, session, timer](auto)
        {
            handle_api(session);
        });
}

void platform::handle_api(const std::shared_ptr<http_session>& session)
{
    if (faults_.unavailable_ || faults_.rate_limited_)
    {
        ++counts_["struck"];
        session->reply_text(faults_.unavailable_ ? 503 : 429,
                            "try again later\n");
        return;
    }
    const auto path = path_of(url_of(*session));
    const bool is_write =
        session->request().method() != boost::beast::http::verb::get;
    const bool within_rate =
        is_write ? take_token(write_tokens_, options_.writes_per_second_)
                 : take_token(read_tokens_, options_.reads_per_second_);
    if (!within_rate)
    {
        ++counts_["over_rate"];
        session->reply_text(429, "rate limit exceeded\n");
        return;
    }
    if (path.substr(0, objects_path.size()) == objects_path)
    {
        handle_object(session, std::string(path.substr(objects_path.size())));
    }
    else if (path == "/v1/list")
    {
        handle_list(session);
    }
    else if (path == "/v1/watch")
    {
        handle_watch(session);
    }
    else if (path == "/v1/vms")
    {
        handle_vms(session);
    }
    else
    {
        session->reply_text(404, "unknown path\n");
    }
}

void platform::handle_object(const std::shared_ptr<http_session>& session,
                             const std::string& key)
{
    if (!is_valid_key(key))
    {
        session->reply_text(400, "invalid object key\n");
        return;
    }
    if (session->request().method() != boost::beast::http::verb::get)
    {
        handle_write(session, key);
        return;
    }
    ++counts_["get"];
    auto object = store_.get(key, read_state_time());
    if (object.version_ == 0)
    {
        session->reply_text(404, "absent\n");
        return;
    }
    answered_bytes_ += object.value_.size();
    http_response response;
    response.result(200);
    response.set("ETag", etag(object.version_));
    response.body() = std::move(object.value_);
    session->reply(std::move(response));
}

void platform::handle_write(const std::shared_ptr<http_session>& session,
                            const std::string& key)
{
    const auto& request = session->request();
    const bool is_delete =
        request.method() == boost::beast::http::verb::delete_;
    ++counts_[is_delete ? "delete" : "put"];
    const auto expected = expected_version(request);
    if (!expected)
    {
        session->reply_text(400, "If-Match or If-None-Match is missing\n");
        return;
    }
    if (request.body().size() > value_limit_bytes)
    {
        session->reply_text(413, "the value is larger than 1 MiB\n");
        return;
    }
    const auto now = monotonic_now();
    const auto result = is_delete
                            ? store_.erase(key, *expected, now)
                            : store_.put(key, *expected, request.body(), now);
    if (result == write_result::done)
    {
        answer_changed_watches();
        if (faults_.responses_to_drop_ > 0)
        {
            --faults_.responses_to_drop_;
            ++counts_["lost_answers"];
            session->drop();
            return;
        }
    }
    http_response response;
    const auto current_version = store_.get(key, now).version_;
    response.result(result == write_result::done     ? 200
                    : result == write_result::absent ? 404
                                                     : 412);
    if (current_version != 0)
    {
        response.set("ETag", etag(current_version));
    }
    session->reply(std::move(response));
}

void platform::handle_list(const std::shared_ptr<http_session>& session)
{
    ++counts_["list"];
    std::string objects;
    const auto prefix = query_value(url_of(*session), "prefix");
    for (const auto& [key, version] : store_.list(prefix, read_state_time()))
    {
        objects += (objects.empty() ? "" : ", ");
        objects += R"({"key": ")" + key + R"(", "version": )" +
                   std::to_string(version) + '}';
    }
    reply_json(*session,
               R"({"revision": )" + std::to_string(store_.revision()) +
                   R"(, "objects": [)" + objects + "]}");
}

void platform::handle_watch(const std::shared_ptr<http_session>& session)
{
    ++counts_["watch"];
    const auto url = url_of(*session);
    const auto since =
        std::strtoull(query_value(url, "since", "0").c_str(), nullptr, 10);
    const auto timeout = milliseconds(
        std::strtod(query_value(url, "timeout_ms", "30000").c_str(), nullptr));
    const auto pending = std::make_shared<pending_watch>(
        context_, session, query_value(url, "prefix"), since);
    if (!store_.events_after(pending->prefix_, since).empty())
    {
        answer_watch(pending);
        return;
    }
    pending_watches_.push_back(pending);
    session->on_peer_closed(
        [this, pending]
        {
            pending_watches_.remove(pending);
            pending->timer_.cancel();
            pending->session_->drop();
        });
    pending->timer_.expires_after(to_duration(timeout));
    pending->timer_.async_wait(
        [this, pending](boost::system::error_code error)
        {
            if (!error)
            {
                pending_watches_.remove(pending);
                answer_watch(pending);
            }
        });
}

void platform::answer_watch(const pending_watch_pointer& pending)
{
    if (faults_.black_hole_)
    {
        unanswered_sessions_.push_back(pending->session_);
        return;
    }
    auto events = store_.events_after(pending->prefix_, pending->since_);
    if (faults_.reorder_watch_ && !events.empty())
    {
        std::reverse(events.begin(), events.end());
        const auto all = store_.events_after(pending->prefix_, 0);
        events.push_back(all.front());
    }
    std::string text;
    for (const auto& event : events)
    {
        text += (text.empty() ? "" : ", ") + event_json(event);
    }
    reply_json(*pending->session_,
               R"({"revision": )" + std::to_string(store_.revision()) +
                   R"(, "events": [)" + text + "]}");
}

void platform::answer_changed_watches()
{
    const auto watches = pending_watches_;
    for (const auto& pending : watches)
    {
        if (!store_.events_after(pending->prefix_, pending->since_).empty())
        {
            pending_watches_.remove(pending);
            pending->timer_.cancel();
            answer_watch(pending);
        }
    }
}

void platform::drop_pending_watches()
{
    for (const auto& pending : std::exchange(pending_watches_, {}))
    {
        pending->timer_.cancel();
        pending->session_->drop(true);
    }
}

void platform::handle_vms(const std::shared_ptr<http_session>& session)
{
    ++counts_["vms"];
    const auto now = monotonic_now();
    while (vm_lists_.size() > 1 && vm_lists_[1].visible_from_ <= now)
    {
        vm_lists_.pop_front();
    }
    reply_json(*session, vm_lists_.front().json_);
}

void platform::handle_control(const std::shared_ptr<http_session>& session)
{
    const auto path = path_of(url_of(*session));
    const auto& body = session->request().body();
    try
    {
        if (path == "/control/faults")
        {
            change_faults(body);
            session->reply_text(200, "");
        }
        else if (path == "/control/vms")
        {
            static_cast<void>(YAML::Load(body)["vms"].size());
            vm_lists_.push_back({monotonic_now() + options_.list_lag_, body});
            session->reply_text(200, "");
        }
        else if (path == "/control/counts")
        {
            session->reply_text(200, counts_text());
        }
        else if (path == "/control/reset")
        {
            counts_.clear();
            session->reply_text(200, "");
        }
        else
        {
            session->reply_text(404, "unknown control path\n");
        }
    }
    catch (const std::exception& failure)
    {
        session->reply_text(400, failure.what());
    }
}

void platform::change_faults(const std::string& yaml)
{
    const auto node = YAML::Load(yaml);
    read_if_present(node, "down", faults_.resets_connections_);
    read_if_present(node, "black_hole", faults_.black_hole_);
    read_if_present(node, "away", faults_.unavailable_);
    read_if_present(node, "over_rate", faults_.rate_limited_);
    read_if_present(node, "lose_answers", faults_.responses_to_drop_);
    read_if_present(node, "reorder_watch", faults_.reorder_watch_);
    read_if_present(node, "writes_per_second", options_.writes_per_second_);
    read_if_present(node, "reads_per_second", options_.reads_per_second_);
    read_if_present(node, "slow_ms", faults_.extra_latency_);
    read_if_present(node, "stale_read_ms", faults_.read_staleness_);
    read_if_present(node, "list_lag_ms", options_.list_lag_);
    if (faults_.resets_connections_)
    {
        drop_pending_watches();
    }
    if (!faults_.black_hole_)
    {
        for (const auto& session : std::exchange(unanswered_sessions_, {}))
        {
            session->drop(true);
        }
    }
}

bool platform::take_token(rate_bucket& bucket, double tokens_per_second)
{
    const auto now = monotonic_now();
    const auto elapsed = now - bucket.refilled_at_;
    bucket.refilled_at_ = now;
    bucket.tokens_ =
        std::min(tokens_per_second,
                 bucket.tokens_ + tokens_per_second * elapsed.count() / 1000.0);
    if (bucket.tokens_ < 1.0)
    {
        return false;
    }
    bucket.tokens_ -= 1.0;
    return true;
}

std::string platform::counts_text() const
{
    std::string text;
    for (const auto& [kind, count] : counts_)
    {
        text += kind + '=' + std::to_string(count) + ' ';
    }
    return text + "answered_bytes=" + std::to_string(answered_bytes_) +
           " watching=" + std::to_string(pending_watches_.size()) +
           " revision=" + std::to_string(store_.revision()) +
           " now_ms=" + std::to_string(monotonic_now().count()) + '\n';
}

milliseconds platform::read_state_time() const
{
    return monotonic_now() - faults_.read_staleness_;
}

} // namespace anvilturn
