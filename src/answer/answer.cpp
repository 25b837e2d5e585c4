#include "answer/answer.hpp"

#include <utility>
#include <xxhash.h>

namespace marjorambeam
{

void answer_checksum::state_deleter::operator()(XXH3_state_s* state) const
{
    XXH3_freeState(state);
}

answer_checksum::answer_checksum()
    : state_(XXH3_createState())
{
    XXH3_64bits_reset(state_.get());
}

void answer_checksum::append(std::string_view bytes)
{
    if (!bytes.empty())
        XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
}

std::uint64_t answer_checksum::value() const
{
    return XXH3_64bits_digest(state_.get());
}

answer_assembly::answer_assembly(std::string request_id, delivery mode)
    : request_id_(std::move(request_id))
    , mode_(mode)
{
}

void answer_assembly::begin_attempt(std::uint32_t attempt, incarnation agent)
{
    attempt_ = attempt;
    agent_ = agent;
    is_open_ = true;
    next_sequence_ = 0;
    attempt_bytes_ = 0;
    checksum_ = answer_checksum();
    body_.clear();
    if (mode_ == delivery::whole)
        delivered_ = delivered_part{};
}

void answer_assembly::end_attempt()
{
    is_open_ = false;
}

bool answer_assembly::matches(
    std::string_view request_id, std::uint32_t attempt,
    incarnation sender) const
{
    return is_open_ && attempt == attempt_ && sender == agent_ &&
           request_id == request_id_;
}

frame_verdict answer_assembly::drop()
{
    ++stale_frames_;
    return frame_verdict::stale;
}

frame_verdict answer_assembly::reject()
{
    is_open_ = false;
    return frame_verdict::corrupt;
}

frame_verdict answer_assembly::accept(answer_chunk const& chunk)
{
    if (!matches(chunk.request_id, chunk.attempt, chunk.sender))
        return drop();
    if (chunk.sequence != next_sequence_)
        return reject();
    ++next_sequence_;
    attempt_bytes_ += chunk.bytes.size();
    checksum_.append(chunk.bytes);
    delivered_.tokens += chunk.tokens;
    delivered_.bytes += chunk.bytes.size();
    if (mode_ == delivery::whole)
        body_ += chunk.bytes;
    return frame_verdict::accepted;
}

frame_verdict answer_assembly::accept(answer_end const& end)
{
    if (!matches(end.request_id, end.attempt, end.sender))
        return drop();
    bool const is_intact = end.sequence == next_sequence_ &&
                           end.length == attempt_bytes_ &&
                           end.checksum == checksum_.value();
    if (!is_intact)
        return reject();
    is_open_ = false;
    is_whole_ = true;
    return frame_verdict::accepted;
}

bool answer_assembly::is_current(
    std::string_view request_id, std::uint32_t attempt, incarnation sender)
{
    if (matches(request_id, attempt, sender))
        return true;
    ++stale_frames_;
    return false;
}

delivered_part answer_assembly::delivered() const
{
    if (mode_ == delivery::whole && !is_whole_)
        return {};
    return delivered_;
}

end_action decide_after_end(
    delivered_part const& delivered, repeatable_work const& work, run_state run)
{
    bool const has_begun = delivered.bytes > 0;
    bool const may_repeat =
        work.may_retry && (work.is_idempotent || run == run_state::not_run);
    if (!has_begun)
        return may_repeat ? end_action::retry_whole
                          : end_action::end_with_error;
    // Bytes without tokens can't be continued: nothing tells the upstream
    // where to start.
    if (may_repeat && work.can_resume && delivered.tokens > 0)
        return end_action::resume;
    return end_action::end_with_error_event;
}

} // namespace marjorambeam
