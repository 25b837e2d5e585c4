#include "entry/generation_writer.hpp"

namespace marjorambeam
{

generation_writer::generation_writer(
    ev::loop_ref loop, object_store& store, std::function<bool()> may_act)
    : store_(store)
    , may_act_(std::move(may_act))
    , timer_(loop, [this] { step(); })
{
}

void generation_writer::start(
    config_snapshot base, generation proposal, steady_time give_up_at,
    done_handler done)
{
    done_ = std::move(done);
    state_ = begin_edit(std::move(base), std::move(proposal), give_up_at);
    proceed();
}

void generation_writer::proceed()
{
    if (state_->wait > duration(0))
        timer_.start(state_->wait);
    else
        step();
}

void generation_writer::step()
{
    switch (state_->next)
    {
    case edit_action::create:
        create();
        break;
    case edit_action::read_back:
        read_back();
        break;
    case edit_action::finish:
        finish();
        break;
    }
}

void generation_writer::finish()
{
    edit_state const end = std::move(*state_);
    state_.reset();
    done_handler const done = std::move(done_);
    done(end);
}

void generation_writer::create()
{
    if (!may_act_())
    {
        error e = make_error(
            error_kind::cancelled,
            "the lease was lost before the generation was created");
        e.run = state_->is_unsettled ? run_state::unknown : run_state::not_run;
        state_->outcome = tl::unexpected<error>(std::move(e));
        finish();
        return;
    }
    store_.create(
        generations_kind, generation_name(state_->proposal.number),
        to_json(state_->proposal),
        [this,
         alive = std::weak_ptr<int>(alive_)](result<stored_object> const& reply)
        {
            if (alive.expired())
                return;
            result<void> const call_result =
                reply ? result<void>()
                      : result<void>(tl::unexpected<error>(reply.error()));
            state_ =
                after_create(std::move(*state_), call_result, steady_now());
            proceed();
        });
}

void generation_writer::read_back()
{
    std::uint64_t const number = state_->proposal.number;
    store_.get(
        generations_kind, generation_name(number),
        [this, number,
         alive = std::weak_ptr<int>(alive_)](result<stored_object> const& reply)
        {
            if (alive.expired())
                return;
            result<generation> const call_result =
                reply
                    ? parse_generation(number, reply->value)
                    : result<generation>(tl::unexpected<error>(reply.error()));
            state_ =
                after_read_back(std::move(*state_), call_result, steady_now());
            proceed();
        });
}

} // namespace marjorambeam
