#include "entry/usage_handover.hpp"

#include <algorithm>
#include <span>

namespace marjorambeam
{
namespace
{

// An available object API accepts the last segment within this time.
constexpr duration store_grace_period = std::chrono::seconds(2);
constexpr duration call_timeout = std::chrono::seconds(2);
// About 2 MB of JSON; the frame limit is 8 MiB.
constexpr std::size_t max_batch_records = 5000;

} // namespace

usage_handover::usage_handover(
    entry_state& state, usage_controller& usage, live_entries& live,
    peer_calls& calls)
    : state_(state)
    , usage_(usage)
    , live_(live)
    , calls_(calls)
{
    calls_.serve(
        std::string(usage_handover_call),
        [this](std::string_view, std::string_view body)
            -> std::optional<std::string>
        {
            result<std::vector<usage_record>> records = decode_records(body);
            if (!records || state_.cluster.is_shutting_down)
                return std::nullopt;
            for (usage_record& it : *records)
                usage_.accept_handover(std::move(it));
            return "taken";
        });
}

bool usage_handover::run(steady_time now)
{
    if (started_at_ == steady_time{})
        started_at_ = now;
    if (is_call_pending_ || now - started_at_ < store_grace_period)
        return false;
    if (!has_records_)
    {
        has_records_ = true;
        records_ = usage_.unconfirmed();
    }
    if (records_.empty())
        return true;
    std::vector<std::string> others;
    for (std::string const& it : live_.names())
    {
        if (!live_.is_self(it))
            others.push_back(it);
    }
    if (!others.empty())
        send_batch(others[next_peer_ % others.size()]);
    return false;
}

void usage_handover::send_batch(std::string const& instance)
{
    std::size_t const n = std::min(records_.size(), max_batch_records);
    is_call_pending_ = true;
    calls_.call(
        instance, usage_handover_call,
        encode_records(std::span(records_).last(n)), call_timeout,
        [this, n](result<std::string> const& reply)
        {
            is_call_pending_ = false;
            if (reply)
                records_.resize(records_.size() - n);
            else
                ++next_peer_;
        });
}

} // namespace marjorambeam
