#include "standins/load_tool/run_reconciler.h"

#include <criterion/criterion.h>

using namespace sycamoretray::standins;
using nlohmann::json;

namespace
{

planned_request pickup()
{
    planned_request planned;
    planned.target = "/tracking/drum-1/pickups?n=1";
    planned.nonIdempotent = true;
    return planned;
}

request_history historyOf(std::vector<attempt_outcome> outcomes)
{
    request_history history;
    long long begin = 100;
    for (const attempt_outcome outcome : outcomes) {
        history.attempts.push_back({ "id-1", outcome, 0, 0, begin, begin + 50 });
        begin += 100;
    }
    return history;
}

journal_content commitsAt(const std::vector<long long> &times, bool owned = true)
{
    journal_content journals;
    for (const long long at : times) {
        journals.commits["id-1"].push_back({ "s/a", "drum-1", at, owned });
    }
    return journals;
}

std::size_t violationCount(const std::vector<attempt_outcome> &outcomes, const journal_content &journals)
{
    return reconcile({ pickup() }, { historyOf(outcomes) }, journals).size();
}

ownership_span span(const char *server, long long from, long long until, unsigned firstSlot, unsigned lastSlot, std::vector<std::string> extraKeys = {})
{
    const json ownership = { { "version", 1 }, { "slots", { { firstSlot, lastSlot } } }, { "extra_keys", extraKeys } };
    return { server, std::string("boot of ") + server, from, until, key_ownership(ownership) };
}

std::size_t spanViolationCount(std::vector<ownership_span> spans)
{
    journal_content journals;
    journals.spans = std::move(spans);
    return reconcile({}, {}, journals).size();
}

} // namespace

// Guards against a checker that misses a contradiction between the attempts and the runs of one request.
Test(run_reconciler, finds_contradictions_within_a_request)
{
    using enum attempt_outcome;
    cr_expect_eq(violationCount({ answered }, commitsAt({ 120 })), 0U);
    cr_expect_eq(violationCount({ answered }, commitsAt({})), 1U, "answered but not run");
    cr_expect_eq(violationCount({ answered }, commitsAt({ 120, 130 })), 1U, "ran twice");
    cr_expect_eq(violationCount({ answered }, commitsAt({ 120 }, false)), 1U, "ran without ownership");
    cr_expect_eq(violationCount({ not_run }, commitsAt({ 120 })), 1U, "reported as not run, but ran");
    cr_expect_eq(violationCount({ wrong_answer }, commitsAt({ 120 })), 1U, "wrong answer");
    cr_expect_eq(violationCount({ not_run, answered }, commitsAt({ 120 })), 1U, "ran in the attempt that was reported as not run");
    cr_expect_eq(violationCount({ not_run, answered }, commitsAt({ 220 })), 0U);
    cr_expect_eq(violationCount({ lost, not_run }, commitsAt({ 120 })), 0U, "the lost attempt may have run");
    cr_expect_eq(violationCount({ unknown }, commitsAt({ 120 })), 0U);
    cr_expect_eq(violationCount({ refused }, commitsAt({ 120 })), 1U, "ran although nothing was sent");
}

// Guards against a checker that misses two owners of a slot or key.
Test(run_reconciler, finds_two_owners)
{
    cr_expect_eq(spanViolationCount({ span("s/a", 100, 200, 0, 9), span("s/b", 200, 300, 9, 20) }), 0U);
    cr_expect_eq(spanViolationCount({ span("s/a", 100, 200, 0, 9), span("s/b", 199, 300, 9, 20) }), 1U);
    cr_expect_eq(spanViolationCount({ span("s/a", 100, 200, 0, 9), span("t/b", 100, 300, 9, 20) }), 0U, "other service");
    cr_expect_eq(spanViolationCount({ span("s/a", 100, 200, 0, 16383), span("s/b", 150, 300, 1, 0, { "drum-1" }) }), 1U, "hot key");
}
