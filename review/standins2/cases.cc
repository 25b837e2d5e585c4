// The cases of the second review. Each starts gateways as processes among
// stand-ins, judges one rule and leaves with 1 if it was broken, 0 if it held
// and 2 if the case couldn't run.
#include "standins.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace review
{
namespace
{

double draw(double below)
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    std::lock_guard const lock(mutex);
    return std::uniform_real_distribution<double>(0, below)(random);
}

// Runs of each client attempt, and how its client was answered.
struct attempt_log
{
    struct entry
    {
        int runs = 0;
        int status = 0; // 0: none
    };
    std::mutex mutex;
    std::map<std::string, entry> all;

    void run(std::string const& id, std::string const& where)
    {
        std::lock_guard const lock(mutex);
        ++all[id].runs;
        record.line("run " + id + " at " + where);
    }
    void answer(std::string const& id, int status)
    {
        std::lock_guard const lock(mutex);
        all[id].status = status;
        record.line("answer " + id + " " + std::to_string(status));
    }
};

bool is_promise(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string attempt_of(std::string const& request)
{
    constexpr std::string_view name = "Attempt-Id: ";
    std::size_t const at = request.find(name) + name.size();
    return request.substr(at, request.find('\r', at) - at);
}

// A client's channel to a gateway, which it keeps for many requests.
class channel
{
public:
    // Sends one request; 0 if no whole answer came.
    http_message
    ask(std::string const& address, std::string const& request, int timeout_ms)
    {
        http_message m;
        record.line("sent " + attempt_of(request) + " to " + address);
        if (!c_ || address != address_ || c_->has_ended())
            c_ = connection::to(address);
        address_ = address;
        if (!c_ || !c_->write(request) ||
            !c_->read_message(m, true, timeout_ms) || !m.is_whole)
        {
            c_.reset();
            return {};
        }
        if (m.header("Connection") == "close")
            c_.reset();
        return m;
    }
    void close()
    {
        c_.reset();
    }

private:
    std::string address_;
    std::shared_ptr<connection> c_;
};

// Waits as an answer asks, a third of the time limit at most.
void honour_retry_after(http_message const& m, int limit_ms)
{
    double const s = std::atof(m.header("Retry-After").c_str());
    sleep_ms(static_cast<int>(std::min(s * 1000, limit_ms / 3.0)));
}

// ---------------------------------------------------------------- refusals

// Takes a slot of a plain worker, or a place in its queue. Returns false when
// both are full.
bool take_slot(worker& w, int queue, std::shared_ptr<connection> const& c)
{
    std::unique_lock lock(w.mutex);
    if (w.running < w.slots())
    {
        ++w.running;
        return true;
    }
    if (w.waiting >= queue)
        return false;
    ++w.waiting;
    int const lifetime = w.lifetime();
    w.freed.wait(
        lock,
        [&] { return w.running < w.slots() || w.lifetime() != lifetime; });
    --w.waiting;
    ++w.running;
    (void)c;
    return true;
}

void give_slot(worker& w)
{
    {
        std::lock_guard const lock(w.mutex);
        --w.running;
    }
    w.freed.notify_one();
}

std::string load_of(worker const& w)
{
    return std::to_string(w.running) + "," + std::to_string(w.waiting) + "," +
           std::to_string(w.slots()) + "," +
           std::to_string(95 + static_cast<int>(draw(11)));
}

// The late second copy of an answer waits on its channel for the next request.
std::mutex extras_mutex;
std::map<connection*, std::string> extras;

std::string take_extra(connection* c)
{
    std::lock_guard const lock(extras_mutex);
    auto const it = extras.find(c);
    if (it == extras.end())
        return {};
    std::string text = std::move(it->second);
    extras.erase(it);
    return text;
}

[[noreturn]] void late_refusals()
{
    constexpr int worker_count = 4;
    constexpr int garbling = 2; // share 0.5
    constexpr double extra_part = 0.03;
    constexpr int slots = 6;
    constexpr int queue = 4;
    constexpr int work_ms = 60;
    constexpr int clients = 220;
    constexpr int limit_ms = 2500;
    constexpr int seconds_before = 8;
    constexpr int garbled_ms = 5000;
    constexpr int seconds_after = 8;
    static std::atomic<bool> is_garbling{false};
    static attempt_log log;
    static std::atomic<long> refusals{0};
    static std::atomic<long> copies{0};
    static std::atomic<long> refusal_copies{0};
    std::string const folder = make_temporary_folder();
    static store s(loopback(200));
    json config = make_config();
    s.put("config", "main", config);
    static std::set<worker const*> garblers;
    std::vector<std::unique_ptr<worker>> workers;
    auto serve = [](worker& w, std::shared_ptr<connection> const& c,
                    http_message const& m)
    {
        std::string const id = m.header("Attempt-Id");
        std::string const extra = take_extra(c.get());
        if (!extra.empty())
        {
            record.line(
                "extra copy before the answer to " + id + " by " + w.id());
            c->write(extra);
        }
        bool const is_mine = m.header("Expected-Instance") == w.id();
        std::string answer;
        if (!is_mine)
            answer =
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.id() +
                "\r\nContent-Length: 0\r\n\r\n";
        else if (!take_slot(w, queue, c))
        {
            ++refusals;
            record.line("refusal " + id + " by " + w.id());
            answer = "HTTP/1.1 503 Service Unavailable\r\n"
                     "Not-Executed: 1\r\nServer-Load: " +
                     load_of(w) + "\r\nContent-Length: 0\r\n\r\n";
        }
        else if (c->has_ended())
        {
            give_slot(w);
            return false; // its caller has left while it waited
        }
        else
        {
            log.run(id, w.id());
            sleep_ms(static_cast<int>(work_ms * (0.5 + draw(1.0))));
            give_slot(w);
            std::string const body = "done " + id;
            answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nServer-Signature: s." + id +
                     "\r\nServer-Load: " + load_of(w) +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body;
        }
        bool const is_garbled =
            is_garbling && garblers.contains(&w) && draw(1) < extra_part;
        if (is_garbled)
        {
            ++copies;
            refusal_copies +=
                answer.find("Not-Executed") != std::string::npos ? 1 : 0;
            std::lock_guard const lock(extras_mutex);
            extras[c.get()] = answer;
        }
        return c->write(answer);
    };
    std::vector<std::string> const zones{
        "orkanger", "hitra", "frosta", "stjordal"};
    for (int i = 0; i < worker_count; ++i)
    {
        workers.push_back(std::make_unique<worker>(
            s, loopback(101 + i), "control", zones[static_cast<std::size_t>(i)],
            slots, serve));
        if (i < garbling)
            garblers.insert(workers.back().get());
    }
    static std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < 4; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            "edge-" + zones[static_cast<std::size_t>(i)] + "-1",
            loopback(2 + i), zones[static_cast<std::size_t>(i)], s.address(),
            folder));
        gateways.back()->start();
    }
    for (auto const& it : gateways)
    {
        if (!it->wait_ready(10'000))
            finish(2, "a gateway isn't ready");
    }
    static std::atomic<bool> goes_on{true};
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i)
    {
        threads.emplace_back(
            [i]
            {
                channel c;
                sleep_ms(static_cast<int>(draw(500)));
                while (goes_on)
                {
                    std::string const id = attempt_id();
                    http_message const m = c.ask(
                        gateways[static_cast<std::size_t>(i % 4)]->frontend(),
                        request_text(
                            "POST", "/adjust/2f", id,
                            "key-" + std::to_string(1 + i % 4), limit_ms,
                            std::string(600, 'x')),
                        limit_ms + 500);
                    log.answer(id, m.status());
                    if (m.status() != 200)
                        honour_retry_after(m, limit_ms);
                    sleep_ms(static_cast<int>(20 + draw(600)));
                }
            });
    }
    sleep_ms(seconds_before * 1000);
    is_garbling = has_trouble();
    record.line("garbling begins");
    sleep_ms(garbled_ms);
    is_garbling = false;
    record.line("garbling ends");
    sleep_ms(seconds_after * 1000);
    goes_on = false;
    for (auto& it : threads)
        it.join();
    sleep_ms(500);
    long sent = 0;
    long served = 0;
    long twice = 0;
    long refused_and_run = 0;
    {
        std::lock_guard const lock(log.mutex);
        for (auto const& [id, e] : log.all)
        {
            ++sent;
            served += e.status == 200 ? 1 : 0;
            if (e.runs > 1)
            {
                ++twice;
                record.line(
                    "BROKEN " + id + " ran " + std::to_string(e.runs) +
                    " times");
            }
            if (is_promise(e.status) && e.runs > 0)
            {
                ++refused_and_run;
                record.line(
                    "BROKEN " + id + " was answered " +
                    std::to_string(e.status) + " and ran");
            }
        }
    }
    std::string const text =
        std::to_string(sent) + " sent, " + std::to_string(served) +
        " served, " + std::to_string(refusals) + " refusals by workers, " +
        std::to_string(copies) + " answers with a late second copy, " +
        std::to_string(refusal_copies) +
        " of them refusals; ran twice: " + std::to_string(twice) +
        ", answered \"not run\" and ran: " + std::to_string(refused_and_run);
    if (served < 100)
        finish(2, text);
    finish(twice + refused_and_run > 0 ? 1 : 0, text);
}

