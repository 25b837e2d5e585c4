#include "bench/policy_model/measure.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace marjorambeam
{

void measure::row(std::string label, cells values)
{
    lines_.push_back({std::move(label), std::move(values)});
}

void measure::add(std::uint64_t seed, std::string_view what, check c)
{
    c.name = name_ + "/" + std::to_string(seed) + "/" + std::string(what);
    checks_.push_back(std::move(c));
}

void measure::at_most(
    std::uint64_t seed, std::string_view what, double value, double bound)
{
    add(seed, what, {.value = value, .bound = bound, .is_upper = true});
}

void measure::at_least(
    std::uint64_t seed, std::string_view what, double value, double bound)
{
    add(seed, what, {.value = value, .bound = bound, .is_upper = false});
}

bool measure::print() const
{
    std::string header;
    for (line const& it : lines_)
    {
        std::string columns;
        for (auto const& [name, value] : it.values)
        {
            std::string column = " ";
            column.append(name.size() < 12 ? 12 - name.size() : 0, ' ');
            columns += column + name;
        }
        if (columns != header)
            std::printf("%-34s%s\n", name_.c_str(), columns.c_str());
        header = columns;
        std::printf("%-34s", it.label.c_str());
        for (auto const& [name, value] : it.values)
            std::printf(
                " %*.4g",
                static_cast<int>(std::max<std::size_t>(12, name.size())),
                value);
        std::printf("\n");
    }
    bool has_passed = true;
    for (check const& it : checks_)
    {
        has_passed &= it.has_passed();
        std::printf(
            "%-4s %s: %.4g, bound at %s %.4g\n",
            it.has_passed() ? "ok" : "FAIL", it.name.c_str(), it.value,
            it.is_upper ? "most" : "least", it.bound);
    }
    std::printf("JSON %s\n", to_json().c_str());
    return has_passed;
}

std::string measure::to_json() const
{
    nlohmann::json out{
        {"measure", name_},
        {"rows", nlohmann::json::array()},
        {"checks", nlohmann::json::array()}};
    for (line const& it : lines_)
    {
        nlohmann::json row{{"label", it.label}};
        for (auto const& [name, value] : it.values)
            row[name] = value;
        out["rows"].push_back(std::move(row));
    }
    for (check const& it : checks_)
        out["checks"].push_back(
            {{"name", it.name},
             {"value", it.value},
             {it.is_upper ? "at_most" : "at_least", it.bound},
             {"passed", it.has_passed()}});
    return out.dump();
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    auto const at =
        static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace marjorambeam
