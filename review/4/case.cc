// A planned stop of a gateway while streams are under way, one on the only
// worker of each of six services. The workers make no event for a while and
// then go on, with and without the stop.
#include "../standins/standins.h"

#include <csignal>
#include <set>

using namespace review;

namespace
{

constexpr int services = 6;
constexpr double term_at_s = 5; // later than contactMs after the start
constexpr double pause_at_s = 6;
constexpr double pause_s = 1.6;
constexpr int events = 30;
constexpr double event_s = 0.1;

} // namespace

int main()
{
    trial t;
    std::atomic<double> pause_from = 1e9;
    std::mutex mutex;
    std::set<std::string> whole;
    std::set<std::string> cut;
    auto const serve = [&](connection& c)
    {
        while (auto const m = read_message(c, 60, false))
        {
            std::string const id = m->field("attempt-id");
            int const after = std::atoi(m->field("last-event-id").c_str());
            t.log.line(
                "worker runs " + id + " from event " +
                std::to_string(after + 1));
            bool is_open = c.send(stream_head(*m));
            for (int i = after + 1; is_open && i <= events; ++i)
            {
                sleep_s(event_s);
                double const now = seconds_now();
                if (now > pause_from && now < pause_from + pause_s)
                    sleep_s(pause_from + pause_s - now);
                is_open = c.send(event_chunk(i));
            }
            is_open = is_open && c.send(last_chunk);
            t.log.line(
                is_open ? "worker has sent all of " + id
                        : "worker: the channel of " + id + " is closed");
            if (!is_open)
                return;
        }
    };
    std::vector<std::unique_ptr<listener>> workers;
    json routes = json::array();
    json documents = json::array();
    for (int i = 0; i < services; ++i)
    {
        std::string const number = std::to_string(i);
        json note =
            route("note-" + number, "streaming", "pool-" + number, 20000, 2000);
        note["resumable"] = true;
        routes.push_back(note);
        documents.push_back(service_document("pool-" + number, 360));
        workers.push_back(std::make_unique<listener>("127.0.0.1", serve));
        t.platform.put(
            "servers", "i-pool-" + number,
            worker_entry(*workers.back(), "pool-" + number, 64));
    }
    t.platform.put("config", "main", config_document(routes, documents));
    int const store_port = t.platform.add_port([] { return false; });
    gateway const& first = t.add_gateway("zone-a", store_port);
    t.add_gateway("zone-b", store_port);
    if (!t.wait_ready())
        t.end(2);

    double const begin = seconds_now();
    pause_from = begin + pause_at_s;
    sleep_s(term_at_s - 0.8);
    auto const run_client = [&](int n)
    {
        sleep_s(0.1 * n);
        std::string const id = "a" + std::to_string(n);
        auto const c = connection::open(first.ip(), first.port());
        if (!c)
            return;
        t.log.line("client sends " + id);
        c->send(request_text(
            "POST", "/note-" + std::to_string(n) + "/1", id, 20000, "key-1",
            "assess"));
        auto const a = read_message(*c, 20, true);
        bool const is_whole = a && a->status() == 200;
        t.log.line(
            a ? "client got " + std::to_string(a->status()) + " for " + id
              : "client: the channel " + c->end() +
                    " before the end of the answer to " + id);
        std::lock_guard const lock(mutex);
        (is_whole ? whole : cut).insert(id);
    };
    std::vector<std::thread> threads;
    threads.reserve(services);
    for (int n = 0; n < services; ++n)
        threads.emplace_back(run_client, n);
    sleep_s(begin + term_at_s - seconds_now());
    if (t.is_troubled)
    {
        t.log.line("SIGTERM to edge-1");
        first.signal(SIGTERM);
    }
    for (std::thread& it : threads)
        it.join();
    t.log.line(
        "answers whole: " + std::to_string(whole.size()) +
        ", cut: " + std::to_string(cut.size()));
    bool const is_void = whole.size() + cut.size() != services;
    t.end(is_void ? 2 : cut.empty() ? 0 : 1);
}