// ----------------------------------------------------------- engine streams

// How the engines of a case treat a request that crashes them.
enum class crash_moment
{
    at_start, // as it begins to run, before any byte of its answer
    midway    // after some events
};

struct engine_case
{
    crash_moment moment;
    int tags_per_s;
    int seconds;
};

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// Serves a stream: the first event after `first_ms`, the others `gap_ms` apart.
// Returns whether it is whole; stops when the caller leaves or the engine ends.
bool stream_events(
    worker& w, std::shared_ptr<connection> const& c, std::string const& id,
    int events, int first_event, int first_ms, int gap_ms,
    std::function<bool(int)> const& before_event)
{
    int const lifetime = w.lifetime();
    sleep_ms(first_ms);
    for (int i = first_event; i < events; ++i)
    {
        if (i > first_event)
            sleep_ms(gap_ms);
        if (w.lifetime() != lifetime || c->has_ended())
            return false;
        if (!before_event(i))
            return false;
        if (i == first_event && !c->write(
                                    "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                                    "\r\nServer-Signature: s." + id +
                                    "\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        if (!c->write(chunk(
                "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) +
                "\n\n")))
            return false;
    }
    return c->write("0\r\n\r\n");
}

// A request that crashes each engine that begins to run it comes again and
// again. After it has crashed the third, and contactMs later, it may reach
// engines in three more retries at most.
[[noreturn]] void deadly_request(engine_case const& k)
{
    constexpr int worker_count = 4;
    constexpr int down_ms = 3000;
    constexpr double contact_s = 3.0;
    constexpr int most_late = 3;
    constexpr int tag_limit_ms = 4000;
    constexpr int deadly_every_ms = 1500;
    constexpr int deadly_events = 30;
    constexpr int deadly_gap_ms = 60;
    constexpr int crash_at_event = 10; // 0.6 s after the first
    static std::mutex mutex;
    static std::vector<double> crashes;        // by the deadly request
    static std::map<std::string, double> late; // retries, by attempt
    static std::atomic<long> deadly_arrivals{0};
    static std::atomic<long> tags{0};
    static std::atomic<long> tags_served{0};
    std::string const folder = make_temporary_folder();
    static store s(loopback(200));
    s.put("config", "main", make_config());
    std::vector<std::unique_ptr<worker>> workers;
    auto serve = [k](worker& w, std::shared_ptr<connection> const& c,
                     http_message const& m)
    {
        std::string const id = m.header("Attempt-Id");
        if (m.header("Expected-Instance") != w.id())
            return c->write(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.id() +
                "\r\nContent-Length: 0\r\n\r\n");
        bool const is_deadly = m.second == "/tag/deadly";
        std::string const after = m.header("Last-Event-Id");
        int const first = after.empty() ? 0 : std::stoi(after) + 1;
        if (!is_deadly)
            return stream_events(
                w, c, id, 5, first, 20, 60, [](int) { return true; });
        ++deadly_arrivals;
        {
            std::lock_guard const lock(mutex);
            bool const is_late =
                crashes.size() >= 3 && now_s() > crashes[2] + contact_s;
            record.line(
                "deadly request " + id + " reaches " + w.id() +
                (is_late ? ", late" : ""));
            if (is_late)
                late.emplace(id, now_s());
        }
        auto crash = [&]
        {
            {
                std::lock_guard const lock(mutex);
                crashes.push_back(now_s());
                record.line(
                    "crash " + std::to_string(crashes.size()) +
                    " by the deadly request");
            }
            w.crash(down_ms);
            return false;
        };
        if (has_trouble() && k.moment == crash_moment::at_start)
        {
            sleep_ms(20);
            return crash();
        }
        return stream_events(
            w, c, id, deadly_events, first, 20, deadly_gap_ms,
            [&](int i)
            {
                bool const crashes_now = has_trouble() &&
                                         k.moment == crash_moment::midway &&
                                         i == first + crash_at_event;
                return crashes_now ? crash() : true;
            });
    };
    std::vector<std::string> const zones{
        "orkanger", "hitra", "frosta", "stjordal"};
    for (int i = 0; i < worker_count; ++i)
        workers.push_back(std::make_unique<worker>(
            s, loopback(101 + i), "pool", zones[static_cast<std::size_t>(i)],
            64, serve));
    static std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < 4; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            "edge-" + zones[static_cast<std::size_t>(i)] + "-1",
            loopback(2 + i), zones[static_cast<std::size_t>(i)], s.address(),
            folder));
        gateways.back()->start();
    }
    for (auto const& it : gateways)
    {
        if (!it->wait_ready(10'000))
            finish(2, "a gateway isn't ready");
    }
    sleep_ms(4000); // until the gateways are in touch
    static std::atomic<bool> goes_on{true};
    auto prompt = [](std::string const& own)
    {
        return headers{
            {"Model", "m0"},
            {"Token-Usage", "1568,12"},
            {"Prompt-Prefix", "5c1e07a2:341,91bd3f06:227," + own + ":1000"}};
    };
    std::vector<std::thread> threads;
    constexpr int clients = 40;
    for (int i = 0; i < clients; ++i)
    {
        threads.emplace_back(
            [i, k, prompt]
            {
                channel c;
                while (goes_on)
                {
                    // Open-loop on average: a tag takes about 150 ms.
                    double const mean_ms = 1000.0 * clients / k.tags_per_s;
                    sleep_ms(static_cast<int>(draw(2 * (mean_ms - 150))));
                    std::string const id = attempt_id();
                    ++tags;
                    http_message const m = c.ask(
                        gateways[static_cast<std::size_t>(i % 4)]->frontend(),
                        request_text(
                            "POST", "/tag/2f", id,
                            "key-" + std::to_string(1 + i % 4), tag_limit_ms,
                            std::string(2400, 'x'), prompt(id.substr(0, 8))),
                        tag_limit_ms + 500);
                    tags_served += m.status() == 200 ? 1 : 0;
                    record.line(
                        "answer " + id + " " + std::to_string(m.status()));
                    if (m.status() != 200)
                        honour_retry_after(m, tag_limit_ms);
                }
            });
    }
    auto const until = clock_type::now() + std::chrono::seconds(k.seconds);
    for (int i = 0; clock_type::now() < until; ++i)
    {
        std::string const id = attempt_id();
        channel c; // a retry comes on a new channel, to another gateway
        gateway const& g = *gateways[static_cast<std::size_t>(i % 4)];
        record.line("deadly request " + id + " sent to " + g.name());
        http_message const m = c.ask(
            g.frontend(),
            request_text(
                "POST", "/tag/deadly", id, "key-4", tag_limit_ms,
                std::string(2400, 'd'), prompt("e4402b7d")),
            tag_limit_ms + 500);
        record.line(
            "deadly request " + id + " answered " + std::to_string(m.status()));
        sleep_ms(deadly_every_ms);
    }
    goes_on = false;
    for (auto& it : threads)
        it.join();
    std::lock_guard const lock(mutex);
    std::string const text =
        std::to_string(crashes.size()) + " engines crashed by one request, " +
        std::to_string(deadly_arrivals) + " arrivals of it, " +
        std::to_string(late.size()) + " retries later than " +
        std::to_string(static_cast<int>(contact_s)) +
        " s after the third crash (at most " + std::to_string(most_late) +
        "); other requests: " + std::to_string(tags_served) + " of " +
        std::to_string(tags) + " served";
    if (tags_served < 50 || deadly_arrivals == 0)
        finish(2, text);
    finish(late.size() > most_late ? 1 : 0, text);
}

// ------------------------------------------------------------ status lookups

// Workers go down and up by turns while a tenant's dashboards look up one
// status through one gateway; then that gateway is restarted as planned, and
// the dashboards go on at another one and at the restarted one.
[[noreturn]] void status_lookups()
{
    constexpr int worker_count = 4;
    constexpr int slots = 6;
    constexpr int work_ms = 60;
    constexpr int dashboards = 80;
    constexpr int others = 60;
    constexpr int limit_ms = 1500;
    constexpr int flaps = 5;
    constexpr int flap_every_ms = 1500;
    constexpr int down_ms = 1200;
    constexpr int pause_ms = 600;
    constexpr int seconds_after = 85;
    struct counts
    {
        long sent = 0;
        long served = 0;
        long refused = 0;
    };
    static std::mutex mutex;
    static std::map<std::string, counts> by_tenant;
    static std::map<std::string, counts> by_kind;
    static std::atomic<bool> goes_on{true};
    std::string const folder = make_temporary_folder();
    static store s(loopback(200));
    s.put("config", "main", make_config());
    std::vector<std::unique_ptr<worker>> workers;
    auto serve = [](worker& w, std::shared_ptr<connection> const& c,
                    http_message const& m)
    {
        std::string const id = m.header("Attempt-Id");
        if (m.header("Expected-Instance") != w.id())
            return c->write(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.id() +
                "\r\nContent-Length: 0\r\n\r\n");
        int const lifetime = w.lifetime();
        take_slot(w, 24, c);
        record.line("run " + id + " at " + w.id() + " " + m.second);
        sleep_ms(static_cast<int>(work_ms * (0.5 + draw(1.0))));
        give_slot(w);
        if (w.lifetime() != lifetime)
            return false;
        std::string const body = "status for " + id;
        return c->write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
            "\r\nServer-Signature: s." + id +
            "\r\nServer-Load: " + std::to_string(w.running) + "," +
            std::to_string(w.waiting) + "," + std::to_string(w.slots()) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body);
    };
    std::vector<std::string> const zones{
        "orkanger", "hitra", "frosta", "stjordal"};
    for (int i = 0; i < worker_count; ++i)
        workers.push_back(std::make_unique<worker>(
            s, loopback(101 + i), "control", zones[static_cast<std::size_t>(i)],
            slots, serve));
    static std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < 2; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            "edge-" + zones[static_cast<std::size_t>(i)] + "-1",
            loopback(2 + i), zones[static_cast<std::size_t>(i)], s.address(),
            folder));
        gateways.back()->start();
    }
    for (auto const& it : gateways)
    {
        if (!it->wait_ready(10'000))
            finish(2, "a gateway isn't ready");
    }
    static std::atomic<int> entry{0}; // gateway that new channels reach
    auto count = [](std::string const& tenant, std::string const& kind,
                    std::string const& id, int status)
    {
        std::lock_guard const lock(mutex);
        for (counts* it : {&by_tenant[tenant], &by_kind[kind]})
        {
            ++it->sent;
            it->served += status == 200 ? 1 : 0;
            it->refused += is_promise(status) ? 1 : 0;
        }
        record.line(
            "answer " + id + " " + kind + " of " + tenant + " " +
            std::to_string(status));
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < dashboards; ++i)
    {
        threads.emplace_back(
            [i, count]
            {
                channel c;
                std::string address;
                sleep_ms(static_cast<int>(draw(pause_ms)));
                while (goes_on)
                {
                    if (address.empty())
                        address = gateways[static_cast<std::size_t>(entry)]
                                      ->frontend();
                    std::string const id = attempt_id();
                    http_message const m = c.ask(
                        address,
                        request_text(
                            "GET", "/status/line-7", id, "key-1", limit_ms),
                        limit_ms + 500);
                    count("tenant-1", "status", id, m.status());
                    // A channel that ends is replaced at the gateway that the
                    // platform forwards new ones to.
                    if (m.status() == 0 || m.header("Connection") == "close")
                        address.clear();
                    if (m.status() != 200)
                        honour_retry_after(m, limit_ms);
                    sleep_ms(static_cast<int>(pause_ms * (0.5 + draw(1.0))));
                }
            });
    }
    for (int i = 0; i < others; ++i)
    {
        threads.emplace_back(
            [i, count]
            {
                channel c;
                while (goes_on)
                {
                    std::string const id = attempt_id();
                    // Those of the first gateway go on at the second one while
                    // it is restarted.
                    int const at = entry == 1 ? 1 : i % 2;
                    http_message const m = c.ask(
                        gateways[static_cast<std::size_t>(at)]->frontend(),
                        request_text(
                            "POST", "/adjust/2f", id,
                            "key-" + std::to_string(2 + i % 3), 2500,
                            std::string(600, 'x')),
                        3000);
                    count(
                        "tenant-" + std::to_string(2 + i % 3), "adjust", id,
                        m.status());
                    if (m.status() != 200)
                        honour_retry_after(m, 2500);
                    sleep_ms(static_cast<int>(200 + draw(200)));
                }
            });
    }
    sleep_ms(1000);
    for (int i = 0; i < flaps; ++i)
    {
        if (has_trouble())
            workers[static_cast<std::size_t>(i % worker_count)]->crash(down_ms);
        sleep_ms(flap_every_ms);
    }
    record.line("planned restart of " + gateways[0]->name());
    entry = 1;
    gateways[0]->signal(SIGTERM);
    if (!gateways[0]->wait_end(9000))
        finish(2, "the gateway doesn't end");
    gateways[0]->start();
    if (!gateways[0]->wait_ready(10'000))
        finish(2, "the restarted gateway isn't ready");
    record.line("restarted " + gateways[0]->name());
    sleep_ms(2000);
    entry = 0;
    sleep_ms(seconds_after * 1000 - 2000);
    goes_on = false;
    for (auto& it : threads)
        it.join();
    // As a client sees it now, at each gateway.
    std::string now;
    for (auto const& it : gateways)
    {
        channel c;
        http_message const m = c.ask(
            it->frontend(),
            request_text(
                "GET", "/status/line-7", attempt_id(), "key-1", limit_ms),
            limit_ms + 500);
        now += " " + it->name() + " " + std::to_string(m.status()) +
               " Retry-After " + m.header("Retry-After");
    }
    std::lock_guard const lock(mutex);
    counts sum;
    for (auto const& [name, n] : by_kind)
    {
        sum.sent += n.sent;
        sum.served += n.served;
    }
    bool is_broken = false;
    std::string text;
    auto judge = [&](std::string const& name, counts const& n)
    {
        double const share = static_cast<double>(n.served) /
                             static_cast<double>(std::max(n.sent, 1L));
        double const all = static_cast<double>(sum.served) /
                           static_cast<double>(std::max(sum.sent, 1L));
        bool const is_starved = share < all / 4;
        is_broken = is_broken || is_starved;
        text += name + " " + std::to_string(n.served) + " of " +
                std::to_string(n.sent) + " served, " +
                std::to_string(n.refused) + " refused" +
                (is_starved ? " STARVED; " : "; ");
    };
    for (auto const& [name, n] : by_kind)
        judge(name, n);
    for (auto const& [name, n] : by_tenant)
        judge(name, n);
    text += "at the end:" + now;
    if (sum.served < 100)
        finish(2, text);
    finish(is_broken ? 1 : 0, text);
}

// -------------------------------------------------------------- HEAD requests

// Clients ask for the head of a status while the store is down for longer than
// keys may stay unconfirmed, so that the gateway answers by itself. A response
// to HEAD has no body (RFC 9110, 9.3.2), so that the next bytes on the channel
// are the head of the next answer.
[[noreturn]] void head_requests()
{
    std::string const folder = make_temporary_folder();
    static store s(loopback(200));
    s.put("config", "main", make_config());
    auto serve = [](worker& w, std::shared_ptr<connection> const& c,
                    http_message const& m)
    {
        std::string const id = m.header("Attempt-Id");
        record.line("run " + id + " at " + w.id() + " " + m.first);
        std::string const body = "status for " + id;
        return c->write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
            "\r\nServer-Signature: s." + id +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            (m.first == "HEAD" ? "" : body));
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 4; ++i)
        workers.push_back(std::make_unique<worker>(
            s, loopback(101 + i), "control", "orkanger", 6, serve));
    std::vector<std::string> const zones{
        "orkanger", "hitra", "frosta", "stjordal"};
    static std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < 4; ++i)
    {
        std::string const& z = zones[static_cast<std::size_t>(i)];
        gateways.push_back(std::make_unique<gateway>(
            "edge-" + z + "-1", loopback(2 + i), z, s.address(), folder));
        gateways.back()->start();
    }
    for (auto const& it : gateways)
    {
        if (!it->wait_ready(10'000))
            finish(2, "a gateway isn't ready");
    }
    sleep_ms(3000);
    bool is_down = false;
    double down_at = 0;
    long heads = 0;
    long broken = 0;
    long served = 0;
    for (int i = 0; i < 300; ++i)
    {
        if (i == 20 && has_trouble())
        {
            record.line("store down");
            s.set_cut(s.address(), true);
            is_down = true;
            down_at = now_s();
        }
        if (has_trouble() && is_down && now_s() > down_at + 8.0)
        {
            record.line("store up");
            s.set_cut(s.address(), false);
            is_down = false;
        }
        gateway const& g = *gateways[static_cast<std::size_t>(i % 4)];
        auto const c = connection::to(g.frontend());
        std::string const id = attempt_id();
        ++heads;
        record.line("sent " + id + " HEAD to " + g.name());
        if (!c || !c->write(request_text(
                      "HEAD", "/status/line-7", id, "key-1", 1500)))
            continue;
        while (c->buffer().find("\r\n\r\n") == std::string::npos &&
               c->read_some(1500))
        {
        }
        std::string& in = c->buffer();
        std::size_t const end = in.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        std::string const line = in.substr(0, in.find("\r\n"));
        bool const is_kept = in.find("Connection: close") > end;
        in.erase(0, end + 4);
        served += line.find(" 200 ") != std::string::npos ? 1 : 0;
        record.line("answer " + id + " " + line);
        if (!is_kept)
            continue;
        std::string const next = attempt_id();
        record.line("sent " + next + " GET on the same channel");
        c->write(request_text("GET", "/status/line-8", next, "key-1", 1500));
        while (in.find("\r\n\r\n") == std::string::npos && c->read_some(1500))
        {
        }
        record.line("answer " + next + " " + in.substr(0, in.find('\r')));
        bool const is_answer = in.compare(0, 9, "HTTP/1.1 ") == 0;
        if (!in.empty() && !is_answer)
        {
            ++broken;
            record.line(
                "BROKEN the answer to " + next +
                " begins with: " + in.substr(0, 60));
        }
        sleep_ms(50);
    }
    std::string const text =
        std::to_string(heads) + " HEAD requests, " + std::to_string(served) +
        " served; channels whose next answer began with other bytes: " +
        std::to_string(broken);
    finish(served < 10 ? 2 : broken > 0 ? 1 : 0, text);
}

// ------------------------------------------------------------- evacuations

// One machine is cut off from the store for some seconds, twice, and a zone is
// evacuated meanwhile. Each round takes the next machine.
[[noreturn]] void missed_evacuation()
{
    constexpr int limit_ms = 1500;
    constexpr double evacuation_s = 5.0;
    constexpr double contact_s = 3.0;
    static std::mutex mutex;
    static std::map<std::string, std::string> sent_by; // gateway of an attempt
    static std::map<std::string, int> late;            // by gateway
    static std::map<std::string, long> runs;           // by zone
    static std::string zone; // the one that is evacuated
    static double acked_at = 0;
    static double served_since = 0; // the end of the cut
    static std::atomic<bool> is_over{false};
    static std::atomic<long> served{0};
    static std::atomic<long> sent{0};
    std::string const folder = make_temporary_folder();
    static store s(loopback(200));
    s.put("config", "main", make_config());
    std::vector<std::string> const zones{
        "orkanger", "hitra", "frosta", "stjordal"};
    static std::map<std::string, std::string> zone_of; // of a worker's address
    auto serve = [](worker& w, std::shared_ptr<connection> const& c,
                    http_message const& m)
    {
        std::string const id = m.header("Attempt-Id");
        if (m.header("Expected-Instance") != w.id())
            return c->write(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.id() +
                "\r\nContent-Length: 0\r\n\r\n");
        {
            std::lock_guard const lock(mutex);
            double const now = now_s();
            bool const is_late = zone_of[w.address()] == zone &&
                                 now > acked_at + evacuation_s &&
                                 now > served_since + contact_s;
            ++runs[zone_of[w.address()]];
            if (is_late)
                ++late[sent_by[id]];
            record.line(
                "run " + id + " in zone " + zone_of[w.address()] + " from " +
                sent_by[id] + (is_late ? " BROKEN" : ""));
        }
        sleep_ms(15);
        std::string const body = "data of " + id;
        return c->write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
            "\r\nServer-Signature: s." + id + "\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 8; ++i)
    {
        std::string const& z = zones[static_cast<std::size_t>(i % 4)];
        std::lock_guard const lock(mutex);
        workers.push_back(std::make_unique<worker>(
            s, loopback(101 + i), "control", z, 6, serve));
        zone_of[workers.back()->address()] = z;
    }
    static std::vector<std::unique_ptr<gateway>> gateways;
    std::map<std::string, std::string> store_of; // its address, by gateway
    for (int i = 0; i < 4; ++i)
    {
        std::string const& z = zones[static_cast<std::size_t>(i % 4)];
        std::string const name = "edge-" + z + "-1";
        store_of[name] = s.add_address(loopback(201 + i));
        gateways.push_back(std::make_unique<gateway>(
            name, loopback(2 + i), z, store_of[name], folder));
        gateways.back()->start();
    }
    for (auto const& it : gateways)
    {
        if (!it->wait_ready(10'000))
            finish(2, "a gateway isn't ready");
    }
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 12; ++i)
    {
        threads.emplace_back(
            [i]
            {
                channel c;
                gateway const& g = *gateways[i % gateways.size()];
                while (!is_over)
                {
                    std::string const id = attempt_id();
                    {
                        std::lock_guard const lock(mutex);
                        sent_by[id] = g.name();
                    }
                    ++sent;
                    http_message const m = c.ask(
                        g.frontend(),
                        request_text(
                            "GET", "/status/line-" + id, id, "key-1", limit_ms),
                        limit_ms + 500);
                    served += m.status() == 200 ? 1 : 0;
                    record.line(
                        "answer " + id + " " + std::to_string(m.status()));
                    if (m.status() == 503)
                        honour_retry_after(m, limit_ms);
                    sleep_ms(60);
                }
            });
    }
    sleep_ms(5000);
    for (std::size_t round = 0; round < 5; ++round)
    {
        std::string const name = "edge-" + zones[round % 4] + "-1";
        auto set_cut = [&](bool is_cut)
        {
            if (!has_trouble())
                return;
            s.set_cut(store_of.at(name), is_cut);
            record.line(
                name + (is_cut ? " is cut off" : " reaches the store again"));
        };
        set_cut(true);
        sleep_ms(2400);
        set_cut(false);
        sleep_ms(1500);
        set_cut(true);
        sleep_ms(1700);
        std::string const z = zones[(round + 2) % 4];
        s.put("evacuations", z, json::object());
        {
            std::lock_guard const lock(mutex);
            zone = z;
            acked_at = now_s();
            served_since = acked_at + 60;
            record.line("evacuation of " + z + " acked");
        }
        sleep_ms(2300);
        set_cut(false);
        {
            std::lock_guard const lock(mutex);
            served_since = now_s();
        }
        sleep_ms(6700);
        {
            std::lock_guard const lock(mutex);
            zone.clear();
            record.line(z + " is taken back");
        }
        s.erase("evacuations", z);
        sleep_ms(2400);
    }
    is_over = true;
    for (auto& it : threads)
        it.join();
    std::lock_guard const lock(mutex);
    std::string text =
        std::to_string(served) + " of " + std::to_string(sent) +
        " served; runs in an evacuated zone later than 5 s after the ack and "
        "3 s after the end of the cut:";
    for (auto const& [name, n] : late)
        text += " " + std::to_string(n) + " from " + name;
    if (late.empty())
        text += " none";
    if (runs.size() < 4 || served < 1000)
        finish(2, text);
    finish(late.empty() ? 0 : 1, text);
}

// -------------------------------------------------------------- revoked keys

// The operator takes the only tenant's key away, and the tenant with it, while
// its clients are connected.
[[noreturn]] void last_tenant()
{
    constexpr double revocation_s = 5.0;
    constexpr int limit_ms = 1500;
    static std::mutex mutex;
    static double acked_at = 0; // of the config that took the key away
    static std::map<std::string, double> sent_at;
    static std::map<std::string, std::string> ran_late; // with its Tenant
    static std::atomic<long> served{0};
    static std::atomic<long> refused{0};
    std::string const folder = make_temporary_folder();
    static store s(loopback(200));
    json config = make_config();
    json const tenant = config["tenants"][0];
    config["tenants"] = json::array({tenant});
    s.put("config", "main", config);
    auto serve = [](worker& w, std::shared_ptr<connection> const& c,
                    http_message const& m)
    {
        std::string const id = m.header("Attempt-Id");
        if (m.header("Expected-Instance") != w.id())
            return c->write(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + w.id() +
                "\r\nContent-Length: 0\r\n\r\n");
        {
            std::lock_guard const lock(mutex);
            bool const is_late = acked_at > 0 && has_trouble() &&
                                 sent_at[id] > acked_at + revocation_s;
            if (is_late)
                ran_late[id] = m.header("Tenant");
            record.line(
                "run " + id + " at " + w.id() + " for tenant \"" +
                m.header("Tenant") + "\"" + (is_late ? " BROKEN" : ""));
        }
        sleep_ms(15);
        std::string const body = "data of tenant-1";
        return c->write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
            "\r\nServer-Signature: s." + id + "\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    std::vector<std::string> const zones{
        "orkanger", "hitra", "frosta", "stjordal"};
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 4; ++i)
        workers.push_back(std::make_unique<worker>(
            s, loopback(101 + i), "control", zones[static_cast<std::size_t>(i)],
            6, serve));
    static std::vector<std::unique_ptr<gateway>> gateways;
    for (int i = 0; i < 4; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            "edge-" + zones[static_cast<std::size_t>(i)] + "-1",
            loopback(2 + i), zones[static_cast<std::size_t>(i)], s.address(),
            folder));
        gateways.back()->start();
    }
    for (auto const& it : gateways)
    {
        if (!it->wait_ready(10'000))
            finish(2, "a gateway isn't ready");
    }
    static std::atomic<bool> goes_on{true};
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i)
    {
        threads.emplace_back(
            [i]
            {
                channel c;
                while (goes_on)
                {
                    std::string const id = attempt_id();
                    {
                        std::lock_guard const lock(mutex);
                        sent_at[id] = now_s();
                    }
                    http_message const m = c.ask(
                        gateways[static_cast<std::size_t>(i % 4)]->frontend(),
                        request_text(
                            i % 2 == 0 ? "POST" : "GET",
                            i % 2 == 0 ? "/adjust/2f" : "/status/line-7", id,
                            "key-1", limit_ms,
                            i % 2 == 0 ? std::string(600, 'x') : ""),
                        limit_ms + 500);
                    served += m.status() == 200 ? 1 : 0;
                    refused += m.status() == 401 ? 1 : 0;
                    record.line(
                        "answer " + id + " " + std::to_string(m.status()));
                    if (m.status() == 503)
                        honour_retry_after(m, limit_ms);
                    sleep_ms(200);
                }
            });
    }
    sleep_ms(5000);
    config["version"] = 9;
    config["tenants"] = has_trouble() ? json::array() : json::array({tenant});
    s.put("config", "main", config);
    {
        std::lock_guard const lock(mutex);
        acked_at = now_s();
        record.line("config 9 acked: tenants " + config["tenants"].dump());
    }
    sleep_ms(20'000);
    goes_on = false;
    for (auto& it : threads)
        it.join();
    std::lock_guard const lock(mutex);
    std::string const text =
        std::to_string(served) + " served, " + std::to_string(refused) +
        " answered 401; sent later than 5 s after the ack of the config that "
        "took the key away, and run: " +
        std::to_string(ran_late.size());
    if (served < 20)
        finish(2, text);
    finish(ran_late.empty() ? 0 : 1, text);
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    using namespace review;
    std::signal(SIGPIPE, SIG_IGN);
    limit_run();
    if (argc != 3)
    {
        std::fprintf(stderr, "usage: standins CASE FOLDER\n");
        return 2;
    }
    record.open(std::string(argv[2]) + "/record.txt");
    std::string const name = argv[1];
    if (name == "late-refusals")
        late_refusals();
    if (name == "crash-midway")
        deadly_request(
            {.moment = crash_moment::midway, .tags_per_s = 24, .seconds = 45});
    if (name == "crash-at-start")
        deadly_request(
            {.moment = crash_moment::at_start,
             .tags_per_s = 100,
             .seconds = 45});
    if (name == "status-lookups")
        status_lookups();
    if (name == "last-tenant")
        last_tenant();
    if (name == "head-requests")
        head_requests();
    if (name == "missed-evacuation")
        missed_evacuation();
    return 2;
}
