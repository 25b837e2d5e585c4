#include "cluster/cluster_controller.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

// A daemon that has waited this long for the instance list goes on with what it
// knows. Without the wait, every starting daemon would be a watcher, and an
// entry would grant itself the whole allowance of each customer.
constexpr duration list_wait = std::chrono::seconds(2);
constexpr duration store_retry = std::chrono::seconds(1);
constexpr duration checkpoint_retry = std::chrono::seconds(10);
constexpr duration list_timeout = std::chrono::seconds(2);
// Part of a period by which timers vary, so that daemons started together do
// not call together.
constexpr double jitter = 0.2;

duration varied(duration d, random_source& random)
{
    std::uniform_real_distribution<> factor(1 - jitter / 2, 1 + jitter / 2);
    return from_seconds(to_seconds(d) * factor(random));
}

json age_ms(steady_time t, steady_time now)
{
    if (t == steady_time{})
        return nullptr;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - t)
        .count();
}

std::string_view to_text(peer_condition c)
{
    switch (c)
    {
    case peer_condition::live:
        return "live";
    case peer_condition::leaving:
        return "leaving";
    case peer_condition::gone:
        break;
    }
    return "gone";
}

std::string_view to_text(pull_end end)
{
    switch (end)
    {
    case pull_end::answered:
        return "answered";
    case pull_end::refused:
        return "refused";
    case pull_end::failed:
        break;
    }
    return "failed";
}

} // namespace

cluster_controller::cluster_controller(
    ev::loop_ref loop, cluster_state& state, http_client& http,
    object_store& store, cluster_settings settings)
    : loop_(loop)
    , state_(state)
    , http_(http)
    , store_(store)
    , settings_(std::move(settings))
    , log_("cluster")
    , random_(state.identity.self)
    , datagrams_(
          loop,
          settings_.bind_address.empty() ? state.identity.address
                                         : settings_.bind_address,
          [this](message&& m) { on_datagram(std::move(m)); },
          [this](error const& e) {
              state_.counters.count(
                  "datagrams_refused_total", to_string(e.kind));
          })
    , reader_(
          store,
          {.current = [this] { return history_.current->number; },
           .on_data = [this](config_generations g) { apply(std::move(g)); },
           .on_done = [this](bool ok) { end_store_call(ok); },
           .on_bytes = [this](std::uint64_t sent, std::uint64_t received)
           { count_bytes(sent, received); }})
    , puller_(loop)
    , tick_timer_(loop, [this] { tick(steady_now()); })
    , list_timer_(loop, [this] { read_instance_list(); })
{
    history_.current = state_.config;
    sync_.started_at = steady_now();
    sync_.next_digest =
        sync_.started_at + varied(settings_.sync.digest_period, random_);
    state_.knows_peers = settings_.instance_list_url.empty();
    tick_timer_.start(duration{0});
    if (!settings_.instance_list_url.empty())
        list_timer_.start(duration{0});
}

cluster_controller::~cluster_controller()
{
    http_.cancel(list_call_);
}

bool cluster_controller::handle(
    std::shared_ptr<frame_connection> const& connection, message const& m)
{
    if (auto const* pull = std::get_if<config_pull>(&m))
    {
        answer(*connection, *pull);
        return true;
    }
    if (auto const* generations = std::get_if<config_generations>(&m))
    {
        apply(*generations);
        return true;
    }
    if (auto const* d = std::get_if<digest>(&m))
    {
        take_digest(*d, steady_now());
        return true;
    }
    return false;
}

void cluster_controller::note_frame(
    std::string_view instance, std::uint64_t generation)
{
    steady_time const now = steady_now();
    record_contact(state_.peers, instance, generation, now);
    note_word({.from = instance, .generation = generation}, now);
}

void cluster_controller::record_refused_connection(std::string_view instance)
{
    marjorambeam::record_refused_connection(
        state_.peers, instance, steady_now());
}

void cluster_controller::on_config_change(std::function<void()> callback)
{
    callbacks_.push_back(std::move(callback));
}

sync_view cluster_controller::view() const
{
    return {
        state_.identity.instance, history_.current->number, state_.peers,
        is_watcher_};
}

