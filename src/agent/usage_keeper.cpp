#include "agent/usage_keeper.hpp"

#include <algorithm>
#include <utility>

namespace marjorambeam
{
namespace
{

// Lists of prices that are remembered; a new one comes with each change of a
// price, of which there are a few a day.
constexpr std::size_t max_price_lists = 16;
constexpr duration remembered_gone = std::chrono::minutes(10);

document_map<usage_stage> prices_of(config_snapshot const& config)
{
    document_map<usage_stage> prices;
    for (auto const& [id, v] : config.versions)
        prices[id] = model_stage(v);
    for (auto const& [name, s] : config.services)
        prices[name] = service_stage(s);
    return prices;
}

usage_stage
find_price(document_map<usage_stage> const& prices, std::string const& target)
{
    auto const it = prices.find(target);
    return it == prices.end() ? usage_stage{} : it->second;
}

} // namespace

usage_keeper::usage_keeper(
    cluster_state& cluster, object_store& store, live_test is_live,
    usage_keeper_settings settings)
    : cluster_(cluster)
    , is_live_(std::move(is_live))
    , settings_(settings)
    , holder_(settings.hold_time)
    , poster_(
          store, cluster.identity.self,
          [this](std::vector<std::string> const& ids)
          {
              cluster_.counters.count(
                  "usage_records_posted_total", "",
                  static_cast<double>(ids.size()));
          },
          settings.posting)
{
    note_config();
}

void usage_keeper::note_config()
{
    price_list prices = prices_of(*cluster_.config);
    if (!prices_.empty() && prices_.back().second == prices)
        return;
    prices_.emplace_back(cluster_.config->number, std::move(prices));
    if (prices_.size() > max_price_lists)
        prices_.pop_front();
}

usage_stage usage_keeper::priced_stage(
    work_request const& r, config_snapshot const& admitted) const
{
    // The entry took its price at this generation, which may be older than
    // the agent's.
    auto const it = std::find_if(
        prices_.rbegin(), prices_.rend(),
        [&](auto const& list) { return list.first <= r.generation; });
    usage_stage stage = it == prices_.rend() || it->second.empty()
                            ? find_price(prices_of(admitted), r.target)
                            : find_price(it->second, r.target);
    stage.target = r.target;
    return stage;
}

void usage_keeper::on_usage(usage_report const& u, steady_time now)
{
    work_request const& r = u.request;
    usage_record record;
    record.request_id = r.request_id;
    record.customer = r.customer;
    record.kind = r.kind;
    record.target = r.target;
    record.attempts = r.attempt;
    record.stages.push_back(priced_stage(r, u.config));
    record.stages.back().tokens_in = u.tokens_in;
    record.stages.back().tokens_out = u.tokens_out;
    record.admitted_ms = to_unix_ms(u.admitted);
    record.poster = process_role::agent;
    record.is_whole = u.is_whole;
    holder_.hold(std::move(record), r.sender, now);
}

void usage_keeper::on_settled(std::vector<std::string> const& request_ids)
{
    holder_.confirmed(request_ids);
    poster_.batcher().remove(request_ids);
}

void usage_keeper::on_entry_gone(incarnation entry, steady_time now)
{
    disconnected_[entry] = now;
}

void usage_keeper::release_gone(steady_time now)
{
    for (auto const& [instance, p] : cluster_.peers)
    {
        auto const it = disconnected_.find(p.sender);
        if (it != disconnected_.end() && is_live_(p))
            it->second = now;
    }
    // An entry that is gone is kept for a while: a call that may not repeat
    // runs to its end without it.
    for (auto const& [entry, live_at] : disconnected_)
    {
        if (now - live_at >= settings_.gone_after)
            holder_.on_entry_lost(entry);
    }
    std::erase_if(
        disconnected_, [&](auto const& it)
        { return now - it.second >= settings_.gone_after + remembered_gone; });
}

void usage_keeper::post(
    std::vector<usage_record> records, std::string_view reason)
{
    if (records.empty())
        return;
    cluster_.counters.count(
        "usage_records_taken_total", reason,
        static_cast<double>(records.size()));
    for (usage_record& it : records)
        poster_.batcher().add(std::move(it));
}

void usage_keeper::tick(steady_time now)
{
    post(holder_.remove_due(now), "late");
    if (!disconnected_.empty())
        release_gone(now);
    post(holder_.remove_due(now), "entry_gone");
    poster_.tick(now);
    cluster_.counters.set("usage_records_held", static_cast<double>(held()));
}

void usage_keeper::flush()
{
    post(holder_.remove_all(), "shutdown");
    poster_.batcher().flush();
}

} // namespace marjorambeam
