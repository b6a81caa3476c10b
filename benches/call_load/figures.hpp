#ifndef BENCHES_CALL_LOAD_FIGURES_HPP
#define BENCHES_CALL_LOAD_FIGURES_HPP

#include <call_load/load_worker.hpp>
#include <call_load/verification.hpp>

#include <string>

namespace anvilturn
{

// Prints the figures of a run, one "figure=NAME value=V unit=U" per line, for
// each stream (if there are several) and for all calls. Latencies are those of
// answered calls.
void print_figures(const load_run& run);

// Prints the number of violations of each kind and their total, in the same
// format.
void print_violations(const violation_counts& violations);

// Writes one line "ID STREAM AT_MS LATENCY_MS OUTCOME STATUS REASON" for each
// call. Throws std::runtime_error if the file cannot be written.
void write_calls(const load_run& run, const std::string& path);

} // namespace anvilturn

#endif
