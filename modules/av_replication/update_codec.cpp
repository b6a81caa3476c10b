#include <av_replication/update_codec.hpp>

#include <av_net/capnp_frame.hpp>
#include <av_replication/mirror.capnp.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace anvilturn
{
namespace
{

template <typename Texts>
void fill_texts(capnp::List<capnp::Text>::Builder builder, const Texts& values)
{
    unsigned index = 0;
    for (const auto& value : values)
    {
        builder.set(index++, to_text(value));
    }
}

template <typename Texts>
Texts read_texts(capnp::List<capnp::Text>::Reader reader)
{
    Texts result;
    for (const auto text : reader)
    {
        result.insert(result.end(), to_string(text));
    }
    return result;
}

// Returns zero for numbers that no VM sends.
double read_amount(double value)
{
    return std::isfinite(value) && value > 0.0 ? value : 0.0;
}

traffic_class read_class(std::uint8_t value)
{
    constexpr auto lowest_class =
        static_cast<std::uint8_t>(traffic_class_count - 1);
    return static_cast<traffic_class>(std::min(value, lowest_class));
}

void fill(wire::RegisteredTarget::Builder builder, const target_change& change)
{
    builder.setName(to_text(change.object_.name_));
    builder.setRevision(change.object_.revision_);
    builder.setRemoved(change.removed_);
    builder.setLapsing(change.expiring_);
    if (change.removed_ || !change.object_.value_)
    {
        return;
    }
    const auto& spec = *change.object_.value_;
    builder.setService(to_text(spec.service_));
    builder.setAddress(to_text(spec.address_));
    builder.setFailureDomain(to_text(spec.failure_domain_));
    builder.setSlots(spec.slots_);
    builder.setDraining(spec.draining_);
    builder.setIncarnation(spec.incarnation_);
    builder.setColdForMs(spec.cold_for_.count());
}

target_change read_change(wire::RegisteredTarget::Reader reader)
{
    target_change change;
    change.object_.name_ = to_string(reader.getName());
    change.object_.revision_ = reader.getRevision();
    change.removed_ = reader.getRemoved();
    change.expiring_ = reader.getLapsing();
    target_spec spec;
    spec.name_ = change.object_.name_;
    spec.service_ = to_string(reader.getService());
    spec.address_ = to_string(reader.getAddress());
    spec.failure_domain_ = to_string(reader.getFailureDomain());
    spec.slots_ = std::max(1, reader.getSlots());
    spec.draining_ = reader.getDraining();
    spec.incarnation_ = reader.getIncarnation();
    spec.cold_for_ = milliseconds(read_amount(reader.getColdForMs()));
    change.object_.value_ = std::move(spec);
    return change;
}

void fill(wire::Rule::Builder builder, const rule_spec& rule)
{
    builder.setName(to_text(rule.name_));
    builder.setHost(to_text(rule.host_));
    builder.setPathPrefix(to_text(rule.path_prefix_));
    builder.setPlainPrefix(rule.plain_prefix_);
    builder.setService(to_text(rule.service_));
    builder.setTrafficClass(static_cast<std::uint8_t>(rule.class_));
    builder.setIdempotent(rule.idempotent_);
    builder.setTimeoutMs(rule.timeout_.count());
    builder.setObjectiveMs(rule.latency_objective_.count());
    builder.setMostAttempts(rule.max_attempts_);
    builder.setPublic(rule.public_);
    fill_texts(builder.initAllowedRegions(
                   static_cast<unsigned>(rule.allowed_regions_.size())),
               rule.allowed_regions_);
    auto parts = builder.initSplit(static_cast<unsigned>(rule.split_.size()));
    for (unsigned i = 0; i < parts.size(); ++i)
    {
        parts[i].setService(to_text(rule.split_[i].service_));
        parts[i].setWeight(rule.split_[i].weight_);
    }
}

rule_spec read_rule(wire::Rule::Reader reader)
{
    rule_spec rule;
    rule.name_ = to_string(reader.getName());
    rule.host_ = to_string(reader.getHost());
    rule.path_prefix_ = to_string(reader.getPathPrefix());
    rule.plain_prefix_ = reader.getPlainPrefix();
    rule.service_ = to_string(reader.getService());
    rule.class_ = read_class(reader.getTrafficClass());
    rule.idempotent_ = reader.getIdempotent();
    rule.timeout_ = milliseconds(reader.getTimeoutMs());
    rule.latency_objective_ = milliseconds(reader.getObjectiveMs());
    rule.max_attempts_ = reader.getMostAttempts();
    rule.public_ = reader.getPublic();
    rule.allowed_regions_ =
        read_texts<std::vector<std::string>>(reader.getAllowedRegions());
    for (const auto part : reader.getSplit())
    {
        rule.split_.push_back({to_string(part.getService()), part.getWeight()});
    }
    return rule;
}

void fill(wire::Account::Builder builder, const account_spec& account)
{
    builder.setName(to_text(account.name_));
    fill_texts(builder.initKeys(static_cast<unsigned>(account.keys_.size())),
               account.keys_);
    builder.setHasClass(account.class_.has_value());
    builder.setTrafficClass(static_cast<std::uint8_t>(
        account.class_.value_or(traffic_class::interactive)));
    builder.setRatePerSecond(account.rate_per_second_);
    builder.setBurst(account.burst_);
    fill_texts(builder.initAllowedRegions(
                   static_cast<unsigned>(account.allowed_regions_.size())),
               account.allowed_regions_);
}

account_spec read_account(wire::Account::Reader reader)
{
    account_spec account;
    account.name_ = to_string(reader.getName());
    account.keys_ = read_texts<std::vector<std::string>>(reader.getKeys());
    if (reader.getHasClass())
    {
        account.class_ = read_class(reader.getTrafficClass());
    }
    account.rate_per_second_ = read_amount(reader.getRatePerSecond());
    account.burst_ = read_amount(reader.getBurst());
    account.allowed_regions_ =
        read_texts<std::vector<std::string>>(reader.getAllowedRegions());
    return account;
}

void fill(wire::StoreRelease::Builder builder, const release& value)
{
    builder.setVersion(value.version_);
    auto rules = builder.initRules(static_cast<unsigned>(value.rules_.size()));
    unsigned index = 0;
    for (const auto& rule : value.rules_)
    {
        fill(rules[index++], rule.second);
    }
    auto services =
        builder.initServices(static_cast<unsigned>(value.services_.size()));
    index = 0;
    for (const auto& service : value.services_)
    {
        services[index].setName(to_text(service.first));
        services[index].setHealthPath(to_text(service.second.health_path_));
        services[index++].setColdRatePerSecond(
            service.second.cold_rate_per_second_);
    }
    builder.setListsAccounts(true);
    auto accounts =
        builder.initAccounts(static_cast<unsigned>(value.accounts_.size()));
    index = 0;
    for (const auto& account : value.accounts_)
    {
        fill(accounts[index++], account.second);
    }
}

release read_release(wire::StoreRelease::Reader reader,
                     const service_spec& defaults)
{
    release value;
    value.version_ = reader.getVersion();
    for (const auto entry : reader.getRules())
    {
        auto rule = read_rule(entry);
        const auto name = rule.name_;
        value.rules_[name] = std::move(rule);
    }
    for (const auto entry : reader.getServices())
    {
        auto service = defaults;
        service.name_ = to_string(entry.getName());
        service.health_path_ = to_string(entry.getHealthPath());
        service.cold_rate_per_second_ =
            read_amount(entry.getColdRatePerSecond());
        value.services_[service.name_] = service;
    }
    for (const auto entry : reader.getAccounts())
    {
        auto account = read_account(entry);
        const auto name = account.name_;
        value.accounts_[name] = std::move(account);
    }
    return value;
}

// Returns the time in whole milliseconds, within what a message can hold.
std::uint32_t to_whole_ms(milliseconds time)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(time.count(), 0.0, most));
}

