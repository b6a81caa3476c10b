#include <av_peer/peer_clients.hpp>

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_peer/counting_stream.hpp>
#include <av_peer/peer_address.hpp>
#include <av_peer/peer_codec.hpp>

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

kj::Duration to_duration(milliseconds time)
{
    return static_cast<std::int64_t>(time.count()) * kj::MILLISECONDS;
}

wire::Peer::Client
bootstrap_of(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc)
{
    capnp::MallocMessageBuilder builder;
    auto vat = builder.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<wire::Peer>();
}

absl::Status refusal_status(wire::Refusal refusal, const std::string& address)
{
    switch (refusal)
    {
    case wire::Refusal::NONE:
        return absl::OkStatus();
    case wire::Refusal::OTHER_DEPLOYMENT:
        return make_error(error_kind::peer_other_deployment,
                          address + " refused a call from another deployment");
    case wire::Refusal::MALFORMED:
        return make_error(error_kind::peer_malformed,
                          address + " reported a malformed call");
    case wire::Refusal::UNAVAILABLE:
        break;
    }
    return make_error(error_kind::peer_unreachable,
                      address + " can't serve the call at present");
}

} // namespace

// One connection to a peer. Members are destroyed in reverse order, the RPC
// system before its stream. Calls may be started before the connection is
// established; their writes wait until then.
struct peer_connection
{
    peer_connection(std::string address,
                    kj::Own<kj::AsyncIoStream> stream,
                    peer_counters& counters,
                    const capnp::ReaderOptions& limits)
        : address_(std::move(address))
        , stream_(kj::mv(stream), counters)
        , network_(stream_, capnp::rpc::twoparty::Side::CLIENT, limits)
        , rpc_(capnp::makeRpcClient(network_))
        , peer_(bootstrap_of(rpc_))
    {
    }

    std::string address_;
    kj::TimePoint last_call_ = kj::origin<kj::TimePoint>();
    counting_stream stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
    wire::Peer::Client peer_;
};

peer_clients::peer_clients(kj::Timer& timer,
                           kj::Network& network,
                           const peer_options& options,
                           peer_counters& counters)
    : timer_(timer)
    , network_(network)
    , options_(options)
    , counters_(counters)
    , tasks_(*this)
{
}

peer_clients::~peer_clients() = default;

void peer_clients::exchange(const std::string& address,
                            const peer_message& message,
                            const peer_endpoint::callback<peer_message>& done)
{
    auto connection = find_or_connect(address);
    if (!connection.ok())
    {
        done(std::move(connection).status());
        return;
    }
    auto request = (*connection)->peer_.exchangeRequest();
    encode_message(message, request.initRequest());
    using result = absl::StatusOr<peer_message>;
    auto reply = std::make_shared<peer_message>();
    auto call = request.send().then(
        [this, address, reply](auto&& response) -> absl::Status
        {
            auto status = refusal_status(response.getRefusal(), address);
            if (!status.ok())
            {
                return status;
            }
            auto decoded = decode_message(response.getReply());
            if (!decoded.ok())
            {
                return decoded.status();
            }
            if (decoded->deployment_ != options_.deployment_)
            {
                return make_error(error_kind::peer_other_deployment,
                                  address + " replied for another deployment");
            }
            *reply = *std::move(decoded);
            return absl::OkStatus();
        });
    run_with_timeout(*connection,
                     kj::mv(call),
                     options_.call_timeout_,
                     [reply, done](absl::Status status)
                     {
                         done(status.ok() ? result(std::move(*reply))
                                          : result(std::move(status)));
                     });
}

void peer_clients::push_update(const std::string& address,
                               const peer_message& message,
                               const std::function<void(absl::Status)>& done)
{
    auto connection = find_or_connect(address);
    if (!connection.ok())
    {
        done(std::move(connection).status());
        return;
    }
    auto request = (*connection)->peer_.pushNewsRequest();
    encode_message(message, request.initNews());
    auto call = request.send().then(
        [address](auto&& response)
        {
            return refusal_status(response.getRefusal(), address);
        });
    run_with_timeout(*connection, kj::mv(call), options_.call_timeout_, done);
}

