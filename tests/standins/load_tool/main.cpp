#include "standins/common/program_options.h"
#include "standins/common/standin_program.h"
#include "standins/load_tool/arrival_schedule.h"
#include "standins/load_tool/journal_reader.h"
#include "standins/load_tool/load_runner.h"
#include "standins/load_tool/report_writer.h"
#include "standins/load_tool/run_reconciler.h"

#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

namespace
{

using namespace sycamoretray::standins;

const char *const usage = R"(Sends a seeded schedule of requests to instances and checks the answers against the servers' run journals.

Exit code 0: no request was lost or answered wrongly, and the servers' journals show no violation. Otherwise 1.

Usage:
  load_tool --instance=ADDRESS... [--journal=FILE]... [options]

Options:
  --instance=ADDRESS       Caller address of an instance; may be repeated.
  --journal=FILE           Run journal of a server; may be repeated.
  --workload=NAME          drums, tax, both, steady or probe [default: drums].
  --rate=N                 Requests per second [default: 1000].
  --seconds=N              Length of the schedule [default: 10].
  --seed=N                 Seed of the schedule [default: 1].
  --keys=N                 Number of keys [default: 400].
  --long-run-us=N          Run time of long requests of the tax workload [default: 100000].
  --connections=N          Connections per instance [default: 50].
  --attempt-timeout-ms=N   Time after which an attempt times out and the request is retried [default: 2000].
  --deadline-ms=N          Time after which a caller gives up [default: 10000].
  --retry-pause-ms=N       Time before a retry [default: 10].
  --direct                 The addresses are servers that ignore tokens; for comparisons.
  --settle-ms=N            Time to wait after the last answer before the journals are read [default: 300].
  --json=FILE              Write the results as JSON.
  --html=FILE              Write the results as an HTML page.
  -h --help                Show this text.
)";

schedule_settings scheduleSettings(const program_options &options)
{
    schedule_settings settings;
    settings.workload = options.text("--workload");
    settings.requestsPerSecond = options.real("--rate");
    settings.seconds = options.real("--seconds");
    settings.seed = static_cast<std::uint64_t>(options.number("--seed"));
    settings.keys = static_cast<std::uint32_t>(options.number("--keys"));
    settings.longRunUs = options.number("--long-run-us");
    return settings;
}

runner_settings runnerSettings(const program_options &options)
{
    runner_settings settings;
    settings.instances = options.list("--instance");
    settings.connectionsPerInstance = static_cast<std::uint32_t>(options.number("--connections"));
    settings.attemptTimeoutMs = options.number("--attempt-timeout-ms");
    settings.deadlineMs = options.number("--deadline-ms");
    settings.retryPauseMs = options.number("--retry-pause-ms");
    settings.direct = options.flag("--direct");
    settings.seed = static_cast<std::uint64_t>(options.number("--seed"));
    return settings;
}

void writeFile(const std::string &path, const std::string &content)
{
    if (!path.empty()) {
        std::ofstream(path) << content;
    }
}

int run(int argc, char **argv)
{
    const program_options options(usage, argc, argv);
    const auto schedule = makeArrivalSchedule(scheduleSettings(options));
    LOG(INFO) << "event=start workload=" << options.text("--workload") << " seed=" << options.text("--seed") << " requests=" << schedule.size();
    boost::asio::io_context context(1);
    load_runner runner(context, runnerSettings(options), schedule);
    runner.start();
    context.run();
    std::this_thread::sleep_for(std::chrono::milliseconds(options.number("--settle-ms")));
    const journal_content journals = readJournals(options.list("--journal"));
    const auto violations = options.list("--journal").empty() ? std::vector<std::string>() : reconcile(schedule, runner.histories(), journals);
    nlohmann::json summary = summarize(schedule, runner.histories(), journals, violations);
    summary["workload"] = options.text("--workload");
    summary["seed"] = options.number("--seed");
    writeFile(options.text("--json"), summary.dump(1) + "\n");
    writeFile(options.text("--html"), renderReport(summary));
    for (const nlohmann::json &violation : summary["violations"]) {
        LOG(ERROR) << "event=violation text=\"" << violation.get<std::string>() << '"';
    }
    std::cout << "requests=" << schedule.size() << " results=" << summary["results"].dump() << " violations=" << violations.size() << std::endl;
    const bool complete = summary["results"]["lost"] == 0 && summary["results"]["wrong_answer"] == 0;
    return violations.empty() && complete ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argv[0], [argc, argv] {
        return run(argc, argv);
    });
}
