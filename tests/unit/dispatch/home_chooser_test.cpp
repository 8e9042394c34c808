#include "dispatch/home_chooser.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace sycamoretray;

namespace
{

std::vector<home_candidate> candidates(int count)
{
    std::vector<home_candidate> result;
    for (int i = 0; i < count; ++i) {
        result.push_back({ server_id("s" + std::to_string(i)), 3, true });
    }
    return result;
}

std::map<server_id, int> chooseMany(home_chooser &chooser, int requests)
{
    std::map<server_id, int> result;
    for (int i = 0; i < requests; ++i) {
        const server_id server = *chooser.choose();
        ++result[server];
        chooser.finished(server);
    }
    return result;
}

} // namespace

// Guards against one outdated or wrong report that shifts the traffic towards or away from a server.
Test(home_chooser, one_wrong_report_changes_little)
{
    for (const std::uint32_t wrongLoad : { 0U, 1000U }) {
        home_chooser chooser(1);
        chooser.setCandidates(candidates(6));
        for (int round = 0; round < 20; ++round) {
            for (const home_candidate &each : candidates(6)) {
                chooser.applyLoadReport(each.server, { 3, 0 });
            }
        }
        chooser.applyLoadReport(server_id("s0"), { wrongLoad, 0 });
        const auto chosen = chooseMany(chooser, 6000);
        for (const auto &[server, count] : chosen) {
            cr_expect(count > 940 && count < 1060, "%s: %d", server.value().c_str(), count);
        }
    }
}

// Guards against choosing a server that is down, and against a new server that receives all requests.
Test(home_chooser, candidates_can_change)
{
    home_chooser chooser(1);
    cr_expect_not(chooser.choose().has_value());
    auto all = candidates(6);
    chooser.setCandidates(all);
    chooseMany(chooser, 1000);
    all[0].available = false;
    all.push_back({ server_id("new"), 3, true });
    chooser.setCandidates(all);
    auto chosen = chooseMany(chooser, 600);
    cr_expect(chosen[server_id("s0")] == 0);
    cr_expect(chosen[server_id("new")] < 150);
}

// Guards against a slow server that receives as many requests as the others.
Test(home_chooser, loaded_home_is_avoided)
{
    home_chooser chooser(1);
    chooser.setCandidates(candidates(2));
    for (int i = 0; i < 50; ++i) {
        chooser.applyLoadReport(server_id("s0"), { 9, 0 });
        chooser.applyLoadReport(server_id("s1"), { 3, 0 });
    }
    auto chosen = chooseMany(chooser, 100);
    cr_expect(chosen[server_id("s1")] == 100);
}
