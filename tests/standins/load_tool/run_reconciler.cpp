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

void checkFate(const planned_request &planned, const request_fate &fate, const journal_content &journals, std::vector<std::string> &violations)
{
    if (fate.attempts.empty()) {
        violations.push_back("request " + planned.target + " was not sent");
        return;
    }
    std::set<std::string> ids;
    for (const request_attempt &attempt : fate.attempts) {
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
            const bool covered = std::any_of(fate.attempts.begin(), fate.attempts.end(), [&run, &id](const request_attempt &attempt) {
                const bool mayHaveRun = attempt.outcome != attempt_outcome::not_run && attempt.outcome != attempt_outcome::refused;
                return mayHaveRun && attempt.begin <= run.at && (attempt.requestId.empty() || attempt.requestId == id);
            });
            if (!covered) {
                violations.push_back("told not run, but ran at " + run.server + ": id " + id);
            }
        }
    }
}

void checkOwned(const char *what, const std::map<std::string, std::vector<run_event>> &runs, std::vector<std::string> &violations)
{
    for (const auto &[id, events] : runs) {
        for (const run_event &run : events) {
            if (!run.owned) {
                violations.push_back(std::string(what) + " without ownership at " + run.server + ": key " + run.key + ", id " + id);
            }
        }
    }
}

bool share(const ownership_span &a, const ownership_span &b, std::string &what)
{
    for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
        // No key has this name, so that only the slot decides.
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

void checkExclusive(const std::vector<ownership_span> &allSpans, std::vector<std::string> &violations)
{
    std::vector<ownership_span> spans = allSpans;
    std::sort(spans.begin(), spans.end(), [](const ownership_span &a, const ownership_span &b) {
        return a.from < b.from;
    });
    for (std::size_t i = 0; i < spans.size(); ++i) {
        for (std::size_t j = i + 1; j < spans.size() && spans[j].from < spans[i].until; ++j) {
            std::string what;
            if (spans[i].boot != spans[j].boot && serviceOf(spans[i].server) == serviceOf(spans[j].server) && share(spans[i], spans[j], what)) {
                const long long overlap = std::min(spans[i].until, spans[j].until) - spans[j].from;
                violations.push_back("two owners of " + what + " for " + std::to_string(overlap) + " us: " + spans[i].server + " " + spans[i].boot + " and "
                                     + spans[j].server + " " + spans[j].boot + " from " + std::to_string(spans[j].from));
            }
        }
    }
}

} // namespace

std::vector<std::string> reconcile(const std::vector<planned_request> &script, const std::vector<request_fate> &fates, const journal_content &journals)
{
    std::vector<std::string> violations;
    // Two owners come first, because only the first violations are listed and the others may follow from them.
    checkExclusive(journals.spans, violations);
    for (std::size_t i = 0; i < script.size(); ++i) {
        checkFate(script[i], fates[i], journals, violations);
    }
    checkOwned("start", journals.starts, violations);
    checkOwned("commit", journals.commits, violations);
    if (journals.startsAfterDrain > 0) {
        violations.push_back(std::to_string(journals.startsAfterDrain) + " requests started more than 2 s after their server began to drain");
    }
    return violations;
}

} // namespace sycamoretray::standins
