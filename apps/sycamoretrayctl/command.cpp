#include "command.h"

#include <iostream>

namespace sycamoretray
{

namespace
{

constexpr const char *programVersion = "0.1.0";

exit_code runPost(const command_context &context, const std::string &target, const nlohmann::json &body)
{
    const admin_response answer = queryAnyInstance(context, [&](const admin_client &client) {
        return client.post(target, body);
    });
    if (answer.error) {
        return reportError(answer);
    }
    std::cout << (context.json ? answer.body.dump() : "done") << "\n";
    return exit_code::success;
}

struct command_runner {
    const command_context &context;

    exit_code operator()(const check_command &chosen) const
    {
        return detail::runCheck(chosen);
    }

    exit_code operator()(const publish_command &chosen) const
    {
        return detail::runPublish(chosen, context);
    }

    exit_code operator()(const diff_command &chosen) const
    {
        return detail::runDiff(chosen, context);
    }

    exit_code operator()(const list_command &chosen) const
    {
        return detail::runList(chosen, context);
    }

    exit_code operator()(const show_command &chosen) const
    {
        return detail::runShow(chosen, context);
    }

    exit_code operator()(const status_command &) const
    {
        return detail::runStatus(context);
    }

    exit_code operator()(const owner_command &chosen) const
    {
        return detail::runOwner(chosen, context);
    }

    exit_code operator()(const dump_command &chosen) const
    {
        return detail::runDump(chosen, context);
    }

    exit_code operator()(const drain_command &chosen) const
    {
        return runPost(context, "/v1/endpoints/drain", { { "server", chosen.server }, { "draining", chosen.draining } });
    }

    exit_code operator()(const stop_command &) const
    {
        // Only the instance named by --admin may be stopped; falling back to another reachable instance would stop the wrong one.
        if (context.clients.size() != 1) {
            std::cerr << "--admin: name exactly one instance to stop\n";
            return exit_code::usage;
        }
        return runPost(context, "/v1/stop", nlohmann::json::object());
    }

    exit_code operator()(const confirmers_reset_command &chosen) const
    {
        return runPost(context, "/v1/confirmers/reset", { { "incarnations", chosen.incarnations } });
    }

    exit_code operator()(const version_command &) const
    {
        std::cout << "sycamoretrayctl " << programVersion << "\n";
        return exit_code::success;
    }
};

} // namespace

exit_code run(const command &chosen, const command_context &context)
{
    return std::visit(command_runner{ context }, chosen);
}

exit_code reportError(const admin_response &answer)
{
    std::cerr << "error " << answer.error.value() << " (" << resultName(static_cast<result_code>(answer.error.value())) << "): " << answer.message << "\n";
    return exitCodeOf(answer.error);
}

} // namespace sycamoretray
