// Result of one benchmark measure: a table, checks against bounds and JSON.
//
// Example:
//   measure m("cost");
//   m.row("cascade, seed 1", {{"cost", 0.31}, {"quality", 0.98}});
//   m.at_most(1, "cost", 0.31, 0.5);
//   return m.print() ? 0 : 1;
//
// A bound is a constant from section 1.7 of the design page and never derived
// from a measured figure. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambeam
{

class measure
{
public:
    using cells = std::vector<std::pair<std::string, double>>;

    explicit measure(std::string name)
        : name_(std::move(name))
    {
    }

    // Adds a line to the table. Lines with the same columns share a header.
    void row(std::string label, cells values);

    // Checks one figure of one seed. The name of a check is
    // "MEASURE/SEED/WHAT"; KNOWN-RED.txt lists checks by it.
    void at_most(
        std::uint64_t seed, std::string_view what, double value, double bound);
    void at_least(
        std::uint64_t seed, std::string_view what, double value, double bound);

    // Prints table, checks ("ok" or "FAIL" with the name) and one line of JSON
    // to stdout. Returns whether all checks passed.
    bool print() const;

private:
    struct line
    {
        std::string label;
        cells values;
    };
    struct check
    {
        std::string name;
        double value = 0;
        double bound = 0;
        bool is_upper = true;

        bool has_passed() const
        {
            return is_upper ? value <= bound : value >= bound;
        }
    };

    void add(std::uint64_t seed, std::string_view what, check c);
    std::string to_json() const;

    std::string name_;
    std::vector<line> lines_;
    std::vector<check> checks_;
};

// The value below which the part `q` of the values lies; 0 for none.
double quantile(std::vector<double> values, double q);

// The measures of section 1.7. Each runs the seeds given.
using seed_list = std::vector<std::uint64_t>;
measure measure_cost(seed_list const& seeds);
measure measure_exposure(seed_list const& seeds);
measure measure_small_customer(seed_list const& seeds);
measure measure_zone(seed_list const& seeds);
measure measure_overload(seed_list const& seeds);
measure measure_latency(seed_list const& seeds);
measure measure_config(seed_list const& seeds);

} // namespace marjorambeam
