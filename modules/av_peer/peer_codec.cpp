#include <av_peer/peer_codec.hpp>

#include <av_core/error.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

constexpr std::size_t text_limit_bytes = 256;
constexpr std::size_t list_limit = 1024;

capnp::Text::Reader to_text(const std::string& value)
{
    return {value.c_str(), value.size()};
}

std::string to_string(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void fill(capnp::List<std::uint64_t>::Builder list,
          const std::vector<std::uint64_t>& values)
{
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list.set(i, values[i]);
    }
}

std::vector<std::uint64_t> to_vector(capnp::List<std::uint64_t>::Reader list)
{
    std::vector<std::uint64_t> values;
    values.reserve(list.size());
    for (const std::uint64_t value : list)
    {
        values.push_back(value);
    }
    return values;
}

std::uint16_t to_uint16(std::uint64_t value)
{
    constexpr std::uint64_t largest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, largest));
}

std::uint16_t count_to_uint16(int value)
{
    return to_uint16(static_cast<std::uint64_t>(std::max(value, 0)));
}

void encode_heartbeats(const peer_message& message,
                       wire::Exchange::Builder builder)
{
    const auto& heartbeats = message.members_.heartbeats_;
    auto list =
        builder.initHeartbeats(static_cast<unsigned>(heartbeats.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const heartbeat& from = heartbeats[i];
        auto to = list[i];
        to.setIncarnation(from.incarnation_);
        to.setCounter(from.counter_);
        to.setState(from.leaving_ ? wire::MemberState::LEAVING
                                  : wire::MemberState::ALIVE);
        to.setReleaseLag(to_uint16(message.release_ -
                                   std::min(message.release_, from.release_)));
    }
}

void encode_descriptions(const peer_message& message,
                         wire::Exchange::Builder builder)
{
    const auto& descriptions = message.members_.descriptions_;
    auto list =
        builder.initDescriptions(static_cast<unsigned>(descriptions.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const vm_description& from = descriptions[i];
        auto to = list[i];
        to.setName(to_text(from.name_));
        to.setFailureDomain(to_text(from.failure_domain_));
        to.setIncarnation(from.incarnation_);
        to.setPeerAddress(to_text(from.peer_address_));
        to.setForwardAddress(to_text(from.forward_address_));
        to.setOperatorAddress(to_text(from.operator_address_));
    }
}

wire::NoticeKind to_wire(target_notice_kind kind)
{
    switch (kind)
    {
    case target_notice_kind::draining:
        return wire::NoticeKind::DRAINING;
    case target_notice_kind::serving:
        return wire::NoticeKind::SERVING;
    case target_notice_kind::probed:
        break;
    }
    return wire::NoticeKind::PROBED;
}

void encode_notices(const peer_message& message,
                    wire::Exchange::Builder builder)
{
    auto list =
        builder.initNotices(static_cast<unsigned>(message.notices_.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const target_notice& from = message.notices_[i].notice_;
        auto to = list[i];
        to.setIncarnation(message.notices_[i].incarnation_);
        to.setSequence(message.notices_[i].sequence_);
        to.setAgeMs(
            static_cast<std::uint32_t>(std::max(from.age_.count(), 0.0)));
        to.setTarget(to_text(from.target_));
        to.setSourceVm(to_text(from.source_vm_));
        to.setKind(to_wire(from.kind_));
        to.setBusySlots(count_to_uint16(from.load_.busy_slots_));
        to.setQueuedCalls(count_to_uint16(from.load_.queued_calls_));
        to.setSlots(count_to_uint16(from.load_.slots_));
        to.setReportsDraining(from.load_.draining_);
    }
}

bool is_short(capnp::Text::Reader text)
{
    return text.size() <= text_limit_bytes;
}

void decode_heartbeats(wire::Exchange::Reader reader, peer_message& message)
{
    for (const auto from : reader.getHeartbeats())
    {
        heartbeat to;
        to.incarnation_ = from.getIncarnation();
        to.counter_ = from.getCounter();
        to.leaving_ = from.getState() == wire::MemberState::LEAVING;
        to.release_ =
            message.release_ -
            std::min<release_version>(message.release_, from.getReleaseLag());
        message.members_.heartbeats_.push_back(to);
    }
}

bool decode_descriptions(wire::Exchange::Reader reader, peer_message& message)
{
    for (const auto from : reader.getDescriptions())
    {
        if (!is_short(from.getName()) || from.getName().size() == 0 ||
            !is_short(from.getFailureDomain()) ||
            !is_short(from.getPeerAddress()) ||
            !is_short(from.getForwardAddress()) ||
            !is_short(from.getOperatorAddress()))
        {
            return false;
        }
        vm_description to;
        to.name_ = to_string(from.getName());
        to.failure_domain_ = to_string(from.getFailureDomain());
        to.incarnation_ = from.getIncarnation();
        to.peer_address_ = to_string(from.getPeerAddress());
        to.forward_address_ = to_string(from.getForwardAddress());
        to.operator_address_ = to_string(from.getOperatorAddress());
        message.members_.descriptions_.push_back(std::move(to));
    }
    return true;
}

// A kind that this version does not know is dropped, so that VMs of two
// versions go on together.
bool decode_kind(wire::NoticeKind kind, target_notice_kind& to)
{
    switch (kind)
    {
    case wire::NoticeKind::DRAINING:
        to = target_notice_kind::draining;
        return true;
    case wire::NoticeKind::SERVING:
        to = target_notice_kind::serving;
        return true;
    case wire::NoticeKind::PROBED:
        to = target_notice_kind::probed;
        return true;
    }
    return false;
}

bool decode_notices(wire::Exchange::Reader reader, peer_message& message)
{
    for (const auto from : reader.getNotices())
    {
        if (!is_short(from.getTarget()) || !is_short(from.getSourceVm()))
        {
            return false;
        }
        sequenced_notice to;
        to.incarnation_ = from.getIncarnation();
        to.sequence_ = from.getSequence();
        to.notice_.age_ = milliseconds(from.getAgeMs());
        to.notice_.target_ = to_string(from.getTarget());
        to.notice_.source_vm_ = to_string(from.getSourceVm());
        to.notice_.load_.busy_slots_ = from.getBusySlots();
        to.notice_.load_.queued_calls_ = from.getQueuedCalls();
        to.notice_.load_.slots_ = from.getSlots();
        to.notice_.load_.draining_ = from.getReportsDraining();
        if (decode_kind(from.getKind(), to.notice_.kind_))
        {
            message.notices_.push_back(std::move(to));
        }
    }
    return true;
}

bool is_within_limits(wire::Exchange::Reader reader)
{
    return is_short(reader.getDeployment()) &&
           is_short(reader.getReleaseDigest()) &&
           reader.getHeartbeats().size() <= list_limit &&
           reader.getDescriptions().size() <= list_limit &&
           reader.getWanted().size() <= list_limit &&
           reader.getDoubted().size() <= list_limit &&
           reader.getNotices().size() <= list_limit;
}

} // namespace

void encode_message(const peer_message& message,
                    wire::Exchange::Builder builder)
{
    builder.setDeployment(to_text(message.deployment_));
    builder.setIncarnation(message.members_.incarnation_);
    builder.setReleaseVersion(message.release_);
    builder.setReleaseDigest(to_text(message.release_digest_));
    builder.setRefresh(message.refresh_);
    const auto& wanted = message.members_.missing_descriptions_;
    fill(builder.initWanted(static_cast<unsigned>(wanted.size())), wanted);
    const auto& doubted = message.members_.suspected_members_;
    fill(builder.initDoubted(static_cast<unsigned>(doubted.size())), doubted);
    encode_heartbeats(message, builder);
    encode_descriptions(message, builder);
    encode_notices(message, builder);
}

absl::StatusOr<peer_message> decode_message(wire::Exchange::Reader reader)
{
    if (!is_within_limits(reader))
    {
        return make_error(error_kind::peer_malformed,
                          "a list or text of a peer message is too long");
    }
    peer_message message;
    message.deployment_ = to_string(reader.getDeployment());
    message.members_.incarnation_ = reader.getIncarnation();
    message.release_ = reader.getReleaseVersion();
    message.release_digest_ = to_string(reader.getReleaseDigest());
    message.refresh_ = reader.getRefresh();
    message.members_.missing_descriptions_ = to_vector(reader.getWanted());
    message.members_.suspected_members_ = to_vector(reader.getDoubted());
    decode_heartbeats(reader, message);
    if (!decode_descriptions(reader, message) ||
        !decode_notices(reader, message))
    {
        return make_error(error_kind::peer_malformed,
                          "a name or address in a peer message is too long");
    }
    return message;
}

void encode_document(const release_document& document,
                     wire::ReleaseDocument::Builder builder)
{
    builder.setVersion(document.version_);
    builder.setDigest(to_text(document.digest_));
    builder.setDocument(capnp::Data::Reader(
        reinterpret_cast<const kj::byte*>(document.text_.data()),
        document.text_.size()));
}

absl::StatusOr<release_document>
decode_document(wire::ReleaseDocument::Reader reader)
{
    if (!is_short(reader.getDigest()))
    {
        return make_error(error_kind::peer_malformed,
                          "the digest of a release is too long");
    }
    release_document document;
    document.version_ = reader.getVersion();
    document.digest_ = to_string(reader.getDigest());
    const auto bytes = reader.getDocument();
    document.text_.assign(reinterpret_cast<const char*>(bytes.begin()),
                          bytes.size());
    return document;
}

} // namespace anvilturn