// Returns nothing for a negative number, which stands for an unknown age.
std::optional<milliseconds> read_age(std::int64_t milliseconds_ago)
{
    return milliseconds_ago < 0 ? std::nullopt
                                : std::optional<milliseconds>(
                                      static_cast<double>(milliseconds_ago));
}

} // namespace

std::string write_subscription(const replication_position& position)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::Subscription>();
    builder.setEpoch(position.epoch_);
    builder.setSequence(position.sequence_);
    builder.setReleaseVersion(position.release_version_);
    builder.setGreeting(position.status_query_only_);
    builder.setPeerAddress(to_text(position.peer_address_));
    return to_frame(message);
}

std::string write_update(const registry_update& update)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::Update>();
    builder.setEpoch(update.epoch_);
    builder.setSequence(update.sequence_);
    builder.setWhole(update.is_snapshot_);
    builder.setFailureDomain(to_text(update.failure_domain_));
    builder.setStoreRevision(update.store_revision_);
    builder.setStoreSilentMs(to_whole_ms(update.contents_age_));
    if (update.relayed_contents_age_)
    {
        builder.setRelayedSilentMs(to_whole_ms(*update.relayed_contents_age_));
    }
    if (update.answer_age_)
    {
        builder.setAnsweredAgoMs(to_whole_ms(*update.answer_age_));
    }
    auto targets =
        builder.initTargets(static_cast<unsigned>(update.changes_.size()));
    for (unsigned i = 0; i < targets.size(); ++i)
    {
        fill(targets[i], update.changes_[i]);
    }
    if (update.release_)
    {
        fill(builder.initRelease(), *update.release_);
    }
    if (update.standbys_)
    {
        const auto& standbys = *update.standbys_;
        builder.setNamesStandbys(true);
        fill_texts(builder.initStandbys(static_cast<unsigned>(standbys.size())),
                   standbys);
    }
    if (update.evacuated_domains_)
    {
        const auto& domains = *update.evacuated_domains_;
        builder.setNamesEvacuations(true);
        fill_texts(
            builder.initEvacuatedDomains(static_cast<unsigned>(domains.size())),
            domains);
    }
    return to_frame(message);
}

