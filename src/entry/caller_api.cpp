#include "entry/caller_api.hpp"

#include "admission/admission.hpp"
#include "base/hash.hpp"
#include "entry/chat_request.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view session_header = "x-session-id";
constexpr std::size_t max_key_bytes = 255;
// Assumed when the caller sets no limit, for queueing and admission.
constexpr std::uint64_t default_max_tokens = 256;

// Returns the request's timeout. Error: bad_request for a malformed header.
result<duration> read_timeout(contract const& c, http_request const& in)
{
    auto const fallback =
        std::chrono::duration_cast<std::chrono::milliseconds>(c.default_timeout)
            .count();
    result<std::int64_t> const ms =
        parse_timeout_ms(in.header("x-request-timeout-ms"), fallback);
    if (!ms)
        return tl::unexpected<error>(ms.error());
    return duration(std::chrono::milliseconds(*ms));
}

} // namespace

caller_api::caller_api(
    entry_state& state, request_controller& requests,
    routing_controller& routing, live_entries& live,
    session_controller& sessions, admission_controller& admission,
    cascade_controller& cascades, rating_controller& ratings)
    : state_(state)
    , requests_(requests)
    , routing_(routing)
    , live_(live)
    , sessions_(sessions)
    , admission_(admission)
    , cascades_(cascades)
    , ratings_(ratings)
    , ids_(state.cluster.identity.self)
{
}

void caller_api::count_refusal(error_kind kind)
{
    state_.cluster.counters.count("refusals_total", to_string(kind));
}

void caller_api::refuse(
    http_exchange& exchange, error const& why, std::string_view request_id)
{
    count_refusal(why.kind);
    respond_error(exchange, why, request_id);
}

void caller_api::respond_ready(http_exchange& exchange)
{
    cluster_state const& cluster = state_.cluster;
    if (cluster.is_ready())
    {
        exchange.respond(200, {}, "ready\n");
        return;
    }
    error_kind const kind = cluster.is_shutting_down ? error_kind::shutting_down
                            : cluster.is_isolated    ? error_kind::isolated
                                                     : error_kind::not_ready;
    respond_error(
        exchange, make_error(kind, "this entry admits no new work"), "");
}

bool caller_api::respond_probe(http_exchange& exchange)
{
    std::string const& path = exchange.request().path;
    if (path == "/healthz")
        exchange.respond(200, {}, "ok\n");
    else if (path == "/readyz")
        respond_ready(exchange);
    else if (path == "/metrics")
    {
        exchange.respond(
            200, {{"Content-Type", "text/plain; version=0.0.4"}},
            state_.cluster.counters.render());
    }
    else
        return false;
    return true;
}

void caller_api::handle_probe(std::shared_ptr<http_exchange> const& exchange)
{
    if (!respond_probe(*exchange))
    {
        respond_error(
            *exchange,
            make_error(error_kind::not_found, "there is nothing at this path"),
            "");
    }
}

void caller_api::handle(std::shared_ptr<http_exchange> const& exchange)
{
    http_request const& in = exchange->request();
    if (respond_probe(*exchange))
        return;
    if (!state_.cluster.is_ready())
    {
        count_refusal(
            state_.cluster.is_shutting_down ? error_kind::shutting_down
            : state_.cluster.is_isolated    ? error_kind::isolated
                                            : error_kind::not_ready);
        respond_ready(*exchange);
        return;
    }
    contract const* c = find_contract(
        *state_.cluster.config, bearer_key(in.header("authorization")));
    if (c == nullptr)
    {
        refuse(
            *exchange,
            make_error(
                error_kind::unauthorized,
                "the header Authorization contains no known key"),
            "");
        return;
    }
    handle_customer(exchange, *c);
}

void caller_api::list_models(http_exchange& exchange, contract const& c)
{
    nlohmann::json data = nlohmann::json::array();
    auto add = [&](std::string const& id)
    {
        data.push_back(
            {{"id", id}, {"object", "model"}, {"owned_by", "marjorambeam"}});
    };
    std::string last;
    for (auto const& [id, v] : state_.cluster.config->versions)
    {
        if (v.state == version_state::withdrawn || !is_permitted(c, v))
            continue;
        if (v.model != last)
            add(v.model);
        last = v.model;
        add(id);
    }
    exchange.respond(
        200, {{"Content-Type", "application/json"}},
        nlohmann::json{{"object", "list"}, {"data", std::move(data)}}.dump());
}

