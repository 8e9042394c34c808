#include "base/result_code.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>
#include <string>

using namespace sycamoretray;

namespace
{

std::string tableRow(result_code code)
{
    const char *outcome = "answered";
    if (outcomeClass(code) == request_outcome_class::not_run) {
        outcome = "not run";
    } else if (outcomeClass(code) == request_outcome_class::unknown) {
        outcome = "unknown";
    }
    std::ostringstream row;
    row << "| " << static_cast<int>(code) << " | `" << resultName(code) << "` | " << outcome << " | " << httpStatus(code) << " | " << resultMessage(code)
        << " |";
    return row.str();
}

} // namespace

// Guards against a code that is missing from docs/result-codes.md or described differently there.
Test(result_code, page_lists_every_code)
{
    std::ifstream page(RESULT_CODE_PAGE);
    const std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
    int codes = 0;
    for (int number = 0; number < 500; ++number) {
        const auto code = static_cast<result_code>(number);
        if (number != 0 && resultName(code) == "ok") {
            continue;
        }
        ++codes;
        cr_expect(text.find(tableRow(code)) != std::string::npos, "missing row: %s", tableRow(code).c_str());
    }
    cr_expect(codes > 40);
}

// Guards against reporting an unknown outcome to a caller as a known one.
Test(result_code, classes_follow_the_hundreds)
{
    cr_expect(outcomeClass(result_code::ok) == request_outcome_class::answered);
    cr_expect(outcomeClass(result_code::queue_full) == request_outcome_class::not_run);
    cr_expect(outcomeClass(result_code::home_lost) == request_outcome_class::unknown);
}
