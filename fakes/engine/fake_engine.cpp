#include "fakes/engine/fake_engine.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

constexpr std::uint64_t max_tokens = 4096;
constexpr std::uint64_t default_tokens = 16;
constexpr std::string_view crash_mark = "CRASH-ENGINE";
// Requests in a batch that double the time per token.
constexpr double batch_doubling = 32;
// A prefix cache hit divides the time to the first token by this.
constexpr int prefix_speed_up = 2;
constexpr std::size_t prefix_bytes = 64;

std::string prompt_of(json const& body)
{
    std::string out;
    if (!body.contains("messages") || !body["messages"].is_array())
        return out;
    for (json const& it : body["messages"])
    {
        if (it.is_object() && it.contains("content") &&
            it["content"].is_string())
            out += it["content"].get_ref<std::string const&>();
    }
    return out;
}

std::uint64_t word_count(std::string_view text)
{
    return 1 + static_cast<std::uint64_t>(
                   std::count(text.begin(), text.end(), ' '));
}

std::uint64_t
number_in(json const& body, char const* name, std::uint64_t fallback)
{
    if (!body.contains(name) || !body[name].is_number_unsigned())
        return fallback;
    return body[name].get<std::uint64_t>();
}

void respond_json(http_exchange& ex, int status, json const& body)
{
    ex.respond(
        status, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

// Closes the connection before the end of the answer.
void cut(http_exchange& ex)
{
    if (ex.is_started())
        ex.end_stream(false);
    else
        ex.drop();
}

} // namespace

// One request being answered or waiting.
struct fake_engine::generation_job
{
    std::shared_ptr<http_exchange> exchange;
    std::string model;
    std::string prompt;
    bool is_stream = false;
    bool is_gone = false; // the client closed the connection
    std::uint64_t next = 0;
    std::uint64_t total = 0;
    std::uint64_t emitted = 0;
    steady_time ready_at{};
    std::string text;

    json usage() const
    {
        std::uint64_t const in = word_count(prompt);
        return {
            {"prompt_tokens", in},
            {"completion_tokens", emitted},
            {"total_tokens", in + emitted}};
    }
};

std::string fake_engine_token(
    std::string_view model, std::string_view prompt, std::uint64_t index)
{
    std::uint64_t const seed = hash64(model) + index;
    return " " + to_hex(hash64(prompt, seed)).substr(0, 4);
}

fake_engine::fake_engine(ev::loop_ref loop, fake_engine_settings settings)
    : settings_(std::move(settings))
    , incarnation_(random_incarnation())
    , step_timer_(loop, [this] { step(); })
    , warm_timer_(loop, [this] { is_cold_ = false; })
    , restart_timer_(
          loop,
          [this]
          {
              is_down_ = false;
              incarnation_ = random_incarnation();
              set_cold(settings_.starts_cold);
          })
    , report_timer_(
          loop,
          [this] {
              reported_ = {running_.size(), waiting_.size(), is_cold_};
          })
    , server_(
          loop, {.address = settings_.address},
          [this](std::shared_ptr<http_exchange> const& ex) { on_request(ex); })
{
    set_cold(settings_.starts_cold);
    reported_.is_cold = is_cold_;
    if (settings_.load_lag > duration(0))
        report_timer_.start_every(settings_.load_lag);
}

fake_engine::~fake_engine() = default;

std::string fake_engine::address() const
{
    return server_.address();
}

std::string fake_engine::url() const
{
    return "http://" + address();
}

void fake_engine::set_faults(fake_engine_faults faults)
{
    faults_ = faults;
    if (!faults_.is_silent)
        unanswered_.clear();
    schedule();
}

void fake_engine::set_cold(bool is_cold)
{
    is_cold_ = is_cold;
    warm_timer_.stop();
    if (is_cold && settings_.cold_time > duration(0))
        warm_timer_.start(settings_.cold_time);
}

void fake_engine::crash()
{
    ++counts_.crashed;
    is_down_ = true;
    step_timer_.stop();
    auto drop = [this](generation_job& job)
    {
        ++counts_.lost;
        job.exchange->on_close(nullptr);
        cut(*job.exchange);
    };
    for (auto const& it : running_)
        drop(*it);
    for (auto const& it : waiting_)
        drop(*it);
    running_.clear();
    waiting_.clear();
    prefixes_.clear();
    restart_timer_.start(settings_.restart_time);
}

void fake_engine::on_request(std::shared_ptr<http_exchange> const& ex)
{
    http_request const& r = ex->request();
    if (r.method == "PUT" && r.path == "/faults")
        return change_faults(*ex);
    if (r.method == "GET" && r.path == "/counts")
        return report_counts(*ex);
    if (faults_.is_silent)
    {
        unanswered_.push_back(ex);
        return;
    }
    if (is_down_)
        return respond_json(*ex, 503, {{"error", "restarting"}});
    if (r.method == "POST" && r.path == "/v1/chat/completions")
        return complete(ex);
    if (r.method == "POST" && r.path == "/commands")
        return command(*ex);
    if (r.method == "GET" && r.path == "/load")
        return report_load(*ex);
    respond_json(*ex, 404, {{"error", "no such path"}});
}

void fake_engine::complete(std::shared_ptr<http_exchange> const& ex)
{
    json const body = json::parse(ex->request().body, nullptr, false);
    if (!body.is_object())
        return respond_json(*ex, 400, {{"error", "the body is not JSON"}});
    auto job = std::make_unique<generation_job>();
    job->exchange = ex;
    job->model = body.value("model", std::string());
    job->prompt = prompt_of(body);
    job->is_stream = body.value("stream", false);
    job->next = number_in(body, "resume_from", 0);
    job->total =
        std::min(max_tokens, number_in(body, "max_tokens", default_tokens));
    ++counts_.started;
    generation_job* const raw = job.get();
    ex->on_close([raw] { raw->is_gone = true; });
    bool const crashes = job->prompt.find(crash_mark) != std::string::npos;
    waiting_.push_back(std::move(job));
    if (crashes)
        return crash();
    admit_waiting();
}

void fake_engine::admit_waiting()
{
    while (!waiting_.empty() && running_.size() < settings_.max_running)
    {
        std::unique_ptr<generation_job> job = std::move(waiting_.front());
        waiting_.pop_front();
        if (job->is_gone)
        {
            ++counts_.cancelled;
            continue;
        }
        job->ready_at = steady_now() + first_token_time(job->prompt);
        if (job->is_stream)
        {
            job->exchange->start_stream(
                200, {{"Content-Type", "text/event-stream"}});
        }
        running_.push_back(std::move(job));
        note_concurrency();
        if (is_cold_ && running_.size() > settings_.cold_concurrency)
            return crash();
    }
    schedule();
}

void fake_engine::note_concurrency()
{
    counts_.max_running =
        std::max<std::uint64_t>(counts_.max_running, running_.size());
    if (!is_cold_)
        return;
    counts_.max_running_cold =
        std::max<std::uint64_t>(counts_.max_running_cold, running_.size());
}

duration fake_engine::first_token_time(std::string const& prompt)
{
    std::uint64_t const prefix =
        hash64(std::string_view(prompt).substr(0, prefix_bytes));
    bool const is_hit = std::find(prefixes_.begin(), prefixes_.end(), prefix) !=
                        prefixes_.end();
    if (!is_hit)
        prefixes_.push_back(prefix);
    if (prefixes_.size() > settings_.cached_prefixes)
        prefixes_.pop_front();
    double seconds = to_seconds(settings_.first_token) * faults_.slow_factor;
    if (is_hit)
        seconds /= prefix_speed_up;
    if (is_cold_)
        seconds *= settings_.cold_factor;
    return from_seconds(seconds) + faults_.delay;
}

duration fake_engine::step_time() const
{
    double const batch =
        1 + static_cast<double>(running_.size()) / batch_doubling;
    return from_seconds(
        to_seconds(settings_.token_interval) * batch * faults_.slow_factor);
}

void fake_engine::schedule()
{
    bool const is_idle = running_.empty() || faults_.is_silent || is_down_;
    if (is_idle)
        return step_timer_.stop();
    if (step_timer_.is_active())
        return;
    // With no job ready there is nothing to do before the earliest one is.
    auto const first = std::min_element(
        running_.begin(), running_.end(),
        [](auto const& a, auto const& b) { return a->ready_at < b->ready_at; });
    duration const until_ready = (*first)->ready_at - steady_now();
    step_timer_.start(std::max(step_time(), until_ready));
}

void fake_engine::step()
{
    steady_time const now = steady_now();
    std::erase_if(
        running_,
        [&](std::unique_ptr<generation_job> const& it)
        {
            if (it->ready_at > now)
                return false;
            return !advance(*it);
        });
    admit_waiting();
}

bool fake_engine::advance(generation_job& job)
{
    if (job.is_gone)
    {
        ++counts_.cancelled;
        return false;
    }
    bool const is_cut =
        faults_.cut_after_tokens > 0 && job.emitted >= faults_.cut_after_tokens;
    if (is_cut)
    {
        ++counts_.lost;
        job.exchange->on_close(nullptr);
        cut(*job.exchange);
        return false;
    }
    if (job.next >= job.total)
    {
        finish(job);
        return false;
    }
    std::string const token =
        fake_engine_token(job.model, job.prompt, job.next);
    ++job.next;
    ++job.emitted;
    if (!job.is_stream)
    {
        job.text += token;
        return true;
    }
    // Tokens need no escapes, so the chunk is put together directly.
    return job.exchange->write(
        R"(data: {"object":"chat.completion.chunk","choices":[{"index":0,)"
        R"("delta":{"content":")" +
        token + "\"},\"finish_reason\":null}]}\n\n");
}

