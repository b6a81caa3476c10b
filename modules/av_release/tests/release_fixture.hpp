#ifndef RELEASE_FIXTURE_HPP
#define RELEASE_FIXTURE_HPP

#include <av_core/error.hpp>
#include <av_release/av_release.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace anvilturn
{

// Returns limits that allow the default choice policy only.
inline release_limits test_limits()
{
    release_limits limits;
    limits.choice_policies_ = {service_spec().choice_policy_};
    return limits;
}

inline service_spec make_service(const std::string& name)
{
    return service_builder(name).build().value();
}

// Returns a target whose address is derived from the number.
inline target_spec
make_target(const std::string& name, const std::string& service, int number)
{
    return target_builder(name)
        .service(service)
        .address("10." + std::to_string(number / 62500) + "." +
                 std::to_string(number / 250 % 250) + "." +
                 std::to_string(number % 250 + 1) + ":8000")
        .failure_domain("a")
        .build()
        .value();
}

inline rule_spec make_rule(const std::string& name,
                           const std::string& service,
                           const std::string& path_prefix)
{
    return rule_builder(name)
        .service(service)
        .path_prefix(path_prefix)
        .build()
        .value();
}

inline spec_change change_of(const std::string& name,
                             const std::string& key,
                             const std::string& value)
{
    return {name, {{key, 0, yaml_scalar(value)}}};
}

// Returns version 1: service s, its targets t1 and t2, and rule r for path /.
inline release first_release()
{
    const auto note = release_note_builder("first", 0)
                          .add(make_service("s"))
                          .add(make_target("t1", "s", 1))
                          .add(make_target("t2", "s", 2))
                          .add(make_rule("r", "s", "/"))
                          .build();
    return apply_note(release(), note.value(), test_limits()).value();
}

// Returns the release with the note applied; fails the test if it is refused.
inline release applied(const release& current, const release_note_builder& note)
{
    const auto result =
        apply_note(current, note.build().value(), test_limits());
    BOOST_TEST_REQUIRE(result.ok(), result.status());
    return *result;
}

inline bool mentions(const absl::Status& status, const std::string& part)
{
    return std::string(status.message()).find(part) != std::string::npos;
}

} // namespace anvilturn

#endif
