#include <av_proxy/request_path.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_net/endpoint.hpp>
#include <av_proxy/path_core.hpp>
#include <av_proxy/request_path_builder.hpp>
#include <av_proxy/worker.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <future>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::size_t max_threads = 64;
// Time before the end of a VM that stops in which its last answers are sent.
constexpr milliseconds stop_answer_reserve{100.0};
constexpr auto relaxed = std::memory_order_relaxed;

struct running_thread
{
    std::thread thread_;
    std::future<void> ended_;
};

running_thread run_in_thread(worker& value)
{
    std::promise<void> promise;
    running_thread result;
    result.ended_ = promise.get_future();
    result.thread_ = std::thread(
        [&value, promise = std::move(promise)]() mutable
        {
            value.run();
            promise.set_value();
        });
    return result;
}

absl::Status invalid(std::string_view key, std::string_view detail)
{
    return make_error(
        error_kind::settings_invalid,
        absl::StrCat(absl::string_view(key.data(), key.size()),
                     " ",
                     absl::string_view(detail.data(), detail.size())));
}

absl::Status check(const request_path_settings& settings)
{
    if (settings.threads_ == 0 || settings.threads_ > max_threads)
    {
        return invalid("threads", "must be 1 to 64");
    }
    if (!parse_endpoint(settings.callers_address_))
    {
        return invalid("callers_address", "is not an IP address and port");
    }
    if (!settings.forward_address_.empty() &&
        !parse_endpoint(settings.forward_address_))
    {
        return invalid("forward_address", "is not an IP address and port");
    }
    if (settings.limits_.header_bytes_ > scratch_bytes)
    {
        return invalid("header_bytes", "must be at most 65536");
    }
    return absl::OkStatus();
}

void add_counters(request_path_statistics& sum, const path_counters& part)
{
    sum.answered_ += part.answered_.load(relaxed);
    sum.not_run_ += part.not_run_.load(relaxed);
    sum.unknown_ += part.unknown_.load(relaxed);
    sum.forwarded_ += part.forwarded_.load(relaxed);
    sum.extra_attempts_ += part.extra_attempts_.load(relaxed);
    sum.hedges_sent_ += part.hedges_sent_.load(relaxed);
    sum.hedges_won_ += part.hedges_won_.load(relaxed);
    sum.hedges_suppressed_ += part.hedges_suppressed_.load(relaxed);
    sum.calls_in_flight_ += part.calls_.load(relaxed);
    sum.caller_connections_ += part.connections_.load(relaxed);
    for (std::size_t kind = 0; kind < error_kind_count; ++kind)
    {
        const auto count = part.reasons_[kind].load(relaxed);
        if (count > 0)
        {
            sum.reasons_[static_cast<error_kind>(kind)] += count;
        }
    }
}

void add_service(request_path_statistics& sum,
                 const service_entry& service,
                 milliseconds now)
{
    service_statistics entry;
    entry.service_ = service.spec_.name_;
    entry.waiting_ = service.state_->waiting_calls_total_.load();
    entry.dispatcher_vm_ = service.dispatcher_target_.spec_.name_;
    sum.services_.push_back(entry);
    for (const auto& target : service.targets_)
    {
        sum.targets_.push_back(
            target_statistics_of(target.spec_, *target.state_, now));
    }
}

} // namespace

struct request_path::implementation
{
    path_core core_;
    std::vector<running_thread> threads_;
    std::string callers_address_;
    std::string forward_address_;
    // Serializes publish calls, which come from the control plane.
    std::mutex publish_mutex_;
    // Without its rules and accounts, which are in rules_ and accounts_.
    release release_;
    std::shared_ptr<const rule_matcher> rules_ =
        std::make_shared<const rule_matcher>();
    std::shared_ptr<const release_accounts> accounts_;
    fleet_view fleet_;
    std::optional<std::map<std::string, target_spec>> registered_;
    std::set<std::string> evacuated_domains_;

    absl::Status listen_all()
    {
        callers_address_ = core_.settings_.callers_address_;
        forward_address_ = core_.settings_.forward_address_;
        for (const auto& worker : core_.workers_)
        {
            // With port 0, the first worker is assigned a port, which the
            // others share.
            auto bound = worker->listen(callers_address_, false);
            if (!bound.ok())
            {
                return bound.status();
            }
            callers_address_ = *std::move(bound);
            if (forward_address_.empty())
            {
                continue;
            }
            bound = worker->listen(forward_address_, true);
            if (!bound.ok())
            {
                return bound.status();
            }
            forward_address_ = *std::move(bound);
        }
        return absl::OkStatus();
    }

    void publish_table()
    {
        const auto previous = core_.table_.load();
        const routing_table_input input{release_,
                                        rules_,
                                        registered_ ? *registered_
                                                    : release_.targets_,
                                        fleet_,
                                        core_.workers_.size(),
                                        previous.get(),
                                        accounts_,
                                        &evacuated_domains_,
                                        &core_.settings_.regions_};
        core_.table_.publish(build_routing_table(input, monotonic_now()));
    }

    bool join_until(milliseconds point)
    {
        bool in_time = true;
        for (auto& thread : threads_)
        {
            const auto left = std::max(0.0, (point - monotonic_now()).count());
            const auto limit = std::chrono::microseconds(
                static_cast<std::int64_t>(left * 1e3));
            in_time =
                thread.ended_.wait_for(limit) == std::future_status::ready &&
                in_time;
        }
        return in_time;
    }

    void stop_all()
    {
        for (const auto& worker : core_.workers_)
        {
            worker->stop_now();
        }
        for (auto& thread : threads_)
        {
            thread.thread_.join();
        }
        threads_.clear();
    }
};

request_path::request_path(std::unique_ptr<implementation> value)
    : implementation_(std::move(value))
{
}