void caller_api::handle_customer(
    std::shared_ptr<http_exchange> const& exchange, contract const& c)
{
    http_request const& in = exchange->request();
    if (in.path == "/v1/models")
    {
        if (in.method == "GET")
            list_models(*exchange, c);
        else
            refuse(
                *exchange,
                make_error(error_kind::method_not_allowed, "use GET"), "");
        return;
    }
    entry_request& r = hold(exchange, c);
    result<duration> const timeout = read_timeout(c, in);
    if (!timeout)
    {
        refuse_held(r, timeout.error());
        return;
    }
    r.deadline = r.admitted_at + *timeout;
    bool const is_model = in.path == chat_path;
    result<void> const accepted =
        is_model ? read_model_request(r) : read_service_request(c, r);
    if (!accepted)
        refuse_held(r, accepted.error());
    else if (!is_model)
        request_admission(r);
    else
    {
        sessions_.find_pin(
            r.customer, in.header(session_header),
            [this, id = r.id](result<std::string> const& pin)
            { on_pin(id, pin); });
    }
}

entry_request& caller_api::hold(
    std::shared_ptr<http_exchange> const& exchange, contract const& c)
{
    http_request const& in = exchange->request();
    auto r = std::make_unique<entry_request>();
    r->id = ids_.next();
    r->exchange = exchange;
    r->customer = c.customer;
    r->config = state_.cluster.config;
    r->admitted_at = steady_now();
    r->admitted_wall_ms = to_unix_ms(wall_now());
    r->work.request_id = r->id;
    r->work.customer = c.customer;
    r->work.weight = c.weight;
    r->work.method = in.method;
    r->work.content_type = in.header("content-type");
    r->work.fingerprint = hash64(in.body, hash64(in.target));
    entry_request& held = *r;
    held_[held.id] = std::move(r);
    return held;
}

entry_request* caller_api::find(std::string const& id)
{
    auto const it = held_.find(id);
    return it == held_.end() ? nullptr : it->second.get();
}

void caller_api::refuse_held(entry_request& r, error const& why)
{
    state_.traces.add(
        r.id, wall_now(),
        "Refused: " + std::string(to_string(why.kind)) + ", " + why.message +
            ".");
    refuse(*r.exchange, why, r.id);
    held_.erase(held_.find(r.id));
}

result<void> caller_api::choose(entry_request& r)
{
    // The routing table is built from the current configuration, which may have
    // changed while the request was held.
    r.config = state_.cluster.config;
    auto const c = r.config->contracts.find(r.customer);
    if (c == r.config->contracts.end())
        return fail(error_kind::unauthorized, "the contract no longer exists");
    std::string model = r.chat.model;
    r.cascade.reset();
    if (model == "auto" && r.pin.empty())
    {
        result<cascade_pick> pick = cascades_.choose(
            *r.config, c->second, r.features, live_.names().size(),
            r.admitted_at);
        if (!pick)
            return tl::unexpected<error>(pick.error());
        model = pick->model;
        state_.traces.add(r.id, wall_now(), pick->reason + ".");
        r.cascade = std::move(*pick);
    }
    result<version_choice> const choice =
        routing_.choose_version(c->second, model, r.pin);
    if (!choice)
        return tl::unexpected<error>(choice.error());
    version const& v = *choice->document;
    r.model = v.model;
    r.version_id = v.id();
    r.work.target = r.version_id;
    r.ticket.estimate = estimate_cost(
        r.chat.prompt_bytes,
        static_cast<std::int64_t>(
            r.chat.max_tokens == 0 ? default_max_tokens : r.chat.max_tokens),
        v);
    r.work.token_cost = static_cast<std::uint64_t>(r.ticket.estimate.tokens);
    state_.traces.add(
        r.id, wall_now(),
        "Version " + r.version_id + ": " + std::string(choice->reason) + ".");
    return {};
}

version_reselection caller_api::reselect_version(entry_request& r)
{
    http_request const& in = r.exchange->request();
    bool const is_named = !r.pin.empty() ||
                          !in.header(session_header).empty() ||
                          r.chat.model.find('@') != std::string::npos;
    if (is_named || r.exchange->is_started())
        return version_reselection::none;
    std::string const before = r.version_id;
    // The allowance was charged with the first estimate, which settle() needs.
    request_cost const charged = r.ticket.estimate;
    result<void> const chosen = choose(r);
    r.ticket.estimate = charged;
    if (!chosen)
        return version_reselection::none;
    if (r.version_id == before)
        return version_reselection::later;
    r.session_token = sessions_.token(r.customer, {}, r.version_id);
    r.work.body = with_model(in.body, r.version_id);
    r.is_rated = ratings_.should_rate(r, steady_now());
    return version_reselection::chosen;
}

