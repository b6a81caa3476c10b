#include <av_net/endpoint.hpp>

#include <av_core/error.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

using namespace anvilturn;

namespace
{

using tcp = boost::asio::ip::tcp;

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_suite)

BOOST_AUTO_TEST_CASE(an_acceptor_listens_at_its_address)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    BOOST_TEST_REQUIRE(listen_at(acceptor, "peers", "127.0.30.12:0").ok());
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    BOOST_TEST(acceptor.accept().is_open());
}

// Guards against a VM that starts with a setting that can't be used, and
// against a message that doesn't tell which one it is.
BOOST_AUTO_TEST_CASE(an_address_that_cannot_be_used_is_invalid)
{
    boost::asio::io_context context;
    tcp::acceptor used(context);
    BOOST_TEST_REQUIRE(listen_at(used, "peers", "127.0.30.12:0").ok());
    std::ostringstream taken;
    taken << used.local_endpoint();
    for (const std::string& address : {std::string("vm-7:80"), taken.str()})
    {
        tcp::acceptor acceptor(context);
        const auto status = listen_at(acceptor, "peers", address);
        BOOST_TEST((kind_of(status) == error_kind::settings_invalid));
        BOOST_TEST(std::string(status.message()).find(address) !=
                   std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
