#include <av_grants/grant_codec.hpp>

#include <av_grants/grant.capnp.h>
#include <av_net/capnp_frame.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

// False for numbers that are not finite, too.
bool is_grant_time(double milliseconds_count)
{
    return milliseconds_count >= 0.0 &&
           milliseconds_count <= max_grant_time.count();
}

absl::StatusOr<permit_query> read_requests(wire::PermitQuery::Reader reader)
{
    permit_query query;
    query.id_ = reader.getId();
    const auto requests = reader.getRequests();
    if (requests.size() > max_requests_per_query)
    {
        return malformed_message("too many requests for permits");
    }
    query.requests_.reserve(requests.size());
    for (const auto entry : requests)
    {
        permit_request request;
        request.key_.kind_ = static_cast<limit_kind>(entry.getKind());
        request.key_.name_ = to_string(entry.getName());
        request.wanted_ = entry.getWanted();
        request.may_use_reserve_ = entry.getMayUseReserve();
        if (request.wanted_ < 1 || request.wanted_ > max_permits_per_request)
        {
            return malformed_message("number of permits out of range");
        }
        query.requests_.push_back(std::move(request));
    }
    return query;
}

absl::StatusOr<permit_reply> read_grants(wire::PermitReply::Reader reader)
{
    permit_reply reply;
    reply.id_ = reader.getId();
    const auto grants = reader.getGrants();
    if (grants.size() > max_requests_per_query)
    {
        return malformed_message("too many grants");
    }
    reply.entries_.reserve(grants.size());
    for (const auto grant : grants)
    {
        permit_reply_entry entry;
        entry.known_ = grant.getKnown();
        entry.grant_.permits_ = grant.getPermits();
        entry.grant_.lease_ = milliseconds(grant.getLeaseMs());
        entry.grant_.retry_after_ = milliseconds(grant.getRetryAfterMs());
        if (entry.grant_.permits_ < 0 ||
            entry.grant_.permits_ > max_permits_per_request ||
            !is_grant_time(grant.getLeaseMs()) ||
            !is_grant_time(grant.getRetryAfterMs()))
        {
            return malformed_message("grant out of range");
        }
        reply.entries_.push_back(entry);
    }
    return reply;
}

} // namespace

std::string write_query(const permit_query& query)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::PermitQuery>();
    builder.setId(query.id_);
    auto requests =
        builder.initRequests(static_cast<unsigned>(query.requests_.size()));
    for (unsigned i = 0; i < requests.size(); ++i)
    {
        const auto& request = query.requests_[i];
        requests[i].setKind(static_cast<std::uint8_t>(request.key_.kind_));
        requests[i].setName(to_text(request.key_.name_));
        requests[i].setWanted(request.wanted_);
        requests[i].setMayUseReserve(request.may_use_reserve_);
    }
    return to_frame(message);
}

std::string write_reply(const permit_reply& reply)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::PermitReply>();
    builder.setId(reply.id_);
    auto grants =
        builder.initGrants(static_cast<unsigned>(reply.entries_.size()));
    for (unsigned i = 0; i < grants.size(); ++i)
    {
        const auto& entry = reply.entries_[i];
        grants[i].setKnown(entry.known_);
        grants[i].setPermits(entry.grant_.permits_);
        grants[i].setLeaseMs(entry.grant_.lease_.count());
        grants[i].setRetryAfterMs(entry.grant_.retry_after_.count());
    }
    return to_frame(message);
}

absl::StatusOr<permit_query> read_query(std::string_view bytes)
{
    return read_message<permit_query>(
        bytes,
        max_grant_message_bytes,
        [](capnp::MessageReader& message)
        {
            return read_requests(message.getRoot<wire::PermitQuery>());
        });
}

absl::StatusOr<permit_reply> read_reply(std::string_view bytes)
{
    return read_message<permit_reply>(
        bytes,
        max_grant_message_bytes,
        [](capnp::MessageReader& message)
        {
            return read_grants(message.getRoot<wire::PermitReply>());
        });
}

} // namespace anvilturn
