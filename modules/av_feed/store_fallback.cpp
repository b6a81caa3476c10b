#include <av_feed/store_fallback.hpp>

#include <av_core/log_event.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

// Time without updates from a watcher after which a VM reads the store itself.
// It is longer at startup, when the watchers may be starting too.
constexpr milliseconds store_fallback_delay_at_startup{1500.0};
constexpr milliseconds store_fallback_delay{300.0};
// A VM that starts waits up to this long in all while a snapshot from a watcher
// is arriving. If many VMs start at once, the snapshots fill the watchers'
// links for a while, and listings for each VM would fill the store's.
constexpr milliseconds max_snapshot_wait_at_startup{6000.0};
// A standby asks the store once its watcher's contents are this old, so that it
// has the store's contents when other VMs leave the watcher.
constexpr milliseconds standby_takeover_age{900.0};

} // namespace

store_fallback::store_fallback(boost::asio::io_context& context,
                               store_session& store,
                               store_replica& replica,
                               std::function<bool()> is_receiving_snapshot)
    : store_(store)
    , replica_(replica)
    , is_receiving_snapshot_(std::move(is_receiving_snapshot))
    , timer_(context)
{
}

void store_fallback::start()
{
    schedule(store_fallback_delay_at_startup);
}

void store_fallback::record_updates()
{
    receives_updates_ = true;
    timer_.cancel();
    store_.stop();
}

void store_fallback::record_update_loss()
{
    receives_updates_ = false;
    schedule(is_standby_ ? milliseconds(0.0) : store_fallback_delay);
}

bool store_fallback::is_standby() const
{
    return is_standby_;
}

void store_fallback::set_standby(bool is_standby, const std::string& watcher)
{
    if (std::exchange(is_standby_, is_standby) == is_standby)
    {
        return;
    }
    // Subscribers depend on how recent its contents are, like a watcher's.
    store_.set_intervals(is_standby ? watcher_call_intervals
                                    : subscriber_call_intervals);
    log_event(log_level::info, "standby_changed")
        .field("standby", is_standby)
        .field("watcher", watcher)
        .write();
    if (is_standby)
    {
        // Publishing continues after this VM stops being a standby, since
        // subscribers may remain.
        replica_.start_publishing();
    }
}

void store_fallback::prepare_takeover(milliseconds contents_age)
{
    if (!is_standby_)
    {
        return;
    }
    const bool takes_over = contents_age > standby_takeover_age;
    if (takes_over && !store_.is_running())
    {
        log_event(log_level::info, "standby_takeover")
            .field("contents_age_ms", contents_age.count())
            .write();
        store_.start_with_check();
    }
    else if (!takes_over && receives_updates_ && store_.is_running())
    {
        store_.stop();
    }
}

void store_fallback::schedule(milliseconds time)
{
    timer_.start(time,
                 [this]
                 {
                     follow_store();
                 });
}

void store_fallback::follow_store()
{
    if (receives_updates_ || store_.is_running())
    {
        return;
    }
    if (awaits_first_snapshot())
    {
        schedule(store_fallback_delay);
        return;
    }
    log_event(log_level::info, "store_followed").write();
    store_.start_with_check();
}

// Returns whether the first contents of this VM are arriving, and not for too
// long.
bool store_fallback::awaits_first_snapshot() const
{
    return replica_.revision() == 0 && is_receiving_snapshot_() &&
           monotonic_now() - started_at_ < max_snapshot_wait_at_startup;
}

} // namespace anvilturn