absl::StatusOr<replication_position> read_subscription(std::string_view bytes)
{
    return read_message<replication_position>(
        bytes,
        max_frame_bytes,
        [](capnp::MessageReader& message)
        {
            const auto reader = message.getRoot<wire::Subscription>();
            replication_position position;
            position.epoch_ = reader.getEpoch();
            position.sequence_ = reader.getSequence();
            position.release_version_ = reader.getReleaseVersion();
            position.status_query_only_ = reader.getGreeting();
            position.peer_address_ = to_string(reader.getPeerAddress());
            return position;
        });
}

absl::StatusOr<registry_update> read_update(std::string_view bytes,
                                            const service_spec& defaults)
{
    return read_message<registry_update>(
        bytes,
        max_frame_bytes,
        [&defaults](capnp::MessageReader& message)
        {
            const auto reader = message.getRoot<wire::Update>();
            registry_update update;
            update.epoch_ = reader.getEpoch();
            update.sequence_ = reader.getSequence();
            update.is_snapshot_ = reader.getWhole();
            update.failure_domain_ = to_string(reader.getFailureDomain());
            update.store_revision_ = reader.getStoreRevision();
            update.contents_age_ = milliseconds(reader.getStoreSilentMs());
            update.relayed_contents_age_ =
                read_age(reader.getRelayedSilentMs());
            update.answer_age_ = read_age(reader.getAnsweredAgoMs());
            for (const auto target : reader.getTargets())
            {
                update.changes_.push_back(read_change(target));
            }
            if (reader.hasRelease())
            {
                update.release_ = std::make_shared<const release>(
                    read_release(reader.getRelease(), defaults));
                update.release_lacks_accounts_ =
                    !reader.getRelease().getListsAccounts();
            }
            if (reader.getNamesStandbys())
            {
                update.standbys_ =
                    read_texts<std::vector<std::string>>(reader.getStandbys());
            }
            if (reader.getNamesEvacuations())
            {
                update.evacuated_domains_ = read_texts<std::set<std::string>>(
                    reader.getEvacuatedDomains());
            }
            return update;
        });
}

} // namespace anvilturn
