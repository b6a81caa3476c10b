#include "service_run.hpp"

#include "service_simulation.hpp"

run_result run_service(const bench_settings& settings,
                       const scheme& chosen_scheme,
                       const workload& service_workload)
{
    return policy_bench::service_simulation(
               settings, chosen_scheme, service_workload)
        .simulate();
}
