// A planned stop of a gateway while streams are under way on kept channels.
// Each client sends its next request on the channel as soon as the stream is
// complete.
#include "../standins/standins.h"

#include <csignal>
#include <set>

using namespace review;

namespace
{

constexpr int clients = 32;
constexpr double term_at_s = 5; // later than contactMs after the start
constexpr double run_s = 14;    // the stop, gracePeriodS and 1 s
constexpr int events = 10;
constexpr double event_s = 0.06;
// From the end that a client sees to its own close of the channel.
constexpr double close_after_s = 0.005;

struct outcome
{
    std::mutex mutex;
    std::set<std::string> run;      // adjustments that a worker ran
    std::set<std::string> answered; // adjustments with a whole answer
    std::set<std::string> lost;     // the channel ended without one
};

void serve_stream(connection& c, message const& m)
{
    c.send(stream_head(m));
    for (int i = 1; i <= events; ++i)
    {
        sleep_s(event_s);
        if (!c.send(event_chunk(i)))
            return;
    }
    c.send(last_chunk);
}

} // namespace

int main()
{
    trial t;
    outcome seen;
    listener pool(
        "127.0.0.1",
        [&](connection& c)
        {
            while (auto const m = read_message(c, 60, false))
                serve_stream(c, *m);
        });
    listener control(
        "127.0.0.1",
        [&](connection& c)
        {
            while (auto const m = read_message(c, 60, false))
            {
                std::string const id = m->field("attempt-id");
                {
                    std::lock_guard const lock(seen.mutex);
                    seen.run.insert(id);
                }
                t.log.line("worker runs " + id);
                sleep_s(0.015);
                bool const is_open = c.send(worker_answer(*m, 200, "adjusted"));
                t.log.line(
                    "worker answers " + id +
                    (is_open ? "" : ": the channel is closed"));
            }
        });
    t.platform.put(
        "config", "main",
        config_document(
            {route("note", "streaming", "pool", 20000, 2000),
             route("adjust", "non_idempotent", "control", 1500, 300)},
            {service_document("pool", 360), service_document("control", 100)}));
    t.platform.put("servers", "i-pool-1", worker_entry(pool, "pool", 64));
    t.platform.put(
        "servers", "i-control-1", worker_entry(control, "control", 64));
    int const store_port = t.platform.add_port([] { return false; });
    gateway const& first = t.add_gateway("zone-a", store_port);
    t.add_gateway("zone-b", store_port);
    if (!t.wait_ready())
        t.end(2);

    double const begin = seconds_now();
    std::atomic<bool> is_over = false;
    std::atomic<int> streams = 0;
    auto const run_client = [&](int n)
    {
        sleep_s(0.02 * n);
        std::unique_ptr<connection> c;
        for (int i = 0; !is_over; ++i)
        {
            // After the stop the platform sends no new channels here.
            bool const is_stopping =
                t.is_troubled && seconds_now() > begin + term_at_s;
            if (!c && !is_stopping)
                c = connection::open(first.ip(), first.port());
            if (!c)
                return;
            std::string const id =
                "c" + std::to_string(n) + "-" + std::to_string(i);
            t.log.line("client sends " + id + "-note");
            c->send(request_text(
                "POST", "/note/1", id + "-note", 20000, "key-1", "assess"));
            auto const note = read_message(*c, 20, true);
            bool const is_kept = note && note->status() == 200 &&
                                 note->field("connection") != "close";
            if (note && note->status() == 200)
                ++streams;
            if (!is_kept)
            {
                t.log.line(
                    "client: channel not kept after " + id + "-note, " +
                    (note ? std::to_string(note->status()) : c->end()));
                c.reset();
                continue;
            }
            std::string const adjust = id + "-adjust";
            t.log.line("client got 200, whole, for " + id + "-note");
            t.log.line("client sends " + adjust + " on the kept channel");
            bool const is_sent = c->send(request_text(
                "POST", "/adjust/1", adjust, 1500, "key-1", "pressure=3"));
            auto const answer = read_message(*c, 2.5, true);
            if (!answer)
                sleep_s(close_after_s);
            std::lock_guard const lock(seen.mutex);
            if (answer)
            {
                seen.answered.insert(adjust);
                t.log.line(
                    "client got " + std::to_string(answer->status()) + " for " +
                    adjust);
                if (answer->field("connection") == "close")
                    c.reset();
                continue;
            }
            seen.lost.insert(adjust);
            t.log.line(
                "client: channel " + c->end() + " without an answer to " +
                adjust + (is_sent ? "" : ", which couldn't be sent"));
            c.reset();
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int n = 0; n < clients; ++n)
        threads.emplace_back(run_client, n);
    sleep_s(begin + term_at_s - seconds_now());
    if (t.is_troubled)
    {
        t.log.line("SIGTERM to edge-1");
        first.signal(SIGTERM);
    }
    sleep_s(begin + run_s - seconds_now());
    is_over = true;
    for (std::thread& it : threads)
        it.join();
    int broken = 0;
    for (std::string const& it : seen.lost)
        broken += seen.run.contains(it) ? 1 : 0;
    t.log.line(
        "streams served " + std::to_string(streams) + ", adjustments run " +
        std::to_string(seen.run.size()) + ", answered " +
        std::to_string(seen.answered.size()) + ", run and never answered " +
        std::to_string(broken));
    bool const is_void = streams < 100 || seen.answered.size() < 100;
    t.end(is_void ? 2 : broken > 0 ? 1 : 0);
}