void cluster_controller::run(sync_step const& step, steady_time now)
{
    for (std::string const& it : step.notify)
        send_digest(it, now);
    if (!step.pull_from.empty())
        start_pull(step.pull_from, now);
    if (step.read_store)
        reader_.read();
}

void cluster_controller::send_digest(std::string_view instance, steady_time now)
{
    auto const it = state_.peers.find(instance);
    if (it == state_.peers.end() || it->second.address.empty())
        return;
    daemon_identity const& self = state_.identity;
    duration const age = store_age(sync_, now);
    auto const age_in_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    digest const d{
        .sender = self.self,
        .role = self.role,
        .instance = self.instance,
        .availability_zone = self.availability_zone,
        .upstream = self.upstream,
        .address = self.address,
        .generation = history_.current->number,
        .store_age_ms = age < duration{0} ? -1 : age_in_ms,
        .is_leaving = state_.is_shutting_down};
    datagrams_.send(it->second.address, d);
    state_.counters.count("digests_total", "sent");
}

void cluster_controller::on_datagram(message&& m)
{
    if (auto const* d = std::get_if<digest>(&m))
        take_digest(*d, steady_now());
    else
        state_.counters.count("datagrams_refused_total", "not_a_digest");
}

void cluster_controller::take_digest(digest const& d, steady_time now)
{
    state_.counters.count("digests_total", "received");
    switch (merge_digest(state_.peers, d, state_.identity, now))
    {
    case digest_outcome::from_self:
        return;
    case digest_outcome::from_duplicate:
        state_.counters.count("duplicate_instance_total");
        return;
    case digest_outcome::from_earlier_incarnation:
        state_.counters.count("datagrams_refused_total", "earlier_process");
        return;
    case digest_outcome::accepted:
        break;
    }
    note_word(
        {.from = d.instance,
         .generation = d.generation,
         .store_age = std::chrono::milliseconds(d.store_age_ms)},
        now);
}

void cluster_controller::note_word(
    peer_announcement const& word, steady_time now)
{
    state_.peer_seen = now;
    run(on_announcement(sync_, view(), word, settings_.sync, now), now);
}

void cluster_controller::answer(
    frame_connection& connection, config_pull const& pull)
{
    // An empty answer would say that nothing newer exists, which a daemon
    // that is starting does not know.
    if (!sync_.has_config)
    {
        connection.close();
        return;
    }
    config_generations const out =
        make_pull_response(history_, pull.after, settings_.history);
    std::uint64_t bytes = frame_header_bytes + out.snapshot.size();
    for (auto const& [number, text] : out.generations)
        bytes += text.size();
    connection.send(out);
    count_bytes(bytes, frame_header_bytes);
    state_.counters.count("config_pulls_answered_total");
}

void cluster_controller::start_pull(
    std::string const& instance, steady_time now)
{
    auto const it = state_.peers.find(instance);
    if (puller_.is_busy() || it == state_.peers.end())
    {
        run(on_pull_done(sync_, view(), false, settings_.sync, random_, now),
            now);
        return;
    }
    daemon_identity const& self = state_.identity;
    hello const own{
        .role = self.role,
        .instance = self.instance,
        .sender = self.self,
        .availability_zone = self.availability_zone,
        .upstream = self.upstream,
        .generation = history_.current->number};
    puller_.start(
        it->second.address, own, history_.current->number,
        pull_timeout(sync_, settings_.sync),
        {.on_answer =
             [this](config_generations g) -> std::optional<std::uint64_t>
         {
             bool const is_empty = g.checkpoint == 0 && g.generations.empty();
             std::uint64_t const before = history_.current->number;
             apply(std::move(g));
             bool const is_done =
                 sync_.has_config &&
                 history_.current->number >= sync_.newest_known;
             bool const is_stuck = history_.current->number == before;
             if (is_empty || is_stuck || is_done)
                 return std::nullopt;
             return history_.current->number;
         },
         .on_done = [this, instance](pull_end end) { end_pull(instance, end); },
         .on_bytes = [this](std::uint64_t sent, std::uint64_t received)
         { count_bytes(sent, received); }});
}

