#include "gateway/error_histogram.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace marjorambeam;

namespace
{

double percentile(error_histogram const& h, double p)
{
    return std::exp(quantile(h, p));
}

} // namespace

// Guards against errors that fall as the load rises, because slow responses are
// cut off at deadlines of 0.7 to 3 times the prediction: about a third of
// them. The median of those that complete is 1.05, that of all is 1.3.
TEST_CASE("Responses that are cut off count as later than they were cut")
{
    std::mt19937 random{17};
    std::lognormal_distribution<double> took{std::log(1.3), 0.5};
    std::uniform_real_distribution<double> deadline{0.7, 3};
    error_histogram h;
    for (int i = 0; i < 800; ++i)
    {
        double const ratio = took(random);
        double const cut = deadline(random);
        if (ratio > cut)
            add_least_error(h, std::log(cut));
        else
            add_error(h, std::log(ratio));
    }
    CHECK(percentile(h, 0.1) == Approx(0.69).epsilon(0.15));
    CHECK(percentile(h, 0.5) == Approx(1.3).epsilon(0.12));
    CHECK(percentile(h, 0.9) == Approx(2.47).epsilon(0.25));
}

// Guards against an error that rises with each response where nearly all are
// cut off at the time that was predicted.
TEST_CASE("The error stays near the cut if most responses are cut off")
{
    error_histogram h;
    add_least_error(h, 0);
    double const first = percentile(h, 0.5);
    for (int i = 0; i < 5000; ++i)
        add_least_error(h, 0);
    CHECK(percentile(h, 0.1) >= 1);
    CHECK(percentile(h, 0.5) == Approx(first).epsilon(0.01));
    CHECK(percentile(h, 0.5) < 2);
}

// Guards against a range of errors that begins at the first bin, a factor of
// 1/20, whatever was seen, and against one that an outlier of long ago widens:
// responses that take 1 to 1.2 times the prediction, after a stall of 10 times.
TEST_CASE("The extreme percentiles are the limits of the recent errors")
{
    error_histogram h;
    add_error(h, std::log(10));
    for (int i = 0; i < 1500; ++i)
        add_error(h, 0.05 + 0.1 * (i % 2));
    CHECK(quantile(h, 0) == Approx(0).margin(1e-9));
    CHECK(quantile(h, 1) == Approx(2.4)); // the end of the bin of 10
    for (int i = 0; i < 500; ++i)
        add_error(h, 0.05 + 0.1 * (i % 2));
    CHECK(quantile(h, 0) == Approx(0).margin(1e-9));
    CHECK(quantile(h, 0.25) == Approx(0.05).margin(0.01));
    CHECK(quantile(h, 1) == Approx(0.2));
}
