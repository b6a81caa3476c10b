#include <call_load/verification.hpp>

#include <av_core/log_event.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <limits>
#include <sstream>
#include <unordered_map>

namespace anvilturn
{
namespace
{

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

// Violations of each kind that are logged individually; all are counted.
constexpr std::uint64_t max_logged_violations = 20;

struct execution_count
{
    int starts_ = 0;
    int completions_ = 0;
    std::string targets_;
};
using execution_log = std::unordered_map<std::string, execution_count>;

std::string fetch(const tcp::endpoint& address, const char* path)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(address);
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, "control");
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::read(socket, buffer, parser);
    return parser.release().body();
}

void read_executions(const std::string& text, execution_log& log)
{
    std::istringstream lines(text);
    std::string id;
    std::string target;
    int starts = 0;
    int completions = 0;
    while (lines >> id >> starts >> completions >> target)
    {
        auto& count = log[id];
        count.starts_ += starts;
        count.completions_ += completions;
        count.targets_ += target + ' ';
    }
}

void record_violation(std::uint64_t& counter,
                      const char* kind,
                      const std::string& id,
                      const call_result& result,
                      const execution_count& count)
{
    ++counter;
    if (counter > max_logged_violations)
    {
        return;
    }
    log_event(log_level::error, "violation")
        .field("kind", kind)
        .field("call", id)
        .field("status", static_cast<int>(result.status_))
        .field("reason", result.reason_)
        .field("address", static_cast<int>(result.address_index_))
        .field("starts", count.starts_)
        .field("completions", count.completions_)
        .field("targets", count.targets_)
        .write();
}

} // namespace

violation_counts verify(const load_run& run,
                        const std::vector<tcp::endpoint>& control_addresses)
{
    execution_log log;
    for (const auto& control : control_addresses)
    {
        read_executions(fetch(control, "/control/executions"), log);
    }
    violation_counts violations;
    for (std::size_t i = 0; i < run.arrivals_.size(); ++i)
    {
        const auto& result = run.results_[i];
        const auto id = call_id(run.run_id_, run.arrivals_[i]);
        const auto logged = log.find(id);
        const auto count =
            logged == log.end() ? execution_count{} : logged->second;
        if (result.misdelivered_)
        {
            record_violation(
                violations.cross_talk_, "cross_talk", id, result, count);
        }
        if (result.damaged_)
        {
            record_violation(violations.damaged_, "damaged", id, result, count);
        }
        if (control_addresses.empty())
        {
            continue;
        }
        if (result.outcome_ == caller_outcome::not_run && count.starts_ > 0)
        {
            record_violation(violations.not_run_but_ran_,
                             "not_run_but_ran",
                             id,
                             result,
                             count);
        }
        const auto& stream = run.plan_.streams_[run.arrivals_[i].stream_index_];
        if (!stream.idempotent_ && count.starts_ > 1)
        {
            record_violation(
                violations.ran_twice_, "ran_twice", id, result, count);
        }
        if (result.outcome_ == caller_outcome::answered &&
            count.completions_ == 0)
        {
            record_violation(violations.answered_but_not_run_,
                             "answered_but_not_run",
                             id,
                             result,
                             count);
        }
    }
    return violations;
}

} // namespace anvilturn
