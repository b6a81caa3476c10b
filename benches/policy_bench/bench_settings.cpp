#include "bench_settings.hpp"

deployment_model hanoi()
{
    deployment_model result;
    result.name_ = "hanoi";
    result.services_ = {{"inventory", 17, 6, 20.0},
                        {"booking", 6, 6, 20.0},
                        {"records", 13, 6, 20.0}};
    return result;
}

deployment_model kuala_lumpur()
{
    deployment_model result;
    result.name_ = "kuala_lumpur";
    result.other_domain_delay_ms_ = 1.0;
    result.services_ = {{"catalogue", 14, 6, 20.0},
                        {"orders", 7, 6, 20.0},
                        {"proofs", 15, 6, 20.0}};
    return result;
}

deployment_model design_deployment()
{
    // The design has 850 targets in 59 services over two regions of three
    // failure domains. Calls stay in their region, so one region is modelled.
    // 170,000 calls/s in total at 80% of the slots busy give 24 ms per call.
    deployment_model result;
    result.name_ = "design";
    result.vms_ = 48;
    for (int i = 0; i < 59; ++i)
    {
        const int targets = i < 12 ? 8 : 7;
        result.services_.push_back(
            {"service-" + std::to_string(i), targets, 6, 24.0});
    }
    return result;
}
