// Private to av_replication.

#ifndef AV_REPLICATION_UPDATE_COMPOSER_HPP
#define AV_REPLICATION_UPDATE_COMPOSER_HPP

#include <av_core/milliseconds.hpp>
#include <av_replication/registry_log.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilturn
{

// An encoded message, which several subscribers may be sent.
using shared_frame = std::shared_ptr<const std::string>;

// Composes the messages of a watcher to its subscribers from what it knows of
// the store. No I/O.
class update_composer
{
public:
    // The failure domain is that of this VM. The function returns the time
    // since the contents that this VM reads from the store were certainly
    // complete.
    update_composer(std::string failure_domain,
                    std::function<milliseconds()> contents_age);

    // The function returns the time since the contents that this VM has read
    // or got from a watcher were certainly complete. Not reported, if this is
    // not called.
    void set_relayed_contents_age(std::function<milliseconds()> age);
    // The function returns the time since the store last answered this VM or a
    // watcher that it follows. Not reported, if this is not called.
    void set_answer_age(std::function<milliseconds()> age);

    void set_targets(const std::map<std::string, registered_target>& targets,
                     store_revision revision);
    void set_release(std::shared_ptr<const release> value);
    // The standbys are named in first messages; never, if this is not called.
    void set_standbys(std::vector<std::string> standbys);
    // The state is not complete before the evacuations are known; otherwise
    // they are never named.
    void require_evacuations();
    // The evacuated failure domains are named in first messages.
    void set_evacuations(std::set<std::string> domains);

    // Returns the position that the current contents have.
    replication_position position() const;

    // Returns the position of a subscriber that was at the given one and has
    // been sent all that it lacked.
    replication_position
    position_after_update(const replication_position& subscriber) const;

    // Returns whether a release, a listing of the targets and, if required, the
    // evacuations are known.
    bool has_complete_state() const;

    // Returns a message with what follows the position.
    shared_frame update_since(const replication_position& since) const;

    // Returns the first message to a subscriber at the position. Subscribers
    // that need a snapshot share one until the contents change or it is too
    // old.
    shared_frame first_update_since(const replication_position& since);

    // Returns a message with this VM's failure domain and the ages, without
    // contents.
    shared_frame status_report() const;

private:
    struct shared_snapshot
    {
        shared_frame frame_;
        milliseconds expires_at_;
    };

    shared_frame compose_first_update(const replication_position& since,
                                      milliseconds delay) const;
    shared_frame encode(registry_update update, milliseconds delay) const;

    // Sets the ages as of the end of the delay.
    void set_ages(registry_update& update, milliseconds delay) const;

    const std::function<milliseconds()> measure_contents_age_;
    std::function<milliseconds()> measure_relayed_contents_age_;
    std::function<milliseconds()> measure_answer_age_;
    registry_log log_;
    std::optional<std::vector<std::string>> standbys_;
    bool requires_evacuations_ = false;
    std::optional<std::set<std::string>> evacuated_domains_;
    // The last snapshots, without and with the release; none if the contents
    // have changed since.
    std::array<shared_snapshot, 2> snapshots_;
};

} // namespace anvilturn

#endif
