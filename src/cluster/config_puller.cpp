#include "cluster/config_puller.hpp"

namespace marjorambeam
{

config_puller::config_puller(ev::loop_ref loop)
    : loop_(loop)
    , timer_(loop, [this] { finish(pull_end::failed); })
{
}

config_puller::~config_puller()
{
    if (connection_)
        connection_->close();
}

void config_puller::start(
    std::string_view address, hello const& own, std::uint64_t after,
    duration timeout, handlers h)
{
    timeout_ = timeout;
    handlers_ = std::move(h);
    connection_ = frame_connection::connect(loop_, address);
    connection_->on_message([this](message&& m) { on_message(std::move(m)); });
    connection_->on_close(
        [this](error const& why)
        {
            finish(
                why.run == run_state::not_run ? pull_end::refused
                                              : pull_end::failed);
        });
    connection_->send(own);
    connection_->send(config_pull{.after = after});
    timer_.start(timeout_);
}

void config_puller::on_message(message&& m)
{
    auto* answer = std::get_if<config_generations>(&m);
    if (answer == nullptr || !connection_)
        return;
    std::optional<std::uint64_t> const next =
        handlers_.on_answer(std::move(*answer));
    if (!next)
    {
        finish(pull_end::answered);
        return;
    }
    connection_->send(config_pull{.after = *next});
    timer_.start(timeout_);
}

void config_puller::finish(pull_end end)
{
    timer_.stop();
    std::shared_ptr<frame_connection> const closed = std::move(connection_);
    connection_ = nullptr;
    if (!closed)
        return;
    closed->close();
    // The handler may start the next pull, which replaces the handlers.
    handlers const h = std::move(handlers_);
    h.on_bytes(closed->bytes_sent(), closed->bytes_received());
    h.on_done(end);
}

} // namespace marjorambeam
