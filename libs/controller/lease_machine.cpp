#include "controller/lease_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sycamoretray
{

namespace
{

namespace front = boost::msm::front;

struct no_other_lease {
};
struct other_lease_possible {
};
struct boot_changed {
};
struct wait_over {
};
struct loss_decided {
};
struct loss_cancelled {
};
struct marked_lost {
};
struct marked_up {
};

template<lease_phase Phase>
struct phase_state : front::state<> {
};

using contacting = phase_state<lease_phase::contacting>;
using waiting = phase_state<lease_phase::waiting>;
using granting = phase_state<lease_phase::granting>;
using declared_lost = phase_state<lease_phase::declared_lost>;
using down = phase_state<lease_phase::down>;

struct lease_front : front::state_machine_def<lease_front> {
    using initial_state = contacting;

    template<class From, class Event, class To>
    using row = front::Row<From, Event, To, front::none, front::none>;

    // MSM requires this name.
    struct transition_table : boost::mpl::vector<row<contacting, no_other_lease, granting>,
                                                 row<contacting, other_lease_possible, waiting>,
                                                 row<contacting, loss_decided, declared_lost>,
                                                 row<contacting, marked_lost, down>,
                                                 row<waiting, wait_over, granting>,
                                                 row<waiting, loss_decided, declared_lost>,
                                                 row<waiting, marked_lost, down>,
                                                 row<granting, boot_changed, waiting>,
                                                 row<granting, loss_decided, declared_lost>,
                                                 row<granting, marked_lost, down>,
                                                 row<declared_lost, loss_cancelled, contacting>,
                                                 row<declared_lost, marked_lost, down>,
                                                 row<down, marked_up, granting>> {
    };

    template<class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT(readability-identifier-naming): name required by MSM
    {
    }
};

using lease_back = boost::msm::back::state_machine<lease_front>;

template<class State>
int stateId()
{
    return boost::msm::back::get_state_id<lease_back::stt, State>::value;
}

} // namespace

struct lease_machine::impl {
    lease_back machine;
};

lease_machine::lease_machine(bool serverIsUp)
    : d(std::make_unique<impl>())
{
    d->machine.start();
    if (!serverIsUp) {
        d->machine.process_event(marked_lost());
    }
}

lease_machine::~lease_machine() = default;
lease_machine::lease_machine(lease_machine &&) noexcept = default;
lease_machine &lease_machine::operator=(lease_machine &&) noexcept = default;

void lease_machine::process(lease_event event)
{
    switch (event) {
    case lease_event::no_other_lease:
        d->machine.process_event(no_other_lease());
        break;
    case lease_event::other_lease_possible:
        d->machine.process_event(other_lease_possible());
        break;
    case lease_event::boot_changed:
        d->machine.process_event(boot_changed());
        break;
    case lease_event::wait_over:
        d->machine.process_event(wait_over());
        break;
    case lease_event::loss_decided:
        d->machine.process_event(loss_decided());
        break;
    case lease_event::loss_cancelled:
        d->machine.process_event(loss_cancelled());
        break;
    case lease_event::marked_lost:
        d->machine.process_event(marked_lost());
        break;
    case lease_event::marked_up:
        d->machine.process_event(marked_up());
        break;
    }
}

lease_phase lease_machine::phase() const noexcept
{
    const int current = d->machine.current_state()[0];
    if (current == stateId<contacting>()) {
        return lease_phase::contacting;
    }
    if (current == stateId<waiting>()) {
        return lease_phase::waiting;
    }
    if (current == stateId<granting>()) {
        return lease_phase::granting;
    }
    return current == stateId<declared_lost>() ? lease_phase::declared_lost : lease_phase::down;
}

} // namespace sycamoretray
