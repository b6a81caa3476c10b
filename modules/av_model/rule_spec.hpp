#ifndef AV_MODEL_RULE_SPEC_HPP
#define AV_MODEL_RULE_SPEC_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>
#include <av_model/traffic_class.hpp>
#include <av_model/weighted_service.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// Separates one kind of traffic from another. A request matches when each
// condition that is set holds; among the rules that match, the one with the
// longest path prefix wins, then the one with more conditions. A release whose
// rules leave a tie is refused.
struct rule_spec
{
    // Unique in the release.
    std::string name_;
    // Exact host without port, in lower case; empty matches every host.
    std::string host_;
    // Matches whole path segments: "/kits" matches "/kits" and "/kits/4".
    std::string path_prefix_ = "/";
    // Whether the prefix is compared byte by byte rather than by whole
    // segments.
    bool plain_prefix_ = false;
    // Empty matches every method.
    std::vector<std::string> methods_;
    // With a header name set, the header must have exactly this value.
    std::string header_name_;
    std::string header_value_;
    std::string service_;
    traffic_class class_ = traffic_class::interactive;
    // Whether a call may be sent to a target twice. False is the safe value;
    // the HTTP method is not trusted.
    bool idempotent_ = false;
    // The services that share the calls by weight, instead of service_; empty
    // for a rule with one service.
    std::vector<weighted_service> split_;
    // A call is answered within this time, whatever its deadline; zero leaves
    // it to the deadline.
    milliseconds timeout_{0.0};
    // The latency objective; zero if there is none.
    milliseconds latency_objective_{0.0};
    // Targets to which one call may be sent.
    int max_attempts_ = 3;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_,
                        host_,
                        path_prefix_,
                        plain_prefix_,
                        methods_,
                        header_name_,
                        header_value_,
                        service_,
                        class_,
                        idempotent_,
                        split_,
                        timeout_,
                        latency_objective_,
                        max_attempts_);
    }

    friend bool operator==(const rule_spec& a, const rule_spec& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const rule_spec& a, const rule_spec& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
