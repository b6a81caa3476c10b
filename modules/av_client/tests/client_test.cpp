#include <av_client/av_client.hpp>
#include <av_core/error.hpp>
#include <av_operator/operator_server.hpp>
#include <av_release/av_release.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace anvilturn;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A VM's operator address with canned answers by path, on its own thread.
class fake_vm
{
public:
    explicit fake_vm(const std::map<std::string, operator_response>& answers)
        : server_(context_, options())
    {
        for (const auto& [path, answer] : answers)
        {
            const auto handler =
                [this, answer = answer](const operator_request& request)
            {
                last_body_ = request.body_;
                last_query_ = request.query_;
                return answer;
            };
            server_.add_route("GET", path, handler);
            server_.add_route("POST", path, handler);
        }
        server_.add_async_route(
            "GET",
            "/never",
            [](const operator_request&, const operator_completion&) {});
        BOOST_TEST_REQUIRE(server_.start().ok());
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }

    ~fake_vm()
    {
        context_.stop();
        thread_.join();
    }

    fake_vm(const fake_vm&) = delete;
    fake_vm& operator=(const fake_vm&) = delete;

    std::string address() const
    {
        return "127.0.20.4:" + std::to_string(server_.port());
    }

    const std::string& last_body() const
    {
        return last_body_;
    }

    const std::map<std::string, std::string>& last_query() const
    {
        return last_query_;
    }

    // Sends bytes and returns the answer up to the end of the connection.
    std::string send_raw(const std::string& bytes) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.20.4"),
                                     server_.port()));
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

private:
    static operator_server_options options()
    {
        operator_server_options options;
        options.address_ = "127.0.20.4:0";
        options.body_limit_ = 2000;
        options.handler_timeout_ = milliseconds(50.0);
        options.transfer_timeout_ = milliseconds(200.0);
        return options;
    }

    asio::io_context context_;
    operator_server server_;
    std::string last_body_;
    std::map<std::string, std::string> last_query_;
    std::thread thread_;
};

struct client_run
{
    exit_code code_ = exit_code::success;
    std::string out_;
    std::string err_;
};

client_run run(const std::vector<std::string>& arguments,
               const std::string& vms)
{
    std::ostringstream out;
    std::ostringstream err;
    client_run result;
    result.code_ = run_client(arguments, vms, out, err);
    result.out_ = out.str();
    result.err_ = err.str();
    return result;
}

