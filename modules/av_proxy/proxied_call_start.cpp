// The start of a call: its service and deadline, the wait for the
// configuration, and the requests that this VM answers itself.

#include <av_proxy/proxied_call.hpp>

#include <av_http/message_writer.hpp>
#include <av_limits/startup_wait.hpp>
#include <av_proxy/worker.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace anvilturn
{
namespace
{

constexpr int max_depth = 25;
constexpr std::string_view local_path_prefix = "/.anvilturn/";
constexpr std::string_view ready_path = "/.anvilturn/ready";
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

void proxied_call::begin(const request_head& head,
                         bool came_from_vm,
                         bool complete,
                         milliseconds arrived_at)
{
    reset(arrived_at);
    request_complete_ = complete;
    head_ = &head;
    active_ = true;
    came_from_vm_ = came_from_vm;
    is_head_request_ = head.method_ == "HEAD";
    worker_.counters().calls_.fetch_add(1, relaxed);
    if (answer_local_path())
    {
        return;
    }
    assign_call_id();
    prepare_call();
}

// Returns whether the call continues. If not, this object may already serve the
// next request of the connection.
bool proxied_call::prepare_call()
{
    if (const auto refusal = find_service())
    {
        if (*refusal != error_kind::vm_not_ready || !await_configuration())
        {
            refuse(*refusal);
        }
        return false;
    }
    const auto& head = *head_;
    idempotent_ = rule_->idempotent_;
    max_attempts_ = rule_->max_attempts_;
    regions_ = {};
    restrict_to(regions_, rule_->allowed_regions_);
    if (account_ != nullptr)
    {
        restrict_to(regions_, account_->allowed_regions_);
    }
    work_ = worker_.work_of(*rule_);
    latency_objective_ = rule_->latency_objective_;
    lifecycle_.start(idempotent_);
    auto allowed = head.deadline_.value_or(service_->spec_.default_deadline_);
    if (rule_->timeout_.count() > 0.0)
    {
        allowed = std::min(allowed, rule_->timeout_);
    }
    deadline_ = std::min(started_at_ + allowed, worker_.calls_end_at());
    if (head.expects_continue_)
    {
        link_.output().append("HTTP/1.1 100 Continue\r\n\r\n");
        link_.flush();
    }
    return active_; // The flush may have shown that the caller has gone.
}

// Keeps the call pending until this VM has its configuration. Returns false if
// it may not wait.
bool proxied_call::await_configuration()
{
    if (came_from_vm_)
    {
        return false;
    }
    startup_wait_input input;
    input.started_at_ = worker_.started_at();
    input.arrived_ = started_at_;
    input.deadline_ =
        head_->deadline_ ? started_at_ + *head_->deadline_ : deadline_;
    const auto until = startup_wait_deadline(input);
    if (worker_.now() >= until)
    {
        return false;
    }
    awaits_configuration_ = true;
    deadline_ = until;
    worker_.await_configuration(link_.share_call());
    link_.update_timer();
    return true;
}

bool proxied_call::awaits_configuration() const
{
    return active_ && awaits_configuration_;
}

void proxied_call::resume()
{
    table_ = worker_.table();
    if (lacks_configuration() && !worker_.core().finishing_.load(relaxed))
    {
        return;
    }
    awaits_configuration_ = false;
    deadline_ = started_at_ + worker_.core().settings_.request_timeout_;
    const bool continues = prepare_call();
    link_.update_timer();
    if (continues && (request_complete_ || !wants_body()))
    {
        route_call();
    }
}

void proxied_call::assign_call_id()
{
    call_id_ = head_->call_id_;
    if (call_id_.empty())
    {
        call_id_ =
            absl::StrCat(absl::Hex(worker_.random_bits(), absl::kZeroPad16),
                         absl::Hex(worker_.random_bits(), absl::kZeroPad16));
    }
}

// Returns the reason if the call can't be served.
std::optional<error_kind> proxied_call::find_service()
{
    const auto& core = worker_.core();
    if (core.finishing_.load(relaxed))
    {
        return error_kind::vm_stopping;
    }
    if (head_->http_1_0_)
    {
        return error_kind::request_malformed;
    }
    if (table_->version_ == 0 ||
        (came_from_vm_ && head_->deployment_ != core.settings_.deployment_))
    {
        return error_kind::vm_not_ready;
    }
    // An unknown key is refused even if no targets are known yet.
    rule_ = table_->rules_->match(*head_);
    if (rule_ != nullptr)
    {
        if (const auto refusal = find_account())
        {
            return refusal;
        }
    }
    if (lacks_configuration())
    {
        return error_kind::vm_not_ready;
    }
    if (head_->depth_ > max_depth)
    {
        return error_kind::depth_exceeded;
    }
    service_ = rule_ == nullptr
                   ? nullptr
                   : table_->find_service(worker_.service_of(*rule_));
    if (service_ == nullptr)
    {
        return error_kind::service_unknown;
    }
    class_ = rule_->class_;
    if (account_ != nullptr)
    {
        class_ = account_->class_.value_or(class_);
    }
    worker_state_ = &worker_.worker_state_of(*service_);
    return std::nullopt;
}

// Finds the account of a call whose rule was found. Returns the reason if the
// call needs one and has none.
std::optional<error_kind> proxied_call::find_account()
{
    accounts_ = table_->accounts_;
    account_ = nullptr;
    if (came_from_vm_)
    {
        // The other VM has checked the key. If this VM doesn't know the
        // account, its release is another one; the other VM then serves the
        // call itself.
        const auto& name = head_->account_;
        account_ = accounts_ == nullptr ? nullptr
                                        : accounts_->table_.find_by_name(name);
        const bool needs_account = accounts_ != nullptr && !rule_->public_;
        const bool is_missing = needs_account || !name.empty();
        return account_ == nullptr && is_missing
                   ? std::optional<error_kind>(error_kind::vm_not_ready)
                   : std::nullopt;
    }
    if (accounts_ == nullptr)
    {
        return std::nullopt;
    }
    if (!head_->api_key_repeated_)
    {
        account_ = accounts_->table_.find_by_key(head_->api_key_);
    }
    return account_ == nullptr && !rule_->public_
               ? std::optional<error_kind>(error_kind::api_key_unknown)
               : std::nullopt;
}

// Returns whether this VM lacks its configuration: its rules, or all targets.
bool proxied_call::lacks_configuration() const
{
    if (table_->version_ == 0)
    {
        return true;
    }
    const auto& services = table_->services_;
    return !worker_.core().ready_.load(relaxed) &&
           std::all_of(services.begin(),
                       services.end(),
                       [](const auto& service)
                       {
                           return service.second.targets_.empty();
                       });
}

// Answers requests to paths that this VM serves itself. Returns whether it did.
bool proxied_call::answer_local_path()
{
    if (std::string_view(head_->target_).substr(0, local_path_prefix.size()) !=
        local_path_prefix)
    {
        return false;
    }
    if (head_->target_ != ready_path || head_->method_ != "GET")
    {
        assign_call_id();
        refuse(error_kind::service_unknown);
        return true;
    }
    answer_readiness_check();
    return true;
}

void proxied_call::answer_readiness_check()
{
    const auto& core = worker_.core();
    local_response response;
    if (core.draining_.load())
    {
        response.text_ = "stopping";
    }
    else if (!core.ready_.load())
    {
        response.text_ = "starting";
    }
    else
    {
        response.status_ = 200;
        response.text_ = "ready";
    }
    response.keep_alive_ = head_->keep_alive_ && core.accepting_.load();
    write_local_response(link_.output(), response, core.settings_.dialect_);
    lifecycle_.refuse();
    finish(response.keep_alive_);
}

} // namespace anvilturn