request_path::~request_path()
{
    implementation_->stop_all();
}

absl::Status request_path::start()
{
    assert(implementation_->threads_.empty());
    const auto status = implementation_->listen_all();
    if (!status.ok())
    {
        return status;
    }
    for (const auto& worker : implementation_->core_.workers_)
    {
        implementation_->threads_.push_back(run_in_thread(*worker));
    }
    return absl::OkStatus();
}

const std::string& request_path::callers_address() const
{
    return implementation_->callers_address_;
}

const std::string& request_path::forward_address() const
{
    return implementation_->forward_address_;
}

void request_path::publish(const release& value)
{
    const std::lock_guard<std::mutex> lock(implementation_->publish_mutex_);
    if (value.version_ < implementation_->release_.version_)
    {
        return;
    }
    implementation_->release_ = value;
    implementation_->release_.rules_.clear();
    implementation_->rules_ =
        std::make_shared<const rule_matcher>(value.rules_);
    implementation_->release_.accounts_.clear();
    implementation_->accounts_ =
        value.accounts_.empty()
            ? nullptr
            : std::make_shared<const release_accounts>(
                  value.accounts_, implementation_->accounts_.get());
    implementation_->publish_table();
}

void request_path::publish(const std::map<std::string, target_spec>& registered)
{
    const std::lock_guard<std::mutex> lock(implementation_->publish_mutex_);
    implementation_->registered_ = registered;
    implementation_->publish_table();
}

void request_path::publish_evacuations(std::set<std::string> failure_domains)
{
    const std::lock_guard<std::mutex> lock(implementation_->publish_mutex_);
    implementation_->evacuated_domains_ = std::move(failure_domains);
    implementation_->publish_table();
}

void request_path::publish(const fleet_view& value)
{
    const std::lock_guard<std::mutex> lock(implementation_->publish_mutex_);
    implementation_->fleet_ = value;
    implementation_->publish_table();
}

bool request_path::apply(const target_notice& notice)
{
    const auto& core = implementation_->core_;
    const auto table = core.table_.load();
    const auto now = monotonic_now();
    std::optional<milliseconds> draining_seen_at;
    for (const auto& service : table->services_)
    {
        for (const auto& target : service.second.targets_)
        {
            if (target.spec_.name_ == notice.target_)
            {
                draining_seen_at =
                    std::max(draining_seen_at,
                             apply_notice(*target.state_, notice, now));
            }
        }
    }
    if (!draining_seen_at)
    {
        return true;
    }
    if (core.listener_)
    {
        target_notice draining;
        draining.kind_ = target_notice_kind::draining;
        draining.target_ = notice.target_;
        draining.load_.draining_ = true;
        draining.age_ = now - *draining_seen_at;
        draining.source_vm_ = core.settings_.vm_name_;
        core.listener_(draining);
    }
    return false;
}

void request_path::set_ready(bool ready)
{
    implementation_->core_.ready_.store(ready);
}

void request_path::record_refresh(milliseconds point)
{
    implementation_->core_.refreshed_at_ms_.store(point.count());
}

void request_path::set_isolated(bool isolated)
{
    implementation_->core_.isolated_.store(isolated);
}

void request_path::begin_drain(milliseconds time_limit)
{
    auto& core = implementation_->core_;
    const auto at = monotonic_now() + time_limit - stop_answer_reserve;
    core.calls_end_at_ms_.store(
        std::min(core.calls_end_at_ms_.load(), at.count()));
    core.draining_.store(true);
}

void request_path::stop_accepting()
{
    implementation_->core_.accepting_.store(false);
    for (const auto& worker : implementation_->core_.workers_)
    {
        worker->stop_accepting();
    }
}

bool request_path::finish(milliseconds time_limit)
{
    const auto point = monotonic_now() + time_limit;
    begin_drain(time_limit);
    stop_accepting();
    implementation_->core_.finishing_.store(true);
    for (const auto& worker : implementation_->core_.workers_)
    {
        worker->begin_finish();
    }
    const bool in_time = implementation_->join_until(point);
    const bool all_ended = in_time || statistics().calls_in_flight_ == 0;
    implementation_->stop_all();
    return all_ended;
}

request_path_statistics request_path::statistics() const
{
    const auto& core = implementation_->core_;
    const auto table = core.table_.load();
    request_path_statistics result;
    result.release_version_ = table->version_;
    for (const auto& worker : core.workers_)
    {
        add_counters(result, worker->counters());
    }
    for (const auto& service : table->services_)
    {
        add_service(result, service.second, monotonic_now());
    }
    if (table->accounts_ != nullptr)
    {
        result.accounts_ = account_statistics_of(*table->accounts_);
    }
    return result;
}

request_path_builder&
request_path_builder::settings(const request_path_settings& value)
{
    settings_ = value;
    return *this;
}

request_path_builder&
request_path_builder::notice_listener(target_notice_listener value)
{
    listener_ = std::move(value);
    return *this;
}

request_path_builder& request_path_builder::recorder(latency_recorder& value)
{
    recorder_ = &value;
    return *this;
}

absl::StatusOr<std::unique_ptr<request_path>>
request_path_builder::build() const
{
    const auto status = check(settings_);
    if (!status.ok())
    {
        return status;
    }
    auto value = std::make_unique<request_path::implementation>();
    value->core_.settings_ = settings_;
    value->core_.listener_ = listener_;
    value->core_.recorder_ = recorder_;
    for (std::size_t index = 0; index < settings_.threads_; ++index)
    {
        value->core_.workers_.push_back(
            std::make_unique<worker>(value->core_, index));
    }
    return std::unique_ptr<request_path>(new request_path(std::move(value)));
}

} // namespace anvilturn
