#include "standins/load_tool/run_reconciler.h"

#include "routing/hash_slots.h"

#include <algorithm>
#include <set>

namespace sycamoretray::standins
{

namespace
{

constexpr std::uint32_t slotCount = 16384;

std::string serviceOf(const std::string &server)
{
    return server.substr(0, server.rfind('/'));
}

void checkRequest(const planned_request &planned, const request_history &history, const journal_content &journals, std::vector<std::string> &violations)
{
    if (history.attempts.empty()) {
        violations.push_back("request " + planned.target + " was not sent");
        return;
    }
    std::set<std::string> ids;
    for (const request_attempt &attempt : history.attempts) {
        if (attempt.outcome == attempt_outcome::wrong_answer) {
            violations.push_back("wrong or incomplete answer to " + planned.target + ", id " + attempt.requestId);
        }
        if (!attempt.requestId.empty()) {
            ids.insert(attempt.requestId);
        }
        if (attempt.outcome != attempt_outcome::answered) {
            continue;
        }
        const auto commits = journals.commits.find(attempt.requestId);
        const bool ran = commits != journals.commits.end() && std::any_of(commits->second.begin(), commits->second.end(), [&attempt](const run_event &run) {
                             return run.at <= attempt.end;
                         });
        if (!ran) {
            violations.push_back("answered but not run: " + planned.target + ", id " + attempt.requestId);
        }
    }
    for (const std::string &id : ids) {
        const auto commits = journals.commits.find(id);
        if (commits == journals.commits.end()) {
            continue;
        }
        if (planned.nonIdempotent && commits->second.size() > 1) {
            violations.push_back("non-idempotent request ran " + std::to_string(commits->second.size()) + " times: id " + id + " at "
                                 + commits->second[0].server + " and " + commits->second[1].server);
        }
        for (const run_event &run : commits->second) {
            const bool explained = std::any_of(history.attempts.begin(), history.attempts.end(), [&run, &id](const request_attempt &attempt) {
                const bool mayHaveRun = attempt.outcome != attempt_outcome::not_run && attempt.outcome != attempt_outcome::refused;
                return mayHaveRun && attempt.begin <= run.at && (attempt.requestId.empty() || attempt.requestId == id);
            });
            if (!explained) {
                violations.push_back("reported as not run, but ran at " + run.server + ": id " + id);
            }
        }
    }
}

void checkOwnership(const char *what, const std::map<std::string, std::vector<run_event>> &runs, std::vector<std::string> &violations)
{
    for (const auto &[id, events] : runs) {
        for (const run_event &run : events) {
            if (!run.owned) {
                violations.push_back(std::string(what) + " without ownership at " + run.server + ": key " + run.key + ", id " + id);
            }
        }
    }
}

bool shareSlotOrKey(const ownership_span &a, const ownership_span &b, std::string &what)
{
    for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
        // No key is empty, so that ownership depends on the slot only.
        static const std::string noKey;
        if (a.ownership.owns(static_cast<std::uint16_t>(slot), noKey) && b.ownership.owns(static_cast<std::uint16_t>(slot), noKey)) {
            what = "slot " + std::to_string(slot);
            return true;
        }
    }
    for (const ownership_span *span : { &a, &b }) {
        const ownership_span &other = span == &a ? b : a;
        const auto keys = span->ownership.toJson().at("extra_keys").get<std::vector<std::string>>();
        for (const std::string &key : keys) {
            if (other.ownership.owns(slotOfKey(key).value(), key)) {
                what = "key " + key;
                return true;
            }
        }
    }
    return false;
}

void checkExclusiveOwnership(const std::vector<ownership_span> &allSpans, std::vector<std::string> &violations)
{
    std::vector<ownership_span> spans = allSpans;
    std::sort(spans.begin(), spans.end(), [](const ownership_span &a, const ownership_span &b) {
        return a.from < b.from;
    });
    for (std::size_t i = 0; i < spans.size(); ++i) {
        for (std::size_t j = i + 1; j < spans.size() && spans[j].from < spans[i].until; ++j) {
            std::string what;
            if (spans[i].boot != spans[j].boot && serviceOf(spans[i].server) == serviceOf(spans[j].server) && shareSlotOrKey(spans[i], spans[j], what)) {
                const long long overlap = std::min(spans[i].until, spans[j].until) - spans[j].from;
                violations.push_back("two owners of " + what + " for " + std::to_string(overlap) + " us: " + spans[i].server + " " + spans[i].boot + " and "
                                     + spans[j].server + " " + spans[j].boot + " from " + std::to_string(spans[j].from));
            }
        }
    }
}

} // namespace

std::vector<std::string> reconcile(const std::vector<planned_request> &schedule, const std::vector<request_history> &histories, const journal_content &journals)
{
    std::vector<std::string> violations;
    // Two owners are checked first: reports list only the first violations, and two owners may cause the others.
    checkExclusiveOwnership(journals.spans, violations);
    for (std::size_t i = 0; i < schedule.size(); ++i) {
        checkRequest(schedule[i], histories[i], journals, violations);
    }
    checkOwnership("start", journals.starts, violations);
    checkOwnership("commit", journals.commits, violations);
    if (journals.startsAfterDrain > 0) {
        violations.push_back(std::to_string(journals.startsAfterDrain) + " requests started more than 2 s after their server began to drain");
    }
    return violations;
}

} // namespace sycamoretray::standins
