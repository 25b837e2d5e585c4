#include "billing/usage_batcher.hpp"

#include <algorithm>

namespace marjorambeam
{

usage_batcher::usage_batcher(incarnation self, batch_times times)
    : self_(self)
    , times_(times)
{
}

void usage_batcher::add(usage_record record)
{
    std::string const id = record.request_id;
    auto const found = waiting_.find(id);
    if (found == waiting_.end())
    {
        waiting_bytes_ += encoded_bytes(record);
        order_.push_back(id);
        waiting_.emplace(id, std::move(record));
        return;
    }
    if (!supersedes(record, found->second))
        return;
    waiting_bytes_ -= encoded_bytes(found->second);
    waiting_bytes_ += encoded_bytes(record);
    found->second = std::move(record);
}

void usage_batcher::remove(std::span<std::string const> request_ids)
{
    for (std::string const& it : request_ids)
    {
        auto const found = waiting_.find(it);
        if (found == waiting_.end())
            continue;
        waiting_bytes_ -= encoded_bytes(found->second);
        waiting_.erase(found);
    }
}

bool usage_batcher::is_due(steady_time now)
{
    if (waiting_.empty())
    {
        waiting_since_.reset();
        is_flushing_ = false;
        return false;
    }
    if (!waiting_since_)
        waiting_since_ = now;
    if (is_flushing_ || waiting_bytes_ >= max_segment_payload_bytes)
        return true;
    duration const period = waiting_.size() < times_.quiet_record_limit
                                ? times_.quiet_period
                                : times_.busy_period;
    return now - *waiting_since_ >= period;
}

void usage_batcher::fill_segment()
{
    std::size_t bytes = 0;
    while (!order_.empty())
    {
        auto const found = waiting_.find(order_.front());
        if (found == waiting_.end())
        {
            order_.pop_front(); // removed
            continue;
        }
        std::size_t const n = encoded_bytes(found->second);
        if (!posting_.empty() && bytes + n > max_segment_payload_bytes)
            break;
        bytes += n;
        waiting_bytes_ -= n;
        posting_.push_back(std::move(found->second));
        waiting_.erase(found);
        order_.pop_front();
    }
    segment_ = make_segment(self_, ++sequence_, posting_);
    waiting_since_.reset();
}

std::optional<ledger_segment> usage_batcher::next_segment(steady_time now)
{
    if (is_under_way_)
        return std::nullopt;
    if (segment_)
    {
        if (now < retry_at_ && !is_flushing_)
            return std::nullopt;
    }
    else
    {
        if (!is_due(now))
            return std::nullopt;
        fill_segment();
    }
    is_under_way_ = true;
    return segment_;
}

std::vector<std::string> usage_batcher::confirm_segment()
{
    std::vector<std::string> ids;
    ids.reserve(posting_.size());
    for (usage_record const& it : posting_)
        ids.push_back(it.request_id);
    posting_.clear();
    segment_.reset();
    is_under_way_ = false;
    may_exist_ = false;
    retry_delay_ = duration{0};
    ++segments_;
    return ids;
}

std::vector<std::string> usage_batcher::on_created()
{
    return confirm_segment();
}

std::vector<std::string>
usage_batcher::on_failed(error const& e, steady_time now)
{
    is_under_way_ = false;
    if (e.kind == error_kind::conflict)
    {
        if (may_exist_)
            return confirm_segment();
        segment_ = make_segment(self_, ++sequence_, posting_);
        retry_at_ = now;
        return {};
    }
    if (e.run != run_state::not_run)
        may_exist_ = true;
    retry_delay_ = std::clamp(
        retry_delay_ * 2, times_.initial_retry_delay, times_.max_retry_delay);
    retry_at_ = now + retry_delay_;
    return {};
}

void usage_batcher::flush()
{
    is_flushing_ = true;
}

std::vector<usage_record> usage_batcher::unconfirmed() const
{
    std::vector<usage_record> all = posting_;
    for (auto const& [id, record] : waiting_)
        all.push_back(record);
    return all;
}

batcher_status usage_batcher::status() const
{
    batcher_status s;
    for (auto const& [id, record] : waiting_)
        s.waiting.push_back(id);
    std::sort(s.waiting.begin(), s.waiting.end());
    for (usage_record const& it : posting_)
        s.posting.push_back(it.request_id);
    s.sequence = sequence_;
    s.is_in_flight = is_under_way_;
    s.may_be_stored = may_exist_;
    return s;
}

unconfirmed_usage::unconfirmed_usage(duration hold_time)
    : hold_time_(hold_time)
{
}

void unconfirmed_usage::hold(
    usage_record record, incarnation entry, steady_time now)
{
    std::string const id = record.request_id;
    auto const found = by_id_.find(id);
    if (found == by_id_.end())
    {
        by_id_.emplace(id, unconfirmed_record{std::move(record), entry, now});
        return;
    }
    if (supersedes(record, found->second.record))
        found->second.record = std::move(record);
    found->second.entry = entry;
    found->second.since = now;
    found->second.is_orphan = false;
}

void unconfirmed_usage::confirmed(std::span<std::string const> request_ids)
{
    for (std::string const& it : request_ids)
        by_id_.erase(it);
}

void unconfirmed_usage::on_entry_lost(incarnation entry)
{
    for (auto& [id, held] : by_id_)
    {
        if (held.entry == entry)
            held.is_orphan = true;
    }
}

std::vector<usage_record> unconfirmed_usage::remove_due(steady_time now)
{
    std::vector<usage_record> due;
    for (auto it = by_id_.begin(); it != by_id_.end();)
    {
        unconfirmed_record& held = it->second;
        if (!held.is_orphan && now - held.since < hold_time_)
        {
            ++it;
            continue;
        }
        due.push_back(std::move(held.record));
        it = by_id_.erase(it);
    }
    return due;
}

std::vector<usage_record> unconfirmed_usage::remove_all()
{
    std::vector<usage_record> all;
    for (auto& [id, held] : by_id_)
        all.push_back(std::move(held.record));
    by_id_.clear();
    return all;
}

} // namespace marjorambeam
