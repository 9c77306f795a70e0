#include "cornelpond/core/base/Histogram.h"

#include <catch2/catch.hpp>

using namespace cornelpond;

TEST_CASE("a histogram counts each duration in the first bucket that holds it")
{
    Histogram histogram;
    for (int64_t const milliseconds : { 5, 6, 100, 1000000 })
        histogram.observe(Duration::milliseconds(milliseconds));
    CHECK(histogram.countUpTo(0) == 1);
    CHECK(histogram.countUpTo(1) == 2);
    CHECK(histogram.countUpTo(4) == 3);
    CHECK(histogram.count() == 4);
    CHECK(histogram.total() == Duration::milliseconds(1000111));
}
