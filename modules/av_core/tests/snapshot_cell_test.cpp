#include <av_core/snapshot_cell.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(snapshots)

BOOST_AUTO_TEST_CASE(concurrent_readers_never_see_an_older_version)
{
    constexpr int last_version = 2000;
    snapshot_cell<int> cell(std::make_shared<int>(0));
    std::atomic<int> violations{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i)
    {
        readers.emplace_back(
            [&]
            {
                snapshot_reader<int> reader(cell);
                int seen = 0;
                while (seen < last_version)
                {
                    const int now = *reader.current();
                    violations += now < seen ? 1 : 0;
                    seen = now;
                }
            });
    }
    for (int version = 1; version <= last_version; ++version)
    {
        cell.publish(std::make_shared<int>(version));
    }
    for (auto& reader : readers)
    {
        reader.join();
    }
    BOOST_TEST(violations == 0);
}

BOOST_AUTO_TEST_SUITE_END()
