#ifndef AV_GRANTS_GRANTOR_POOL_HPP
#define AV_GRANTS_GRANTOR_POOL_HPP

// Internal to this module, since it includes Asio headers.

#include <av_core/milliseconds.hpp>
#include <av_grants/grantor_connection.hpp>
#include <av_grants/permit_client_state.hpp>
#include <av_grants/permit_counters.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// What a grantor pool reports, from the event loop. The handlers must not call
// the pool, except for is_skipped and has_unreachable.
struct grantor_pool_handlers
{
    // A reply with one entry for each request. If the query timed out,
    // on_failure_ was called for it before.
    std::function<void(
        std::size_t grantor, const open_query&, const permit_reply&)>
        on_reply_;
    // A query that the grantor has not responded to in time.
    std::function<void(const open_query&)> on_failure_;
};

// The connections of a permit client to the grantors, which are identified by
// their indices, and whether these can be reached.
class grantor_pool : public std::enable_shared_from_this<grantor_pool>
{
public:
    grantor_pool(boost::asio::io_context& context,
                 const std::vector<std::string>& addresses,
                 std::shared_ptr<permit_counters> counters,
                 grantor_pool_handlers handlers);

    // Returns whether other grantors should be asked instead: the grantor can't
    // be reached. One query at a time tries whether it can be reached again, so
    // that few calls wait for this.
    bool is_skipped(std::size_t grantor, milliseconds now) const;

    // Returns whether any grantor can't be reached.
    bool has_unreachable() const;

    // Sends a query, over a new connection if there is none.
    void send(std::size_t grantor, open_query query);

    // Closes the connections; no handler is called from then on.
    void stop();

private:
    struct member
    {
        std::string address_;
        // Empty if the address is not valid.
        std::optional<boost::asio::ip::tcp::endpoint> endpoint_;
        // Null if there is no connection.
        std::shared_ptr<grantor_connection> connection_;
        milliseconds used_at_{0.0};
        // Whether it did not respond when it was last asked; then it is not
        // asked before retry_at_.
        bool is_unreachable_ = false;
        milliseconds retry_at_{0.0};
        // By their ids, which increase.
        std::map<std::uint64_t, open_query> queries_;
    };

    static bool has_pending_query(const member& grantor);
    void connect_if_needed(std::size_t index, milliseconds now);
    void on_reply(std::size_t index, const permit_reply& reply);
    void on_end(std::size_t index, const std::string& reason);
    void fail(member& grantor,
              const open_query& query,
              const std::string& reason,
              milliseconds now);
    void schedule_timeout(milliseconds now);
    void on_timer();

    boost::asio::io_context& context_;
    const std::shared_ptr<permit_counters> counters_;
    const grantor_pool_handlers handlers_;
    boost::asio::steady_timer timer_;
    std::optional<milliseconds> timer_due_at_;
    bool is_stopped_ = false;
    std::vector<member> members_;
    std::uint64_t last_query_id_ = 0;
};

} // namespace anvilturn

#endif
