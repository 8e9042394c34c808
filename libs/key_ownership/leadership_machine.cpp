#include "key_ownership/leadership_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sycamoretray
{

namespace
{

namespace front = boost::msm::front;

struct partition_assigned {
};
struct partition_revoked {
};
struct epoch_set {
};
struct fenced {
};

template<leadership_phase Phase>
struct phase_state : front::state<> {
};

using following = phase_state<leadership_phase::following>;
using claiming = phase_state<leadership_phase::claiming>;
using leading = phase_state<leadership_phase::leading>;

struct leadership_front : front::state_machine_def<leadership_front> {
    using initial_state = following;

    template<class From, class Event, class To>
    using row = front::Row<From, Event, To, front::none, front::none>;

    // The name is required by MSM.
    struct transition_table : boost::mpl::vector<row<following, partition_assigned, claiming>,
                                                 row<claiming, partition_revoked, following>,
                                                 row<claiming, epoch_set, leading>,
                                                 row<claiming, fenced, following>,
                                                 row<leading, partition_revoked, following>,
                                                 row<leading, fenced, following>> {
    };

    template<class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT(readability-identifier-naming): name required by MSM
    {
    }
};

using leadership_back = boost::msm::back::state_machine<leadership_front>;

template<class State>
int stateId()
{
    return boost::msm::back::get_state_id<leadership_back::stt, State>::value;
}

} // namespace

struct leadership_machine::impl {
    leadership_back machine;
};

leadership_machine::leadership_machine()
    : d(std::make_unique<impl>())
{
    d->machine.start();
}

leadership_machine::~leadership_machine() = default;

bool leadership_machine::process(leadership_event event)
{
    const leadership_phase before = phase();
    switch (event) {
    case leadership_event::partition_assigned:
        d->machine.process_event(partition_assigned());
        break;
    case leadership_event::partition_revoked:
        d->machine.process_event(partition_revoked());
        break;
    case leadership_event::epoch_set:
        d->machine.process_event(epoch_set());
        break;
    case leadership_event::fenced:
        d->machine.process_event(fenced());
        break;
    }
    return phase() != before;
}

leadership_phase leadership_machine::phase() const noexcept
{
    const int state = d->machine.current_state()[0];
    if (state == stateId<claiming>()) {
        return leadership_phase::claiming;
    }
    return state == stateId<leading>() ? leadership_phase::leading : leadership_phase::following;
}

} // namespace sycamoretray