void cluster_controller::end_pull(std::string const& instance, pull_end end)
{
    steady_time const now = steady_now();
    state_.counters.count("config_pulls_total", to_text(end));
    if (end == pull_end::refused)
        record_refused_connection(instance);
    if (end == pull_end::answered)
    {
        state_.peer_seen = now;
        record_contact(state_.peers, instance, 0, now);
    }
    bool const ok = end == pull_end::answered;
    run(on_pull_done(sync_, view(), ok, settings_.sync, random_, now), now);
    publish(now);
}

void cluster_controller::apply(config_generations received)
{
    apply_outcome const out =
        apply_received(history_, std::move(received), settings_.history);
    if (out.is_bad_checkpoint)
    {
        state_.counters.count("checkpoints_refused_total");
        log_.write(log_event::checkpoint_bad);
    }
    if (out.applied == 0)
        return;
    state_.config = history_.current;
    state_.counters.count(
        "generations_applied_total", "", static_cast<double>(out.applied));
    state_.counters.count(
        "generations_refused_total", "", static_cast<double>(out.refused));
    log_.write(
        log_event::config_in_force,
        {{"generation", std::to_string(history_.current->number)},
         {"refused", std::to_string(out.refused)}});
    steady_time const now = steady_now();
    run(on_generation_applied(sync_, view(), settings_.sync, random_, now),
        now);
    for (auto const& it : callbacks_)
        it();
}

void cluster_controller::end_store_call(bool ok)
{
    steady_time const now = steady_now();
    did_last_store_call_fail_ = !ok;
    next_store_call_ = ok ? now : now + varied(store_retry, random_);
    on_store_done(sync_, ok, now);
    if (ok)
        state_.store_seen = now;
    publish(now);
    tick_store(now);
}

void cluster_controller::tick_store(steady_time now)
{
    if (!is_watcher_ || reader_.is_busy() || now < next_store_call_)
        return;
    bool const needs_read =
        did_last_store_call_fail_ || !history_.pending.empty();
    if (needs_read)
        reader_.read();
    else
        reader_.watch(settings_.watch_timeout);
}

void cluster_controller::tick_checkpoint(steady_time now)
{
    bool const is_due = history_.newest > stored_checkpoint_ &&
                        history_.newest % checkpoint_interval == 0;
    // While the first read goes on, checkpoints that it passes are of no use.
    if (!is_watcher_ || !sync_.has_config || !is_due ||
        is_writing_checkpoint_ || now < next_checkpoint_)
        return;
    is_writing_checkpoint_ = true;
    next_checkpoint_ = now + varied(checkpoint_retry, random_);
    std::uint64_t const number = history_.newest;
    reader_.write_checkpoint(
        number, history_.newest_text,
        [this, number](bool is_done)
        {
            is_writing_checkpoint_ = false;
            if (is_done)
                stored_checkpoint_ = number;
        });
}

void cluster_controller::tick_shutdown(steady_time now)
{
    if (!state_.is_shutting_down || has_said_leaving_)
        return;
    has_said_leaving_ = true;
    // Entries choose where work goes, so they are told at once.
    for (auto const& [name, p] : state_.peers)
    {
        if (p.role == process_role::entry && is_live(p, now))
            send_digest(name, now);
    }
}

bool cluster_controller::knows_list(steady_time now) const
{
    return list_seen_ != steady_time{} || settings_.instance_list_url.empty() ||
           now - sync_.started_at >= list_wait;
}

void cluster_controller::tick(steady_time now)
{
    tick_timer_.start(varied(settings_.tick_period, random_));
    // Without a recent list, an isolated daemon keeps the peers that it knew:
    // if it forgot them, it would count as alone and take work again.
    bool const knows_peers_now =
        list_seen_ != steady_time{} &&
        now - list_seen_ < settings_.sync.members.unlisted_lifetime;
    if (!state_.is_isolated || knows_peers_now)
        remove_expired(state_.peers, settings_.sync.members, now);
    if (knows_list(now) && now >= next_watch_choice_)
    {
        next_watch_choice_ = now + settings_.sync.digest_period;
        auto const holders = choose_watchers(
            state_.identity, state_.peers, history_.current->zones,
            settings_.sync.members, now);
        is_watcher_ =
            std::count(
                holders.begin(), holders.end(), state_.identity.instance) > 0;
    }
    run(on_tick(sync_, view(), settings_.sync, random_, now), now);
    tick_store(now);
    tick_checkpoint(now);
    tick_shutdown(now);
    publish(now);
}