void peer_clients::fetch_release(
    const std::string& address,
    release_version version,
    const peer_endpoint::callback<release_document>& done)
{
    auto connection = find_or_connect(address);
    if (!connection.ok())
    {
        done(std::move(connection).status());
        return;
    }
    auto request = (*connection)->peer_.fetchReleaseRequest();
    const std::string& local_deployment = options_.deployment_;
    request.setDeployment(
        capnp::Text::Reader(local_deployment.c_str(), local_deployment.size()));
    request.setVersion(version);
    using result = absl::StatusOr<release_document>;
    auto document = std::make_shared<release_document>();
    auto call = request.send().then(
        [address, document](auto&& response) -> absl::Status
        {
            auto status = refusal_status(response.getRefusal(), address);
            if (!status.ok())
            {
                return status;
            }
            auto decoded = decode_document(response.getRelease());
            if (!decoded.ok())
            {
                return decoded.status();
            }
            *document = *std::move(decoded);
            return absl::OkStatus();
        });
    run_with_timeout(*connection,
                     kj::mv(call),
                     options_.fetch_timeout_,
                     [document, done](absl::Status status)
                     {
                         done(status.ok() ? result(std::move(*document))
                                          : result(std::move(status)));
                     });
}

absl::StatusOr<std::shared_ptr<peer_connection>>
peer_clients::find_or_connect(const std::string& address)
{
    const auto found = connections_.find(address);
    if (found != connections_.end())
    {
        return found->second;
    }
    auto parsed = parse_peer_address(network_, address);
    if (!parsed.ok())
    {
        ++counters_.calls_failed_;
        return parsed.status();
    }
    if (connections_.size() >= options_.connection_limit_)
    {
        close_least_recently_used();
    }
    capnp::ReaderOptions limits;
    limits.traversalLimitInWords =
        options_.release_limit_bytes_ / sizeof(capnp::word);
    auto stream = (*parsed)->connect().attach(kj::mv(*parsed));
    auto connection = std::make_shared<peer_connection>(
        address, kj::newPromisedStream(kj::mv(stream)), counters_, limits);
    connections_[address] = connection;
    return connection;
}

// The status is moved to the callback, which passes it to another thread.
void peer_clients::run_with_timeout(
    const std::shared_ptr<peer_connection>& connection,
    kj::Promise<absl::Status> call,
    milliseconds limit,
    const std::function<void(absl::Status)>& done)
{
    ++counters_.calls_sent_;
    connection->last_call_ = timer_.now();
    auto limited = timer_.timeoutAfter(to_duration(limit), kj::mv(call));
    tasks_.add(limited.then(
        [this, done](absl::Status&& status)
        {
            counters_.calls_failed_ += status.ok() ? 0U : 1U;
            done(std::move(status));
        },
        [this, connection, done](kj::Exception&& exception)
        {
            ++counters_.calls_failed_;
            close_connection(connection);
            done(make_error(error_kind::peer_unreachable,
                            connection->address_ + ": " +
                                exception.getDescription().cStr()));
        }));
}

// The connection is destroyed by a later task of the event loop, because this
// function may run inside one of the connection's own continuations.
void peer_clients::close_connection(
    const std::shared_ptr<peer_connection>& connection)
{
    const auto found = connections_.find(connection->address_);
    if (found != connections_.end() && found->second == connection)
    {
        connections_.erase(found);
    }
    tasks_.add(kj::evalLater(
        [connection]
        {
            static_cast<void>(connection);
        }));
}

void peer_clients::close_least_recently_used()
{
    const auto oldest =
        std::min_element(connections_.begin(),
                         connections_.end(),
                         [](const auto& a, const auto& b)
                         {
                             return a.second->last_call_ < b.second->last_call_;
                         });
    close_connection(std::shared_ptr<peer_connection>(oldest->second));
}

void peer_clients::taskFailed(kj::Exception&& exception)
{
    log_event(log_level::error, "peer_client_task_failed")
        .field("detail", exception.getDescription().cStr())
        .write();
}

} // namespace anvilturn
