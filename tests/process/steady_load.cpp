#include "steady_load.hpp"

namespace marjorambeam
{
namespace
{

constexpr duration pump_period = std::chrono::milliseconds(2);
// Callers wait this long before they send a request again.
constexpr duration retry_pause = std::chrono::milliseconds(50);

} // namespace

steady_load::steady_load(process_fleet& fleet, load_plan plan)
    : fleet_(fleet)
    , plan_(std::move(plan))
    , pump_(fleet.loop(), [this] { pump(); })
{
    pump_.start_every(pump_period);
}

void steady_load::send(load_request& r)
{
    chat_call call = plan_.call;
    call.prompt = r.prompt;
    int const entry =
        static_cast<int>(entry_++ % static_cast<std::uint64_t>(plan_.entries));
    r.call = fleet_.ask(entry, call);
    ++r.tries;
}

void steady_load::note_failure(fleet_call const& call)
{
    bool const has_word = !call.error_field("kind").empty();
    bool const is_unsent =
        !*call.reply && call.reply->error().run == run_state::not_run;
    if (!has_word && !is_unsent)
        ++cut_;
    std::string what = "status " + std::to_string(call.status());
    if (!*call.reply)
        what += " " + call.reply->error().message;
    failed_.push_back(what + " " + call.body.substr(0, 200));
}

void steady_load::pump()
{
    steady_time const now = steady_now();
    for (load_request& it : open_)
    {
        if (it.call == nullptr)
        {
            if (now >= it.retry_at)
                send(it);
        }
        else if (it.call->is_done() && it.call->is_whole())
        {
            done_.push_back(it);
        }
        else if (it.call->is_done())
        {
            note_failure(*it.call);
            it.call = nullptr;
            it.retry_at = now + retry_pause;
        }
    }
    std::erase_if(
        open_, [](load_request const& it)
        { return it.call && it.call->is_done() && it.call->is_whole(); });
    while (!is_stopping_ && open_.size() < plan_.concurrency)
    {
        open_.push_back({"request " + std::to_string(++sent_)});
        send(open_.back());
    }
}

bool steady_load::finish(duration limit)
{
    is_stopping_ = true;
    return fleet_.wait([this] { return open_.empty(); }, limit);
}

std::vector<std::string> steady_load::wrong() const
{
    std::vector<std::string> out;
    for (load_request const& it : done_)
    {
        std::string const version = it.call->header("x-model-version");
        bool const is_right =
            version.starts_with(plan_.call.model + "@") &&
            it.call->text() ==
                fleet_answer(version, it.prompt, plan_.call.tokens);
        if (!is_right)
            out.push_back(it.prompt + " by " + version);
    }
    return out;
}

} // namespace marjorambeam
