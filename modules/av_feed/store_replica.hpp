// Private to av_feed.

#ifndef AV_FEED_STORE_REPLICA_HPP
#define AV_FEED_STORE_REPLICA_HPP

#include <av_core/milliseconds.hpp>
#include <av_feed/registry_control.hpp>
#include <av_net/callback_timer.hpp>
#include <av_registry/evacuated_domains.hpp>
#include <av_registry/target_registry.hpp>
#include <av_replication/registry_publisher.hpp>
#include <av_replication/registry_update.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// What a VM holds of the store: the release, the registered targets and, if it
// follows them, the evacuated failure domains. Applies what the store or a
// watcher reports, and passes changes on to the VM's handlers and, if it
// publishes, to subscribers. Runs on the thread of the io_context only.
class store_replica
{
public:
    // The publisher must outlive the replica.
    store_replica(boost::asio::io_context& context,
                  registry_publisher& publisher,
                  registry_handlers handlers,
                  milliseconds target_heartbeat_interval);

    // Passes evacuations on, and holds the targets back until they are known,
    // so that no call is sent to an evacuated one. Called first, if at all.
    void follow_evacuations();

    // Keeps contents for subscribers from now on, which takes time and memory
    // with each change.
    void start_publishing();

    // Records that the store has answered; called before its answer is applied.
    void record_answer(milliseconds answered_at);

    // The targets are known to have no further changes up to the revision.
    void record_revision(store_revision revision);

    // Ignores a release that is not newer than the one in force.
    void apply_release(std::shared_ptr<const release> value);
    // Apply what the store lists, or the changes that it reports, up to the
    // revision.
    void apply_listing(const std::vector<listed_target>& objects,
                       store_revision revision);
    void apply_changes(const std::vector<target_change>& changes,
                       store_revision revision);
    // Apply the evacuations that the store lists, or the changes that it
    // reports, up to the revision.
    void apply_evacuation_listing(
        const std::vector<listed_object<evacuation_spec>>& objects,
        store_revision revision);
    void apply_evacuation_changes(
        const std::vector<object_change<evacuation_spec>>& changes,
        store_revision revision);
    // Applies an update of a watcher.
    void apply_update(const registry_update& update);

    // Version of the release in force, zero if there is none.
    release_version version() const;
    // Revision of the store up to which the targets are known.
    store_revision revision() const;
    // Sets what the state tells of the contents.
    void describe(registry_state& state) const;

private:
    void apply_evacuations(domain_set domains, store_revision revision);
    void publish_contents();
    void publish_to_subscribers();
    void publish_to_handlers();
    void schedule_expiry();

    registry_publisher& publisher_;
    const registry_handlers handlers_;
    callback_timer expiry_timer_;
    bool publishes_ = false;
    std::shared_ptr<const release> release_;
    milliseconds release_at_;
    target_registry registry_;
    milliseconds targets_at_;
    // Whether the targets are known.
    bool has_targets_ = false;
    store_revision revision_ = 0;
    bool follows_evacuations_ = false;
    // Nothing until they are known.
    std::optional<domain_set> evacuated_domains_;
    // What the handlers were told last.
    std::map<std::string, target_spec> published_;
};

} // namespace anvilturn

#endif
