#include <av_proxy/exchange_queue.hpp>

#include <av_proxy/worker.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

// Requests of one connection whose calls may run at once.
constexpr std::size_t max_exchanges = 4;

} // namespace

exchange_queue::exchange_queue(worker& owner,
                               caller_connection& connection,
                               bool from_vm)
    : worker_(owner)
    , connection_(connection)
    , from_vm_(from_vm)
{
    add();
}

caller_exchange& exchange_queue::first()
{
    return *exchanges_.front();
}

const caller_exchange& exchange_queue::first() const
{
    return *exchanges_.front();
}

caller_exchange& exchange_queue::last()
{
    return *exchanges_.back();
}

const caller_exchange& exchange_queue::last() const
{
    return *exchanges_.back();
}

bool exchange_queue::is_first(const caller_exchange& exchange) const
{
    return &first() == &exchange;
}

bool exchange_queue::is_last(const caller_exchange& exchange) const
{
    return &last() == &exchange;
}

bool exchange_queue::is_unused() const
{
    return exchanges_.size() == 1 && first().is_unused();
}

bool exchange_queue::may_begin(const caller_exchange& exchange,
                               const request_head& head) const
{
    if (is_first(exchange))
    {
        return true;
    }
    const auto* rule = worker_.table()->rules_->match(head);
    return rule != nullptr && rule->idempotent_;
}

caller_exchange* exchange_queue::exchange_to_read(std::size_t unsent_bytes)
{
    if (last().is_complete())
    {
        if (!may_add(unsent_bytes))
        {
            return nullptr;
        }
        add();
    }
    return last().wants_input() ? &last() : nullptr;
}

bool exchange_queue::may_add(std::size_t unsent_bytes) const
{
    const auto& core = worker_.core();
    const bool may_follow = exchanges_.size() < max_exchanges &&
                            last().may_be_followed() && !core.draining_.load();
    if (!may_follow)
    {
        return false;
    }
    auto buffered = unsent_bytes;
    for (const auto& exchange : exchanges_)
    {
        buffered += exchange->buffered_bytes();
    }
    return buffered <= core.settings_.relay_buffer_bytes_;
}

void exchange_queue::add()
{
    if (spare_exchanges_.empty())
    {
        exchanges_.push_back(
            std::make_unique<caller_exchange>(worker_, connection_, from_vm_));
        return;
    }
    exchanges_.push_back(std::move(spare_exchanges_.back()));
    spare_exchanges_.pop_back();
    last().reset();
}

void exchange_queue::end_first()
{
    if (exchanges_.size() == 1)
    {
        first().reset();
        return;
    }
    spare_exchanges_.push_back(std::move(exchanges_.front()));
    exchanges_.pop_front();
    first().become_first();
}

void exchange_queue::disconnect()
{
    for (const auto& exchange : exchanges_)
    {
        exchange->call().on_caller_disconnected();
    }
}

void exchange_queue::limit_deadlines(milliseconds latest)
{
    for (const auto& exchange : exchanges_)
    {
        exchange->call().limit_deadline(latest);
    }
}

std::optional<milliseconds> exchange_queue::due() const
{
    std::optional<milliseconds> earliest;
    for (const auto& exchange : exchanges_)
    {
        const auto& call = exchange->call();
        if (call.is_active())
        {
            earliest = std::min(earliest.value_or(call.due()), call.due());
        }
    }
    return earliest;
}

bool exchange_queue::end_overdue_call(milliseconds now)
{
    for (const auto& exchange : exchanges_)
    {
        auto& call = exchange->call();
        if (call.is_active() && now >= call.due())
        {
            call.on_timeout(); // May change the queue.
            return true;
        }
    }
    return false;
}

} // namespace anvilturn
