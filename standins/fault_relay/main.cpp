// Purpose: network faults between processes: relays TCP connections, and
// resets, pauses, delays or silences them on request.

#include <fault_relay/link.hpp>

#include <common/http_server.hpp>
#include <common/standin_program.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <absl/strings/str_split.h>

#include <csignal>
#include <exception>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

constexpr const char* usage = R"(Relays TCP connections and injects faults.

Usage:
  fault_relay --links LINKS --control ADDRESS
  fault_relay --help

Options:
  --links LINKS      NAME=LISTEN=TO, separated by commas. Links may share a
                     name; a fault applies to all links of that name.
  --control ADDRESS  Address for control requests.

Control requests: POST /control/faults?link=NAME (all links without it) with a
YAML map of refuse, hold_up (pauses client to server), hold_down (pauses server
to client), delay_ms (these last until changed), reset, half_open, silence (for
good, without a reset; these act once, on the open connections); a black hole is
{hold_up: true, hold_down: true}. GET /control/counts.
)";

using link_list = std::vector<std::unique_ptr<anvilturn::link>>;

link_list open_links(boost::asio::io_context& context, const std::string& text)
{
    link_list links;
    for (const auto part : absl::StrSplit(text, ','))
    {
        const std::vector<std::string> fields = absl::StrSplit(part, '=');
        if (fields.size() != 3)
        {
            throw std::runtime_error("--links: expected NAME=LISTEN=TO");
        }
        links.push_back(std::make_unique<anvilturn::link>(
            context,
            fields[0],
            anvilturn::require_endpoint(fields[1]),
            anvilturn::require_endpoint(fields[2])));
    }
    return links;
}

void handle_control(const link_list& links, anvilturn::http_session& session)
{
    const auto url = session.request().target();
    const std::string_view target(url.data(), url.size());
    const auto name = anvilturn::query_value(target, "link");
    const bool is_change = anvilturn::path_of(target) == "/control/faults";
    std::string text;
    try
    {
        for (const auto& link : links)
        {
            if (is_change && (name.empty() || name == link->name()))
            {
                link->change_faults(session.request().body());
            }
            text += link->counts_text();
        }
    }
    catch (const std::exception& failure)
    {
        session.reply_text(400, failure.what());
        return;
    }
    session.reply_text(200, std::move(text));
}

int serve(const anvilturn::arguments& args)
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](auto, int)
        {
            context.stop();
        });
    const auto links = open_links(context, anvilturn::text_of(args, "--links"));
    const anvilturn::http_server control(
        context,
        anvilturn::require_endpoint(anvilturn::text_of(args, "--control")),
        {},
        [&links](const auto& session)
        {
            handle_control(links, *session);
        });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return anvilturn::run_standin("fault_relay", usage, argc, argv, serve);
}