bool holds(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

release release_with_one_target()
{
    release_limits limits;
    limits.choice_policies_ = {service_spec().choice_policy_};
    const auto note = release_note_builder("first", 0)
                          .add(service_builder("s").build().value())
                          .add(target_builder("t1")
                                   .service("s")
                                   .address("10.0.0.1:80")
                                   .failure_domain("a")
                                   .build()
                                   .value())
                          .build();
    return apply_note(release(), *note, limits).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_tests)

BOOST_AUTO_TEST_CASE(command_lines_are_parsed_as_documented)
{
    struct usage_case
    {
        std::vector<std::string> arguments_;
        client_arguments expected_;
    };
    const auto text = output_format::text;
    const std::vector<std::string> vm = {"10.0.0.1:1"};
    using command = client_command;
    const std::vector<usage_case> cases = {
        {{"release", "apply", "n.yaml"},
         {command::release_apply, "n.yaml", vm, text, milliseconds(30000.0)}},
        {{"release", "settle", "n-1", "--timeout-ms=5"},
         {command::release_settle, "n-1", vm, text, milliseconds(5.0)}},
        {{"--output=yaml", "release", "show"},
         {command::release_show,
          "",
          vm,
          output_format::yaml,
          milliseconds(30000.0)}},
        {{"--vm=10.0.0.2:1", "--vm=10.0.0.3:1", "drain", "t1"},
         {command::drain,
          "t1",
          {"10.0.0.2:1", "10.0.0.3:1"},
          text,
          milliseconds(30000.0)}},
        {{"dump", "10.0.0.9:1"},
         {command::dump,
          "10.0.0.9:1",
          {"10.0.0.9:1"},
          text,
          milliseconds(30000.0)}},
        {{"targets"}, {command::targets, "", vm, text, milliseconds(30000.0)}}};
    for (const usage_case& row : cases)
    {
        const auto read = parse_client_arguments(row.arguments_, "10.0.0.1:1");
        BOOST_TEST_REQUIRE(read.ok(), read.status());
        BOOST_TEST((*read == row.expected_),
                   row.arguments_.back()
                       << ": " << read->operand_ << ' ' << read->vms_.size());
    }
    for (const std::vector<std::string>& refused :
         std::vector<std::vector<std::string>>{{},
                                               {"release"},
                                               {"release", "apply"},
                                               {"vms", "--vm=host:1"},
                                               {"vms", "--output=xml"},
                                               {"vms", "--timeout-ms=0"},
                                               {"frob"}})
    {
        const auto result = run(refused, "10.0.0.1:1");
        BOOST_TEST((result.code_ == exit_code::usage));
        BOOST_TEST(holds(result.err_, "remedy: "));
    }
}

BOOST_AUTO_TEST_CASE(http_status_decides_exit_code_and_output_stream)
{
    struct answer_case
    {
        unsigned status_;
        exit_code code_;
    };
    for (const answer_case& row :
         std::vector<answer_case>{{200, exit_code::success},
                                  {404, exit_code::refused},
                                  {409, exit_code::conflict},
                                  {422, exit_code::refused},
                                  {503, exit_code::refused},
                                  {504, exit_code::unknown_outcome}})
    {
        const fake_vm vm({{"/v1/release/settle",
                           {row.status_, "application/yaml", "verdict: x\n"}}});
        const auto result = run({"release", "settle", "n-1"}, vm.address());
        BOOST_TEST((result.code_ == row.code_));
        const bool is_success = row.code_ == exit_code::success;
        BOOST_TEST(holds(is_success ? result.out_ : result.err_, "verdict: x"));
        BOOST_TEST((is_success ? result.err_ : result.out_).empty());
        BOOST_TEST(vm.last_query().at("id") == "n-1");
    }
}

BOOST_AUTO_TEST_CASE(the_next_vm_is_tried_when_one_is_unreachable)
{
    const fake_vm vm({{"/v1/vms", {200, "application/yaml", "- {name: a}\n"}}});
    const auto result = run({"vms"}, "127.0.20.5:1," + vm.address());
    BOOST_TEST((result.code_ == exit_code::success));
    BOOST_TEST(result.out_ == "name\na\n");
    const auto none = run({"vms"}, "127.0.20.5:1,127.0.20.5:2");
    BOOST_TEST((none.code_ == exit_code::unreachable));
    BOOST_TEST(holds(none.err_, "127.0.20.5:2"));
}

BOOST_AUTO_TEST_CASE(drain_writes_a_note_against_the_release_in_force)
{
    const fake_vm vm(
        {{"/v1/release",
          {200, "application/yaml", write_release(release_with_one_target())}},
         {"/v1/release/apply",
          {200, "application/yaml", "verdict: accepted\nversion: 2\n"}}});
    const auto result = run({"drain", "t1"}, vm.address());
    BOOST_TEST((result.code_ == exit_code::success), result.err_);
    BOOST_TEST(holds(result.out_, "version: 2"));
    const auto note = parse_release_note(vm.last_body(), "sent");
    BOOST_TEST_REQUIRE(note.ok(), note.status());
    BOOST_TEST(note->base_version() == 1u);
    BOOST_TEST_REQUIRE(note->targets().changed_.size() == 1u);
    BOOST_TEST(note->targets().changed_[0].members_[0].key_ == "draining");
    BOOST_TEST(holds(run({"undrain", "t1"}, vm.address()).out_, "unchanged"));
    const auto unknown = run({"drain", "t9"}, vm.address());
    BOOST_TEST((unknown.code_ == exit_code::refused));
    BOOST_TEST(holds(unknown.err_, "'t9'"));
}

BOOST_AUTO_TEST_CASE(missing_note_file_is_refused_before_any_request)
{
    for (const std::string command : {"apply", "check"})
    {
        const std::vector<std::string> arguments =
            command == "apply"
                ? std::vector<std::string>{"release", "apply", "no/such.yaml"}
                : std::vector<std::string>{"check-note", "no/such.yaml"};
        const auto result = run(arguments, "127.0.20.5:1");
        BOOST_TEST((result.code_ == exit_code::refused));
        BOOST_TEST(holds(result.err_, "no/such.yaml"));
    }
}

BOOST_AUTO_TEST_CASE(lists_of_maps_become_tables)
{
    BOOST_TEST(
        to_text("version: 3\nvms: [{name: a, state: live}, {name: bb}]") ==
        "version: 3\nvms:\nname  state\na     live\nbb    -\n");
    BOOST_TEST(to_text("plain words") == "plain words");
    BOOST_TEST(to_text("{") == "{");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(operator_server_tests)

BOOST_AUTO_TEST_CASE(invalid_or_oversized_requests_get_an_error_status)
{
    const fake_vm vm({{"/v1/x", {200, "text/plain", "ok"}}});
    const std::string close = "Host: a\r\nConnection: close\r\n";
    struct request_case
    {
        std::string name_;
        std::string bytes_;
        // Start of the answer; empty if the connection is cut.
        std::string http_response_;
    };
    const std::vector<request_case> cases = {
        {"good",
         "GET /v1/x?a=%41 HTTP/1.1\r\n" + close + "\r\n",
         "HTTP/1.1 200"},
        {"unknown path",
         "GET /v1/y HTTP/1.1\r\n" + close + "\r\n",
         "HTTP/1.1 404"},
        {"other method",
         "DELETE /v1/x HTTP/1.1\r\n" + close + "\r\n",
         "HTTP/1.1 405"},
        {"broken escape",
         "GET /v1/x?a=%4 HTTP/1.1\r\n" + close + "\r\n",
         "HTTP/1.1 400"},
        {"no HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
        {"body announced over the limit",
         "POST /v1/x HTTP/1.1\r\nContent-Length: 2001\r\n\r\n",
         "HTTP/1.1 422"},
        {"chunked body over the limit",
         "POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n" +
             std::string(2001, 'x') + "\r\n0\r\n\r\n",
         "HTTP/1.1 422"},
        {"header over the limit",
         "GET /v1/x HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"slow sender", "GET /v1/x HTTP/1.1\r\n", ""},
        {"handler that never answers",
         "GET /never HTTP/1.1\r\n" + close + "\r\n",
         "HTTP/1.1 504"}};
    for (const request_case& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            const std::string answer = vm.send_raw(row.bytes_);
            BOOST_TEST(answer.substr(0, 12) == row.http_response_);
        }
    }
    BOOST_TEST(vm.last_query().at("a") == "A");
}

BOOST_AUTO_TEST_CASE(address_in_use_or_invalid_is_refused)
{
    const fake_vm vm({});
    asio::io_context context;
    for (const std::string& address : {vm.address(), std::string("host:80")})
    {
        operator_server_options options;
        options.address_ = address;
        operator_server server(context, options);
        const auto status = server.start();
        BOOST_TEST((kind_of(status) == error_kind::settings_invalid));
        BOOST_TEST(holds(std::string(status.message()), address));
    }
}

BOOST_AUTO_TEST_SUITE_END()