void fake_engine::finish(generation_job& job)
{
    ++counts_.finished;
    job.exchange->on_close(nullptr);
    json choice = {{"index", 0}, {"finish_reason", "stop"}};
    json body = {{"model", job.model}, {"usage", job.usage()}};
    if (!job.is_stream)
    {
        choice["message"] = {{"role", "assistant"}, {"content", job.text}};
        body["object"] = "chat.completion";
        body["choices"] = json::array({choice});
        return respond_json(*job.exchange, 200, body);
    }
    choice["delta"] = json::object();
    body["object"] = "chat.completion.chunk";
    body["choices"] = json::array({choice});
    job.exchange->write("data: " + body.dump() + "\n\ndata: [DONE]\n\n");
    job.exchange->end_stream();
}

void fake_engine::change_faults(http_exchange& ex)
{
    json const body = json::parse(ex.request().body, nullptr, false);
    if (!body.is_object())
        return respond_json(ex, 400, {{"error", "the body is not JSON"}});
    fake_engine_faults next = faults_;
    next.is_silent = body.value("silent", next.is_silent);
    next.cut_after_tokens =
        body.value("cut_after_tokens", next.cut_after_tokens);
    next.slow_factor = body.value("slow_factor", next.slow_factor);
    if (body.contains("delay_ms"))
        next.delay = std::chrono::milliseconds(body["delay_ms"].get<int>());
    set_faults(next);
    if (body.contains("cold"))
        set_cold(body["cold"].get<bool>());
    if (body.value("reset_max_running", false))
    {
        counts_.max_running = 0;
        counts_.max_running_cold = 0;
        note_concurrency();
    }
    if (body.value("crash_now", false))
        crash();
    respond_json(ex, 200, json::object());
}

