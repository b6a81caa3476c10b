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

// A routing rule. A request matches if every condition that is set holds. Among
// several matching rules, the one with the longest path prefix applies, then
// the one with more conditions. A release in which two rules could still tie is
// refused.
struct rule_spec
{
    // Unique in the release.
    std::string name_;
    // Exact host without port, in lower case; empty matches every host.
    std::string host_;
    // Matches whole path segments: "/kits" matches "/kits" and "/kits/4".
    std::string path_prefix_ = "/";
    // Whether the prefix is compared byte by byte instead of by whole
    // segments.
    bool plain_prefix_ = false;
    // Empty matches every method.
    std::vector<std::string> methods_;
    // If a header name is set, that header must have exactly this value.
    std::string header_name_;
    std::string header_value_;
    std::string service_;
    traffic_class class_ = traffic_class::interactive;
    // Whether a call may run more than once. False is the safe default: the
    // HTTP method alone does not prove that a call is idempotent.
    bool idempotent_ = false;
    // The services among which the calls are split by weight, instead of
    // service_; empty for a rule with one service.
    std::vector<weighted_service> split_;
    // Maximum time until a call is answered, even if its deadline is later;
    // zero if only the deadline applies.
    milliseconds timeout_{0.0};
    // The latency objective; zero if there is none.
    milliseconds latency_objective_{0.0};
    // Maximum number of targets to which one call may be sent.
    int max_attempts_ = 3;
    // Whether callers need no key though the release has accounts.
    bool public_ = false;
    // The regions whose targets may get the calls; empty allows all.
    std::vector<std::string> allowed_regions_;

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
                        max_attempts_,
                        public_,
                        allowed_regions_);
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
