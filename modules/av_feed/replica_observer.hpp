// Private to av_feed.

#ifndef AV_FEED_REPLICA_OBSERVER_HPP
#define AV_FEED_REPLICA_OBSERVER_HPP

#include <av_feed/store_replica.hpp>
#include <av_feed/store_session.hpp>

#include <string>

namespace anvilturn
{

// Returns callbacks that apply what the session reads from the store to the
// replica, of the releases only the one with that name. Both must outlive them;
// the session may be created later.
store_observer replica_observer(store_replica& replica,
                                const store_session& session,
                                const std::string& release_name);

} // namespace anvilturn

#endif
