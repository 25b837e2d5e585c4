#include "ctl/bill_command.hpp"

#include "billing/ledger.hpp"

#include <nlohmann/json.hpp>
#include <ostream>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::size_t page_size = 100;
constexpr double micro_credits_per_credit = 1e6;

// Reads every segment of the ledger into `b`.
result<void> read_ledger(ctl_context& c, bill& b)
{
    std::string after;
    while (true)
    {
        result<object_list> const page = wait_for<object_list>(
            c.loop, [&](auto done)
            { c.store.list(ledger_kind, after, page_size, done); });
        if (!page)
            return tl::unexpected<error>(page.error());
        for (stored_object const& it : *page)
        {
            if (result<void> r = b.add(it.value); !r)
                return r;
            after = it.name;
        }
        if (!page->has_more)
            return {};
    }
}

json to_row(usage_record const& r)
{
    std::uint64_t tokens_in = 0;
    std::uint64_t tokens_out = 0;
    for (usage_stage const& it : r.stages)
    {
        tokens_in += it.tokens_in;
        tokens_out += it.tokens_out;
    }
    return {{"request_id", r.request_id},      {"target", r.target},
            {"attempts", r.attempts},          {"tokens_in", tokens_in},
            {"tokens_out", tokens_out},        {"whole", r.is_whole},
            {"cost_micro_credits", cost_of(r)}};
}

} // namespace

exit_code run_bill(ctl_context& c, ctl_arguments arguments)
{
    std::string const& customer = arguments[0];
    bill b;
    if (result<void> r = read_ledger(c, b); !r)
        return report_error(c, r.error());
    json rows = json::array();
    for (auto const& [id, it] : b.lines())
    {
        if (it.customer == customer)
            rows.push_back(to_row(it));
    }
    if (rows.empty())
    {
        result<config_snapshot> const config = c.configs.load();
        if (!config)
            return report_error(c, config.error());
        if (config->contracts.count(customer) == 0)
        {
            return report_error(
                c, make_error(
                       error_kind::not_found,
                       "there is no customer \"" + customer + "\""));
        }
    }
    customer_total const t = b.total(customer);
    if (c.is_json())
    {
        c.out << json{{"customer", customer},
                      {"requests", t.requests},
                      {"cut", t.truncated},
                      {"tokens_in", t.tokens_in},
                      {"tokens_out", t.tokens_out},
                      {"cost_micro_credits", t.cost},
                      {"lines", std::move(rows)}}
                     .dump()
              << "\n";
        return exit_code::done;
    }
    c.out << customer << ": " << t.requests << " requests, " << t.truncated
          << " cut, " << t.tokens_in << " tokens in, " << t.tokens_out
          << " tokens out, "
          << static_cast<double>(t.cost) / micro_credits_per_credit
          << " credits\n";
    return exit_code::done;
}

} // namespace marjorambeam