void fake_engine::command(http_exchange& ex)
{
    json const body = json::parse(ex.request().body, nullptr, false);
    if (!body.is_object())
        return respond_json(ex, 400, {{"error", "the body is not JSON"}});
    std::uint64_t const fencing = number_in(body, "fencing", 0);
    if (settings_.checks_fencing && fencing < highest_fencing_)
        return respond_json(ex, 409, {{"error", "fenced"}});
    highest_fencing_ = std::max(highest_fencing_, fencing);
    std::string const name = body.value("command", std::string());
    if (name == "load_model")
    {
        models_.push_back(body.value("model", std::string()));
        set_cold(true);
    }
    else if (name == "change_role")
    {
        role_ = body.value("role", role_);
    }
    else
    {
        return respond_json(ex, 400, {{"error", "no such command"}});
    }
    respond_json(ex, 200, {{"models", models_}, {"role", role_}});
}

void fake_engine::report_load(http_exchange& ex)
{
    if (settings_.load_lag == duration(0))
        reported_ = {running_.size(), waiting_.size(), is_cold_};
    respond_json(
        ex, 200,
        {{"running", reported_.running},
         {"waiting", reported_.waiting},
         {"incarnation", incarnation_},
         {"is_cold", reported_.is_cold}});
}

void fake_engine::report_counts(http_exchange& ex)
{
    respond_json(
        ex, 200,
        {{"started", counts_.started},
         {"finished", counts_.finished},
         {"cancelled", counts_.cancelled},
         {"crashed", counts_.crashed},
         {"lost", counts_.lost},
         {"max_running_cold", counts_.max_running_cold},
         {"max_running", counts_.max_running}});
}

} // namespace marjorambeam
