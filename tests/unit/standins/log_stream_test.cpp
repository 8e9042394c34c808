#include "standins/log_service/log_stream.h"

#include <criterion/criterion.h>

using sycamoretray::standins::log_stream;

// Guards against offsets that are reused or shifted when old records expire.
Test(log_stream, offsets_survive_expiry)
{
    log_stream stream;
    cr_expect_eq(stream.append({ "a", "b", "c" }, 100), 1U);
    cr_expect_eq(stream.append({ "d" }, 200), 4U);
    stream.expire(150, 0);
    cr_expect_eq(stream.earliest(), 4U);
    cr_expect_eq(stream.read(4, 10).at(0).data, "d");
    stream.expire(300, 0);
    cr_expect_eq(stream.earliest(), 5U);
    cr_expect_eq(stream.append({ "e" }, 400), 5U);
    cr_expect(stream.read(6, 10).empty());
}
