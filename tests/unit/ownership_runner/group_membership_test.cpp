#include "group_store.h"
#include "sycamoretrayd/gateway/group_membership.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace sycamoretray;
using namespace std::chrono_literals;

// Guards against a group without a leader for a whole interval between joins: the store gives the partition to another member only after its
// former owner has joined with the generation in which it lost it.
Test(group_membership, lost_partition_is_released_at_once)
{
    boost::asio::io_context context;
    const serial_executor executor(context);
    group_store store(executor);
    const auto ignore = [] {};
    group_membership first(store, executor, { "g", "first", "t", 3s }, ignore);
    group_membership second(store, executor, { "g", "second", "t", 3s }, ignore);
    first.start();
    context.run_for(500ms);
    cr_assert(first.isLeader());
    second.start();
    // The first member learns of the loss at 1 s, the second one joins again at 1.5 s.
    context.run_for(1500ms);
    cr_expect_not(first.isLeader());
    cr_expect(second.isLeader());
}
