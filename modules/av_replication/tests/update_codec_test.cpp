#include <av_net/capnp_frame.hpp>
#include <av_replication/mirror.capnp.h>
#include <av_replication/update_codec.hpp>

#include <boost/test/unit_test.hpp>

#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace anvilturn
{
namespace
{

registry_update decode(const std::string& frame)
{
    const auto body = std::string_view(frame).substr(frame_header_bytes);
    const auto update = read_update(body, service_spec());
    BOOST_REQUIRE(update.ok());
    return *update;
}

release release_with_accounts()
{
    release value;
    value.version_ = 7;
    account_spec limited;
    limited.name_ = "school";
    limited.keys_ = {"first", "second"};
    limited.class_ = traffic_class::bulk;
    limited.rate_per_second_ = 12.5;
    limited.burst_ = 20.0;
    limited.allowed_regions_ = {"north"};
    value.accounts_["school"] = limited;
    account_spec plain;
    plain.name_ = "ward";
    value.accounts_["ward"] = plain;
    rule_spec rule;
    rule.name_ = "kits";
    rule.public_ = true;
    rule.allowed_regions_ = {"north", "south"};
    value.rules_["kits"] = rule;
    service_spec service;
    service.name_ = "stock";
    service.cold_rate_per_second_ = 4.5;
    value.services_["stock"] = service;
    return value;
}

BOOST_AUTO_TEST_SUITE(update_codec_test)

// A member that is not sent would be lost on each VM without the store.
BOOST_AUTO_TEST_CASE(a_release_keeps_accounts_regions_and_cold_rates)
{
    const auto sent = release_with_accounts();
    registry_update update;
    update.release_ = std::make_shared<const release>(sent);
    const auto received = decode(write_update(update));
    BOOST_REQUIRE(received.release_ != nullptr);
    BOOST_TEST((received.release_->accounts_ == sent.accounts_));
    BOOST_TEST((received.release_->rules_ == sent.rules_));
    BOOST_TEST((received.release_->services_ == sent.services_));
    BOOST_TEST(!received.release_lacks_accounts_);
}

// A watcher of an earlier version does not report whom it follows, which must
// not be read as a recent answer of the store.
BOOST_AUTO_TEST_CASE(
    the_age_for_subscribers_is_the_watchers_own_unless_reported)
{
    registry_update update;
    update.contents_age_ = milliseconds(5000.0);
    BOOST_TEST((age_for_subscribers(decode(write_update(update))) ==
                milliseconds(5000.0)));
    update.relayed_contents_age_ = milliseconds(7.0);
    const auto received = decode(write_update(update));
    BOOST_TEST((age_for_subscribers(received) == milliseconds(7.0)));
    BOOST_TEST((received.contents_age_ == milliseconds(5000.0)));
}

// During an update of the VMs a watcher of an earlier version leaves accounts
// out. Read as a release without accounts, it would let callers in without a
// key.
BOOST_AUTO_TEST_CASE(a_release_of_an_earlier_version_is_marked)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::Update>().initRelease().setVersion(7);
    const auto received = decode(to_frame(message));
    BOOST_REQUIRE(received.release_ != nullptr);
    BOOST_TEST(received.release_lacks_accounts_);
}

BOOST_AUTO_TEST_CASE(numbers_that_no_vm_sends_are_read_as_zero)
{
    capnp::MallocMessageBuilder message;
    auto account =
        message.initRoot<wire::Update>().initRelease().initAccounts(1)[0];
    account.setName("school");
    account.setRatePerSecond(std::numeric_limits<double>::infinity());
    account.setBurst(std::numeric_limits<double>::quiet_NaN());
    const auto received = decode(to_frame(message));
    BOOST_REQUIRE(received.release_ != nullptr);
    const auto& read = received.release_->accounts_.at("school");
    BOOST_TEST(read.rate_per_second_ == 0.0);
    BOOST_TEST(read.burst_ == 0.0);
}

// Guards against cold targets that are warm for VMs with a watcher.
BOOST_AUTO_TEST_CASE(a_target_keeps_how_long_it_is_cold)
{
    target_change change;
    change.object_.name_ = "stock-1";
    target_spec spec;
    spec.name_ = "stock-1";
    spec.cold_for_ = milliseconds(1500.0);
    change.object_.value_ = spec;
    registry_update update;
    update.changes_.push_back(change);
    const auto received = decode(write_update(update));
    BOOST_REQUIRE(received.changes_.size() == 1U);
    BOOST_TEST((received.changes_[0].object_.value_->cold_for_ ==
                milliseconds(1500.0)));
}

// An update that names no evacuated domains must differ from one that does not
// speak of them: the first ends evacuations.
BOOST_AUTO_TEST_CASE(no_evacuated_domain_differs_from_unknown_ones)
{
    registry_update update;
    BOOST_TEST(!decode(write_update(update)).evacuated_domains_.has_value());
    update.evacuated_domains_.emplace();
    const auto none = decode(write_update(update)).evacuated_domains_;
    BOOST_REQUIRE(none.has_value());
    BOOST_TEST(none->empty());
    update.evacuated_domains_->insert("delta-a");
    const auto one = decode(write_update(update)).evacuated_domains_;
    BOOST_REQUIRE(one.has_value());
    BOOST_TEST(one->count("delta-a") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
