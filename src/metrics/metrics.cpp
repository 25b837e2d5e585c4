#include "metrics/metrics.hpp"

#include <array>
#include <ctime>

namespace marjorambeam
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.95, 0.99};

void write_line(
    std::ostream& out, std::string_view name, std::string_view labels,
    double value)
{
    out << "marjorambeam_" << name;
    if (!labels.empty())
        out << '{' << labels << '}';
    out << ' ' << value << '\n';
}

std::string reason_label(std::string_view reason)
{
    if (reason.empty())
        return {};
    return "reason=\"" + std::string(reason) + "\"";
}

} // namespace

void metrics::count(std::string_view name, std::string_view reason, double n)
{
    counters_[key(name, reason)](n);
}

void metrics::set(std::string_view name, double value)
{
    gauges_[std::string(name)] = value;
}

void metrics::observe(
    std::string_view name, std::string_view reason, double sample)
{
    key k(name, reason);
    auto it = samples_.find(k);
    if (it == samples_.end())
    {
        it = samples_
                 .emplace(
                     std::move(k),
                     sample_accumulator(
                         acc::extended_p_square_probabilities = quantiles))
                 .first;
    }
    it->second(sample);
}

double metrics::counter(std::string_view name, std::string_view reason) const
{
    auto const it = counters_.find(key(name, reason));
    return it == counters_.end() ? 0 : acc::sum(it->second);
}

double metrics::quantile(
    std::string_view name, std::string_view reason, double p) const
{
    auto const it = samples_.find(key(name, reason));
    if (it == samples_.end())
        return 0;
    return acc::quantile(it->second, acc::quantile_probability = p);
}

std::string metrics::render() const
{
    std::ostringstream out;
    out.precision(12);
    for (auto const& [k, value] : counters_)
        write_line(out, k.first, reason_label(k.second), acc::sum(value));
    for (auto const& [name, value] : gauges_)
        write_line(out, name, {}, value);
    write_line(
        out, "process_cpu_seconds", {},
        static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    for (auto const& [k, value] : samples_)
    {
        std::string const label = reason_label(k.second);
        for (double p : quantiles)
        {
            std::ostringstream labels;
            labels << label << (label.empty() ? "" : ",") << "quantile=\"" << p
                   << "\"";
            write_line(
                out, k.first, labels.str(),
                acc::quantile(value, acc::quantile_probability = p));
        }
        write_line(out, k.first + "_sum", label, acc::sum(value));
        write_line(
            out, k.first + "_count", label,
            static_cast<double>(acc::count(value)));
        write_line(out, k.first + "_max", label, acc::max(value));
    }
    return out.str();
}

} // namespace marjorambeam
