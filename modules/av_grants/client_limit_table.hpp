#ifndef AV_GRANTS_CLIENT_LIMIT_TABLE_HPP
#define AV_GRANTS_CLIENT_LIMIT_TABLE_HPP

#include <av_core/milliseconds.hpp>
#include <av_grants/permit_client_state.hpp>
#include <av_quota/limit_key.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>

namespace anvilturn
{

// The limits of which a permit client has state, a bounded number.
class client_limit_table
{
public:
    // Returns null if there is none.
    std::shared_ptr<client_limit> find(const limit_key& key) const;

    // Adds the limit, in place of idle ones if the table is full. Returns
    // whether there was room for it.
    bool add(const std::shared_ptr<client_limit>& limit, milliseconds now);

    std::size_t size() const;
    void clear();

private:
    void evict_idle(milliseconds now);

    absl::flat_hash_map<limit_key, std::shared_ptr<client_limit>> limits_;
    milliseconds evicted_at_{0.0};
};

} // namespace anvilturn

#endif
