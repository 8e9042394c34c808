#include "dispatch/request_id_time.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

// Guards against a wrong creation time, on which at-most-once execution after a takeover depends.
Test(request_id_time, reads_the_example_of_rfc_9562)
{
    const auto created = creationTimeOfRequestId("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    cr_assert(created.has_value());
    cr_expect(created->time_since_epoch() == std::chrono::milliseconds(0x17F22E279B0));
}

// Guards against accepting ids without a creation time, whose age would be unknown after a takeover.
Test(request_id_time, refuses_other_forms)
{
    for (const char *text : { "",
                              "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
                              "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
                              "017F22E279B07CC398C4DC0C0C07398F",
                              "{017F22E2-79B0-7CC3-98C4-DC0C0C07398F}",
                              "017F22E2-79B0-7CC3-98C4-DC0C0C07398Z",
                              "017F22E2-79B0-7CC3-98C4-DC0C0C07398F0" }) {
        cr_expect_not(creationTimeOfRequestId(text).has_value(), "accepted %s", text);
    }
}