void cluster_controller::read_instance_list()
{
    list_timer_.start(varied(
        instance_list_wait(settings_.list_period, list_bytes_), random_));
    if (list_call_ != 0)
        return;
    list_call_ = http_.send(
        {.url = settings_.instance_list_url + "/v1/instances",
         .timeout = list_timeout},
        [this](result<http_reply> const& reply)
        {
            list_call_ = 0;
            take_instance_list(reply);
        });
}

void cluster_controller::take_instance_list(result<http_reply> const& reply)
{
    bool const is_answered = reply && reply->status == 200;
    auto const list = is_answered ? parse_instance_list(reply->body)
                                  : fail(error_kind::internal, "no list");
    state_.counters.count(
        "instance_list_reads_total", list ? "done" : "failed");
    if (!list)
        return;
    list_bytes_ = reply->body.size();
    count_bytes(0, list_bytes_);
    list_timer_.start(varied(
        instance_list_wait(settings_.list_period, list_bytes_), random_));
    list_seen_ = steady_now();
    merge_list(
        state_.peers, *list, state_.identity.instance, settings_.sync.members,
        steady_now());
}

void cluster_controller::publish(steady_time now)
{
    bool const was_isolated = state_.is_isolated;
    state_.has_config = sync_.has_config;
    state_.knows_peers = knows_list(now);
    state_.is_isolated = is_isolated(sync_, view(), settings_.sync, now);
    if (state_.is_isolated && !was_isolated)
        log_.write(log_event::isolation_began);
    if (!state_.is_isolated && was_isolated)
        log_.write(log_event::isolation_ended);
    count_bytes(
        datagrams_.bytes_sent() - counted_sent_,
        datagrams_.bytes_received() - counted_received_);
    counted_sent_ = datagrams_.bytes_sent();
    counted_received_ = datagrams_.bytes_received();
    metrics& m = state_.counters;
    m.count(
        "store_calls_total", "read",
        static_cast<double>(store_.reads() - counted_reads_));
    m.count(
        "store_calls_total", "write",
        static_cast<double>(store_.writes() - counted_writes_));
    counted_reads_ = store_.reads();
    counted_writes_ = store_.writes();
    m.set("generation", static_cast<double>(history_.current->number));
}

void cluster_controller::count_bytes(std::uint64_t sent, std::uint64_t received)
{
    metrics& m = state_.counters;
    m.count("control_bytes_total", "sent", static_cast<double>(sent));
    m.count("control_bytes_total", "received", static_cast<double>(received));
}

std::string cluster_controller::status_json(steady_time now) const
{
    json peers = json::array();
    for (auto const& [name, p] : state_.peers)
    {
        peer_condition const c = condition_of(p, settings_.sync.members, now);
        peers.push_back(
            {{"instance", name},
             {"role", p.role == process_role::agent ? "agent" : "entry"},
             {"zone", p.availability_zone},
             {"upstream", p.upstream},
             {"address", p.address},
             {"condition", to_text(c)},
             {"generation", p.generation},
             {"heard_ago_ms", age_ms(p.last_heard, now)}});
    }
    json refused = json::object();
    for (auto const& [number, reason] : history_.current->refused)
        refused[std::to_string(number)] = reason;
    return json{
        {"instance", state_.identity.instance},
        {"generation", history_.current->number},
        {"known_generation", sync_.newest_known},
        {"has_config", sync_.has_config},
        {"is_isolated", state_.is_isolated},
        {"is_ready", state_.is_ready()},
        {"is_store_watcher", is_watcher_},
        {"store_seen_ago_ms", age_ms(state_.store_seen, now)},
        {"peer_seen_ago_ms", age_ms(state_.peer_seen, now)},
        {"refused_generations", std::move(refused)},
        {"peers", std::move(peers)}}
        .dump();
}

} // namespace marjorambeam
