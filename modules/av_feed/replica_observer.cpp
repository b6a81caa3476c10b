#include <av_feed/replica_observer.hpp>

#include <av_core/monotonic_clock.hpp>

#include <memory>
#include <vector>

namespace anvilturn
{

store_observer replica_observer(store_replica& replica,
                                const store_session& session,
                                const std::string& release_name)
{
    store_observer result;
    result.on_releases_ =
        [&replica,
         release_name](const std::vector<listed_object<release>>& objects)
    {
        for (const auto& object : objects)
        {
            if (object.name_ == release_name && object.value_)
            {
                replica.apply_release(
                    std::make_shared<const release>(*object.value_));
            }
        }
    };
    result.on_target_listing_ =
        [&replica, &session](const std::vector<listed_target>& objects)
    {
        replica.apply_listing(objects, session.target_revision());
    };
    result.on_target_changes_ =
        [&replica, &session](const std::vector<target_change>& changes)
    {
        replica.apply_changes(changes, session.target_revision());
    };
    result.on_evacuation_listing_ =
        [&replica,
         &session](const std::vector<listed_object<evacuation_spec>>& objects)
    {
        replica.apply_evacuation_listing(objects,
                                         session.evacuation_revision());
    };
    result.on_evacuation_changes_ =
        [&replica,
         &session](const std::vector<object_change<evacuation_spec>>& changes)
    {
        replica.apply_evacuation_changes(changes,
                                         session.evacuation_revision());
    };
    result.on_answer_ = [&replica]
    {
        replica.record_answer(monotonic_now());
    };
    return result;
}

} // namespace anvilturn