void caller_api::on_pin(std::string const& id, result<std::string> const& pin)
{
    entry_request* const r = find(id);
    if (r == nullptr)
        return;
    if (!pin)
    {
        refuse_held(*r, pin.error());
        return;
    }
    r->pin = *pin;
    if (result<void> ok = choose(*r); !ok)
    {
        refuse_held(*r, ok.error());
        return;
    }
    if (!r->pin.empty())
    {
        on_pin_established(id, r->pin);
        return;
    }
    sessions_.establish_pin(
        r->customer, r->exchange->request().header(session_header),
        r->version_id,
        [this, id](std::string const& pin) { on_pin_established(id, pin); });
}

void caller_api::on_pin_established(
    std::string const& id, std::string const& pin)
{
    entry_request* const r = find(id);
    if (r == nullptr)
        return;
    if (pin != r->version_id)
    {
        r->pin = pin;
        if (result<void> ok = choose(*r); !ok)
        {
            refuse_held(*r, ok.error());
            return;
        }
    }
    http_request const& in = r->exchange->request();
    r->session_token =
        sessions_.token(r->customer, in.header(session_header), r->version_id);
    r->work.body = with_model(in.body, r->version_id);
    request_admission(*r);
}

void caller_api::request_admission(entry_request& r)
{
    admission_.admit(
        r.config->contracts.find(r.customer)->second, r.ticket.estimate,
        [this, id = r.id](result<admission_charge> const& ticket)
        { on_admission(id, ticket); });
}

void caller_api::on_admission(
    std::string const& id, result<admission_charge> const& ticket)
{
    auto const it = held_.find(id);
    if (it == held_.end())
        return;
    if (!ticket)
    {
        refuse_held(*it->second, ticket.error());
        return;
    }
    std::unique_ptr<entry_request> r = std::move(it->second);
    held_.erase(it);
    if (!r->exchange->is_open())
    {
        admission_.settle(*ticket, {});
        count_refusal(error_kind::cancelled);
        return;
    }
    r->ticket = *ticket;
    r->is_rated = ratings_.should_rate(*r, steady_now());
    state_.cluster.counters.count("requests_admitted_total");
    on_admitted(state_.retries, r->admitted_at);
    state_.traces.add(
        id, wall_now(),
        "Admitted for customer " + r->customer + " in generation " +
            std::to_string(r->config->number) + ", target " + r->work.target +
            ".");
    requests_.begin(std::move(r), steady_now());
}

result<void> caller_api::read_model_request(entry_request& r)
{
    http_request const& in = r.exchange->request();
    if (in.method != "POST")
        return fail(error_kind::method_not_allowed, "use POST");
    result<chat_request> chat = parse_chat_request(in.body);
    if (!chat)
        return tl::unexpected<error>(chat.error());
    r.chat = std::move(*chat);
    r.work.kind = work_kind::model;
    r.work.path = chat_path;
    r.work.is_stream = r.chat.is_stream;
    r.features = extract_features(r.customer, r.chat.prompt_start);
    return {};
}

result<void>
caller_api::read_service_request(contract const& c, entry_request& r)
{
    http_request const& in = r.exchange->request();
    service_path const path = parse_service_path(in.target);
    if (path.name.empty())
        return fail(error_kind::not_found, "there is nothing at this path");
    auto const it = r.config->services.find(path.name);
    bool const is_allowed =
        it != r.config->services.end() &&
        std::find(c.services.begin(), c.services.end(), path.name) !=
            c.services.end();
    if (!is_allowed)
    {
        return fail(
            error_kind::service_not_allowed,
            "the contract does not allow the service \"" + path.name + "\"");
    }
    std::vector<std::string> const& methods = it->second.idempotent_methods;
    r.work.kind = work_kind::service;
    r.work.target = path.name;
    r.work.path = path.rest;
    r.work.body = in.body;
    r.work.token_cost = 1;
    r.ticket.estimate = {0, it->second.price};
    r.work.is_idempotent =
        std::find(methods.begin(), methods.end(), in.method) != methods.end();
    if (r.work.is_idempotent)
        return {};
    r.work.key = in.header("idempotency-key");
    if (r.work.key.size() > max_key_bytes)
    {
        return fail(
            error_kind::bad_request,
            "header Idempotency-Key is longer than 255 bytes");
    }
    if (!r.work.key.empty())
        return {};
    if (it->second.requires_key)
    {
        return fail(
            error_kind::idempotency_key_required,
            "the service \"" + path.name +
                "\" needs the header Idempotency-Key");
    }
    r.work.key = make_uuid7(to_unix_ms(wall_now()), random_incarnation());
    r.has_generated_key = true;
    return {};
}

} // namespace marjorambeam
