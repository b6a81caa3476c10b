#ifndef AV_MODEL_TARGET_NOTICE_HPP
#define AV_MODEL_TARGET_NOTICE_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>
#include <av_model/load_report.hpp>

#include <string>
#include <tuple>

namespace anvilturn
{

enum class target_notice_kind
{
    // The target showed that it is draining; it gets no new calls.
    draining,
    // The target showed that it accepts calls again.
    serving,
    // The result of a probe.
    probed
};

// A change or measurement of a target that one VM publishes to the others.
struct target_notice
{
    target_notice_kind kind_ = target_notice_kind::probed;
    std::string target_;
    load_report load_;
    // Time since the source VM observed it. An age is sent instead of a point
    // in time because clocks of different VMs are never compared.
    milliseconds age_{0.0};
    // Name of the VM that observed it.
    std::string source_vm_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(kind_, target_, load_, age_, source_vm_);
    }
};

} // namespace anvilturn

#endif
