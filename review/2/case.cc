// A key is taken away while one gateway stands still and the store turns that
// gateway away. A client goes on with the key on that gateway.
#include "../standins/standins.h"

#include <csignal>
#include <set>

using namespace review;

namespace
{

constexpr int gateways = 10;
constexpr double refusal_s = 9; // of the store, for one machine
constexpr double refused_before_freeze_s = 0.5;
constexpr double freeze_s = 3.5; // of that machine
constexpr double revoked_after_freeze_s = 1.35;
constexpr double revocation_s = 5; // revocationMs
constexpr double watched_s = 4;    // requests are sent for so long after it

} // namespace

int main()
{
    trial t;
    std::atomic<bool> is_refused = false;
    std::mutex mutex;
    std::set<std::string> run;
    listener control(
        "127.0.0.1",
        [&](connection& c)
        {
            while (auto const m = read_message(c, 60, false))
            {
                std::string const id = m->field("attempt-id");
                {
                    std::lock_guard const lock(mutex);
                    run.insert(id);
                }
                t.log.line("worker runs " + id + " for " + m->field("tenant"));
                sleep_s(0.005);
                c.send(worker_answer(*m, 200, "adjusted"));
            }
        });
    json config = config_document(
        {route("adjust", "non_idempotent", "control", 1500, 300)},
        {service_document("control", 100)});
    t.platform.put("config", "main", config);
    t.platform.put(
        "servers", "i-control-1", worker_entry(control, "control", 6));
    int const first_port =
        t.platform.add_port([&] { return is_refused.load(); });
    int const store_port = t.platform.add_port([] { return false; });
    gateway const& first = t.add_gateway("zone-a", first_port);
    for (int i = 1; i < gateways; ++i)
        t.add_gateway("zone-a", store_port);
    if (!t.wait_ready())
        t.end(2);

    int n = 0;
    std::unique_ptr<connection> c;
    struct attempt
    {
        std::string id;
        int status = 0; // 0: no answer
    };
    auto const ask = [&](std::string const& key)
    {
        attempt a{.id = key + "-" + std::to_string(++n)};
        if (!c)
            c = connection::open(first.ip(), first.port());
        t.log.line("client sends " + a.id);
        bool const is_sent =
            c && c->send(request_text(
                     "POST", "/adjust/1", a.id, 1500, key, "pressure=3"));
        auto const answer = is_sent ? read_message(*c, 2, true) : std::nullopt;
        a.status = answer ? answer->status() : 0;
        t.log.line("client got " + std::to_string(a.status) + " for " + a.id);
        if (!answer || answer->field("connection") == "close")
            c.reset();
        return a;
    };
    sleep_s(4); // contactMs
    if (ask("key-2").status != 200 || ask("key-3").status != 200)
        t.end(2);
    double const freeze_at = seconds_now() + refused_before_freeze_s;
    if (t.is_troubled)
    {
        t.log.line("the store turns edge-1 away");
        is_refused = true;
        t.platform.wake();
    }
    sleep_s(freeze_at - seconds_now());
    if (t.is_troubled)
    {
        t.log.line("edge-1 stands still");
        first.signal(SIGSTOP);
    }
    sleep_s(freeze_at + revoked_after_freeze_s - seconds_now());
    config["version"] = 9;
    config["tenants"][0]["apiKeys"] = {"key-1"};
    t.platform.put("config", "main", config);
    double const acked = seconds_now();
    t.log.line("key-2 is taken away: version 9 is acknowledged");
    sleep_s(freeze_at + freeze_s - seconds_now());
    if (t.is_troubled)
    {
        t.log.line("edge-1 goes on");
        first.signal(SIGCONT);
    }
    sleep_s(acked + revocation_s + 0.05 - seconds_now());
    int broken = 0;
    while (seconds_now() < acked + revocation_s + watched_s)
    {
        bool const is_over =
            seconds_now() >= freeze_at - refused_before_freeze_s + refusal_s;
        if (is_refused && is_over)
        {
            is_refused = false;
            t.log.line("the store serves edge-1 again");
        }
        double const sent = seconds_now();
        attempt const a = ask("key-2");
        std::lock_guard const lock(mutex);
        if (run.contains(a.id))
        {
            ++broken;
            t.log.line(
                "broken: " + a.id + " was sent " +
                std::to_string(sent - acked) + " s after the ack, and ran");
        }
        sleep_s(0.1);
    }
    is_refused = false;
    sleep_s(1.5);
    bool const is_serving = ask("key-3").status == 200;
    t.log.line(
        "requests with the key taken away that ran: " + std::to_string(broken));
    t.end(!is_serving ? 2 : broken > 0 ? 1 : 0);
}
