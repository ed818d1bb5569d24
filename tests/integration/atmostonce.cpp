#include "cluster.h"

#include <gtest/gtest.h>

// A non-idempotent request runs at most once, whatever fails.

namespace Papaya::Testing
{

namespace
{

TEST(AtMostOnce, AnswersARepeatedKeyAtAnotherInstanceWithTheKeptAnswer)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const Answer first = cluster.request(0, "book-table", "table 7", "key-1");
    ASSERT_EQ(200, first.status) << first.body;
    const Answer second = cluster.request(1, "book-table", "table 7", "key-1");
    EXPECT_EQ(200, second.status) << second.body;
    EXPECT_EQ("1", second.fields.get(Field::REPLAYED));
    EXPECT_EQ(first.body, second.body);
    EXPECT_EQ(1U, cluster.runsOfBody("table 7"));
    EXPECT_EQ(422, cluster.request(1, "book-table", "table 8", "key-1").status);
}

} // namespace

} // namespace Papaya::Testing
