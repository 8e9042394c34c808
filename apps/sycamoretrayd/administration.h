#pragma once

#include "controller/controller_actions.h"
#include "controller/controller_events.h"
#include "http_entry/http_server.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sycamoretray
{

class control_loop;
class home_registry;
class metrics_registry;
class routing_store;

/** Components that the administration API reads and controls. */
struct administration_environment {
    /** Bearer token; empty if none is required. */
    std::string token;
    std::shared_ptr<control_loop> control;
    std::shared_ptr<home_registry> homes;
    std::shared_ptr<routing_store> routing;
    const metrics_registry *metrics = nullptr;
    /** Whether the instance accepts requests from callers. */
    std::function<bool()> ready;
    /** Starts the graceful shutdown. */
    std::function<void()> stop;
};

/**
 * Serves the administration API over HTTP; docs/protocols.md specifies it.
 *
 * Thread safety: any thread.
 */
class administration : public std::enable_shared_from_this<administration>
{
public:
    explicit administration(administration_environment environment);
    ~administration();
    administration(const administration &) = delete;
    administration &operator=(const administration &) = delete;

    void handle(const http_request &request, const std::shared_ptr<answer_handle> &handle);

    /** Answers the HTTP request that waits for this outcome of a publication or another change. */
    void operationCompleted(const publish_outcome &outcome);

    /** Calls @p done with the state of the controller and of all dispatchers as JSON text. */
    void dump(std::function<void(std::string)> done);

private:
    using handle_pointer = std::shared_ptr<answer_handle>;

    using query_fields = std::map<std::string, std::string>;

    void handleAuthorized(const http_request &request, const handle_pointer &handle, const std::string &path, const query_fields &query);
    void status(const handle_pointer &handle);
    void owner(const handle_pointer &handle, const query_fields &query);
    void listDocuments(const handle_pointer &handle);
    void document(const http_request &request, const handle_pointer &handle, const std::string &path, const query_fields &query);
    void showDocument(const handle_pointer &handle, document_kind kind, const std::string &name);
    void publish(const http_request &request, const handle_pointer &handle, document_kind kind, const std::string &name, bool dryRun);
    void answerDryRun(const publish_requested &request, const handle_pointer &handle);
    void drain(const http_request &request, const handle_pointer &handle);
    void resetConfirmers(const http_request &request, const handle_pointer &handle);
    /** Returns a new operation id; @p handle is answered when the controller reports the outcome of this operation. */
    operation_id addPendingOperation(const handle_pointer &handle);

    administration_environment m_environment;
    std::atomic<std::uint64_t> m_lastOperation{ 0 };
    std::mutex m_mutex;
    std::map<operation_id, handle_pointer> m_pending;
};

} // namespace sycamoretray
