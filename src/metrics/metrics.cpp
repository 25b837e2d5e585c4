#include "metrics/metrics.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <numeric>

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

void add_label(
    std::string& labels, std::string_view name, std::string_view value)
{
    if (value.empty())
        return;
    if (!labels.empty())
        labels += ',';
    labels.append(name).append("=\"");
    for (char c : value)
    {
        if (c == '"' || c == '\\')
            labels += '\\';
        labels += c == '\n' ? ' ' : c;
    }
    labels += '"';
}

std::string reason_label(std::string_view reason)
{
    std::string labels;
    add_label(labels, "reason", reason);
    return labels;
}

} // namespace

void latency_histogram::add(double seconds)
{
    auto const it = std::lower_bound(
        latency_buckets.begin(), latency_buckets.end(), seconds);
    ++buckets_[static_cast<std::size_t>(it - latency_buckets.begin())];
    samples_(seconds);
}

std::uint64_t latency_histogram::up_to(std::size_t i) const
{
    return std::accumulate(
        buckets_.begin(), buckets_.begin() + static_cast<std::ptrdiff_t>(i) + 1,
        std::uint64_t{0});
}

double latency_histogram::sum() const
{
    return acc::sum(samples_);
}

std::uint64_t latency_histogram::count() const
{
    return acc::count(samples_);
}

void metrics::count(std::string_view name, std::string_view reason, double n)
{
    counters_[key(name, reason_label(reason))](n);
}

std::string metrics::bounded_labels(
    std::string_view name, std::string_view reason, metric_scope const& scope)
{
    std::string labels = reason_label(reason);
    add_label(labels, "route", scope.route);
    add_label(labels, "class", scope.organisation_class);
    key k(name, std::move(labels));
    if (counters_.contains(k) || histograms_.contains(k))
        return k.second;
    if (series_[k.first] >= max_series_per_name)
        return reason_label(reason);
    ++series_[k.first];
    return k.second;
}

void metrics::count(
    std::string_view name, std::string_view reason, metric_scope const& scope)
{
    counters_[key(name, bounded_labels(name, reason, scope))](1);
}

latency_histogram&
metrics::histogram(std::string_view name, metric_scope const& scope)
{
    return histograms_[key(name, bounded_labels(name, {}, scope))];
}

void metrics::set(std::string_view name, double value)
{
    gauges_[key(name, std::string())] = value;
}

void metrics::set(std::string_view name, gauge_scope const& scope, double value)
{
    std::string labels;
    add_label(labels, "service", scope.service);
    add_label(labels, "kind", scope.kind);
    add_label(labels, "progress", scope.progress);
    key k(name, std::move(labels));
    if (!gauges_.contains(k))
    {
        std::size_t& series = series_[k.first];
        if (series >= max_series_per_name)
            return;
        ++series;
    }
    gauges_[std::move(k)] = value;
}

void metrics::clear_gauge(std::string_view name)
{
    auto const first = gauges_.lower_bound(key(name, std::string()));
    auto last = first;
    while (last != gauges_.end() && last->first.first == name)
        ++last;
    gauges_.erase(first, last);
    series_.erase(std::string(name));
}

void metrics::observe(
    std::string_view name, std::string_view reason, double sample)
{
    key k(name, reason_label(reason));
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
    std::string const label = reason_label(reason);
    std::string const more = label.empty() ? "route=" : label + ",";
    double sum = 0;
    for (auto it = counters_.lower_bound(key(name, label));
         it != counters_.end() && it->first.first == name; ++it)
    {
        std::string const& labels = it->first.second;
        if (labels == label || labels.starts_with(more))
            sum += acc::sum(it->second);
    }
    return sum;
}

double metrics::quantile(
    std::string_view name, std::string_view reason, double p) const
{
    auto const it = samples_.find(key(name, reason_label(reason)));
    if (it == samples_.end())
        return 0;
    return acc::quantile(it->second, acc::quantile_probability = p);
}

std::string metrics::render() const
{
    std::ostringstream out;
    out.precision(12);
    for (auto const& [k, value] : counters_)
        write_line(out, k.first, k.second, acc::sum(value));
    for (auto const& [k, value] : gauges_)
        write_line(out, k.first, k.second, value);
    write_line(
        out, "process_cpu_seconds", {},
        static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    for (auto const& [k, value] : histograms_)
    {
        std::string const comma = k.second.empty() ? "" : ",";
        for (std::size_t i = 0; i <= latency_buckets.size(); ++i)
        {
            std::ostringstream labels;
            labels << k.second << comma << "le=\"";
            if (i < latency_buckets.size())
                labels << latency_buckets[i];
            else
                labels << "+Inf";
            labels << '"';
            write_line(
                out, k.first + "_bucket", labels.str(),
                static_cast<double>(value.up_to(i)));
        }
        write_line(out, k.first + "_sum", k.second, value.sum());
        write_line(
            out, k.first + "_count", k.second,
            static_cast<double>(value.count()));
    }
    for (auto const& [k, value] : samples_)
    {
        std::string const& label = k.second;
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
