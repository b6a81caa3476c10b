#include <av_replication/update_composer.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_replication/update_codec.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace anvilturn
{
namespace
{

// Composing a snapshot takes long with many targets, and many VMs request one
// at the same time when they start or lose their watcher.
constexpr milliseconds snapshot_lifetime{100.0};
// Reported while the store's contents are not completely known, so that
// subscribers don't rely on this watcher.
constexpr milliseconds unknown_contents_age{1e9};
constexpr milliseconds no_delay{0.0};

std::uint64_t random_epoch()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

} // namespace

update_composer::update_composer(std::string failure_domain,
                                 std::function<milliseconds()> contents_age)
    : measure_contents_age_(std::move(contents_age))
{
    log_.epoch_ = random_epoch();
    log_.failure_domain_ = std::move(failure_domain);
}

void update_composer::set_relayed_contents_age(
    std::function<milliseconds()> age)
{
    measure_relayed_contents_age_ = std::move(age);
}

void update_composer::set_answer_age(std::function<milliseconds()> age)
{
    measure_answer_age_ = std::move(age);
}

void update_composer::set_targets(
    const std::map<std::string, registered_target>& targets,
    store_revision revision)
{
    snapshots_ = {};
    record_targets(log_, targets, revision);
}

void update_composer::set_release(std::shared_ptr<const release> value)
{
    snapshots_ = {};
    record_release(log_, std::move(value));
}

void update_composer::set_standbys(std::vector<std::string> standbys)
{
    snapshots_ = {};
    standbys_ = std::move(standbys);
}

void update_composer::require_evacuations()
{
    requires_evacuations_ = true;
}

void update_composer::set_evacuations(std::set<std::string> domains)
{
    snapshots_ = {};
    evacuated_domains_ = std::move(domains);
}

replication_position update_composer::position() const
{
    replication_position result;
    result.epoch_ = log_.epoch_;
    result.sequence_ = log_.sequence_;
    result.release_version_ = log_.release_ ? log_.release_->version_ : 0;
    return result;
}

replication_position update_composer::position_after_update(
    const replication_position& subscriber) const
{
    auto result = position();
    result.release_version_ =
        std::max(result.release_version_, subscriber.release_version_);
    result.peer_address_ = subscriber.peer_address_;
    return result;
}

bool update_composer::has_complete_state() const
{
    return log_.release_ && log_.store_revision_ > 0 &&
           (!requires_evacuations_ || evacuated_domains_);
}

shared_frame
update_composer::update_since(const replication_position& since) const
{
    return encode(anvilturn::update_since(log_, since), no_delay);
}

shared_frame
update_composer::first_update_since(const replication_position& since)
{
    if (!needs_snapshot(log_, since))
    {
        return compose_first_update(since, no_delay);
    }
    const auto now = monotonic_now();
    auto& shared = snapshots_[lacks_release(log_, since) ? 1 : 0];
    if (!shared.frame_ || now >= shared.expires_at_)
    {
        shared.frame_ = compose_first_update(since, snapshot_lifetime);
        shared.expires_at_ = now + snapshot_lifetime;
    }
    return shared.frame_;
}

shared_frame update_composer::status_report() const
{
    registry_update update;
    update.failure_domain_ = log_.failure_domain_;
    if (has_complete_state())
    {
        set_ages(update, no_delay);
    }
    else
    {
        update.contents_age_ = unknown_contents_age;
    }
    return std::make_shared<const std::string>(write_update(update));
}

// Returns a message that may be sent until the delay is over.
shared_frame
update_composer::compose_first_update(const replication_position& since,
                                      milliseconds delay) const
{
    auto update = anvilturn::update_since(log_, since);
    update.standbys_ = standbys_;
    update.evacuated_domains_ = evacuated_domains_;
    return encode(std::move(update), delay);
}

shared_frame update_composer::encode(registry_update update,
                                     milliseconds delay) const
{
    set_ages(update, delay);
    return std::make_shared<const std::string>(write_update(update));
}

void update_composer::set_ages(registry_update& update,
                               milliseconds delay) const
{
    update.contents_age_ = measure_contents_age_() + delay;
    if (measure_relayed_contents_age_)
    {
        update.relayed_contents_age_ = measure_relayed_contents_age_() + delay;
    }
    if (measure_answer_age_)
    {
        update.answer_age_ = measure_answer_age_() + delay;
    }
}

} // namespace anvilturn
