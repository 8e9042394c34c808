#pragma once

#include "admin_client.h"
#include "configuration/document_kind.h"
#include "exit_code.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamoretray
{

struct check_command {
    std::vector<std::string> files;
};

struct publish_command {
    std::vector<std::string> files;
    std::optional<std::uint64_t> baseVersion;
    bool wait = false;
    bool dryRun = false;
};

struct diff_command {
    std::string file;
};

struct list_command {
    document_kind kind = document_kind::template_document;
};

struct show_command {
    document_kind kind = document_kind::template_document;
    std::string name;
};

struct status_command {
};

struct owner_command {
    std::string service;
    std::string key;
};

struct dump_command {
    bool merge = false;
};

struct drain_command {
    std::string server;
    bool draining = true;
};

struct stop_command {
};

struct confirmers_reset_command {
    std::vector<std::string> incarnations;
};

struct version_command {
};

using command = std::variant<check_command,
                             publish_command,
                             diff_command,
                             list_command,
                             show_command,
                             status_command,
                             owner_command,
                             dump_command,
                             drain_command,
                             stop_command,
                             confirmers_reset_command,
                             version_command>;

/** Options common to all commands. clients has at least one element; queryAnyInstance() tries them in order. */
struct command_context {
    std::vector<admin_client> clients;
    bool json = false;
    std::chrono::milliseconds timeout{};
};

/** Runs a command and writes its results to standard output and its errors to standard error. */
exit_code run(const command &chosen, const command_context &context);

/** Writes the error to standard error and returns its exit code. */
exit_code reportError(const admin_response &answer);

/** Calls @p request for each instance in order until one is reachable. Returns the last response. */
template<class Request>
admin_response queryAnyInstance(const command_context &context, Request request)
{
    admin_response answer;
    for (const admin_client &client : context.clients) {
        answer = request(client);
        if (answer.error != result_code::peer_unreachable) {
            return answer;
        }
    }
    return answer;
}

namespace detail
{

exit_code runCheck(const check_command &chosen);
exit_code runPublish(const publish_command &chosen, const command_context &context);
exit_code runDiff(const diff_command &chosen, const command_context &context);
exit_code runList(const list_command &chosen, const command_context &context);
exit_code runShow(const show_command &chosen, const command_context &context);
exit_code runStatus(const command_context &context);
exit_code runOwner(const owner_command &chosen, const command_context &context);
exit_code runDump(const dump_command &chosen, const command_context &context);

} // namespace detail

} // namespace sycamoretray
