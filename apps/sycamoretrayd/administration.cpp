#include "sycamoretrayd/administration.h"

#include "configuration/configuration_set.h"
#include "documents/json_text.h"
#include "executor/steady_time.h"
#include "http_entry/bearer_token.h"
#include "http_entry/error_answer.h"
#include "observability/metrics.h"
#include "routing/hash_slots.h"
#include "sycamoretrayd/control_loop.h"
#include "sycamoretrayd/home_registry.h"
#include "sycamoretrayd/request_admission.h"
#include "sycamoretrayd/routing_store.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace sycamoretray
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view documentsPath = "/v1/documents/";

http_response textAnswer(std::uint32_t status, std::string body, const char *type)
{
    http_response response;
    response.status = status;
    response.fields.push_back({ "Content-Type", type });
    response.body = std::move(body);
    return response;
}

http_response jsonAnswer(const json &body)
{
    return textAnswer(200, toJsonText(body), "application/json");
}

http_response adminError(const std::error_code &error, const std::string &message, std::uint64_t version)
{
    const auto code = static_cast<result_code>(error.value());
    json body = { { "code", error.value() }, { "name", resultName(code) }, { "message", message.empty() ? error.message() : message }, { "version", version } };
    http_response response = jsonAnswer(body);
    response.status = static_cast<std::uint32_t>(httpStatus(code));
    return response;
}

http_response adminError(result_code code, const std::string &message)
{
    return adminError(make_error_code(code), message, 0);
}

/** Decodes "+" and percent escapes in a name or value of a query string. Returns nothing if an escape is invalid. */
std::optional<std::string> decodeComponent(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            result += ' ';
        } else if (text[i] != '%') {
            result += text[i];
        } else {
            unsigned value = 0;
            const char *first = text.data() + i + 1;
            if (i + 2 >= text.size() || std::from_chars(first, first + 2, value, 16).ptr != first + 2) {
                return std::nullopt;
            }
            result += static_cast<char>(value);
            i += 2;
        }
    }
    return result;
}

std::optional<std::map<std::string, std::string>> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> result;
    const std::size_t start = target.find('?');
    std::string_view rest = start == std::string_view::npos ? std::string_view() : target.substr(start + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(item.size() + 1, rest.size()));
        const std::size_t equals = std::min(item.find('='), item.size());
        const auto name = decodeComponent(item.substr(0, equals));
        const auto value = decodeComponent(item.substr(std::min(equals + 1, item.size())));
        if (!name || !value) {
            return std::nullopt;
        }
        result[*name] = *value;
    }
    return result;
}

std::string operatorOf(const http_request &request)
{
    const std::string *name = findField(request.fields, "Sycamoretray-Operator");
    return name == nullptr ? std::string("unnamed") : *name;
}

const char *kindName(document_kind kind)
{
    return kind == document_kind::template_document ? "template" : "parameters";
}

std::optional<std::uint64_t> baseVersion(const http_request &request)
{
    const std::string *field = findField(request.fields, "If-Match");
    if (field == nullptr || field->size() < 3 || field->front() != '"' || field->back() != '"') {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    const char *last = field->data() + field->size() - 1;
    const auto parsed = std::from_chars(field->data() + 1, last, version);
    return parsed.ec == std::errc() && parsed.ptr == last ? std::optional(version) : std::nullopt;
}

/** Joins the state of the controller with the dumps of the dispatchers, each of which arrives on its own strand. Thread-safe. */
struct dump_collector {
    std::mutex mutex;
    json result;
    /** Calls of add() still to come. */
    std::size_t remaining = 0;
    std::function<void(std::string)> done;

    /** Adds the dump of a dispatcher, or nothing if @p server is empty. The last call passes the result to done. */
    void add(const std::string &server, const std::string &text)
    {
        std::string complete;
        {
            const std::lock_guard lock(mutex);
            if (!server.empty()) {
                result["dispatchers"][server] = json::parse(text, nullptr, false);
            }
            if (--remaining > 0) {
                return;
            }
            complete = toJsonText(result, 1);
        }
        done(complete);
    }
};

} // namespace

administration::administration(administration_environment environment)
    : m_environment(std::move(environment))
{
}

administration::~administration() = default;

void administration::handle(const http_request &request, const std::shared_ptr<answer_handle> &handle)
{
    std::string path;
    const auto query = parseQuery(request.target);
    if (!decodePath(request.target, path) || !query) {
        handle->answer(adminError(result_code::malformed_request, ""));
        return;
    }
    if (path == "/healthz") {
        handle->answer(textAnswer(200, "ok\n", "text/plain"));
    } else if (path == "/readyz") {
        const bool ready = m_environment.ready();
        handle->answer(textAnswer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain"));
    } else if (path == "/metrics") {
        handle->answer(textAnswer(200, m_environment.metrics->expose(), "text/plain; version=0.0.4"));
    } else if (!hasValidBearerToken(request, m_environment.token)) {
        handle->answer(adminError(result_code::unauthorized, ""));
    } else {
        handleAuthorized(request, handle, path, *query);
    }
}

void administration::handleAuthorized(const http_request &request, const handle_pointer &handle, const std::string &path, const query_fields &query)
{
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (get && path == "/v1/status") {
        status(handle);
    } else if (get && path == "/v1/dump") {
        dump([handle](std::string text) {
            handle->answer(textAnswer(200, std::move(text), "application/json"));
        });
    } else if (get && path == "/v1/owner") {
        owner(handle, query);
    } else if (get && path == "/v1/documents") {
        listDocuments(handle);
    } else if (path.starts_with(documentsPath)) {
        document(request, handle, path, query);
    } else if (post && path == "/v1/endpoints/drain") {
        drain(request, handle);
    } else if (post && path == "/v1/confirmers/reset") {
        resetConfirmers(request, handle);
    } else if (post && path == "/v1/stop") {
        m_environment.stop();
        handle->answer(jsonAnswer({ { "stopping", true } }));
    } else {
        handle->answer(adminError(result_code::unknown_name, "no such call: " + request.method + " " + path));
    }
}

void administration::status(const handle_pointer &handle)
{
    m_environment.control->inspect([handle, ready = m_environment.ready()](const controller &controller) {
        json state = json::parse(controller.dump(steadyNow()), nullptr, false);
        json result = { { "ready", ready } };
        for (const char *name : { "instance", "incarnation", "position", "digest", "log", "documents", "instances", "servers", "unserved_slots" }) {
            result[name] = state.is_object() ? state.value(name, json()) : json();
        }
        handle->answer(jsonAnswer(result));
    });
}

void administration::owner(const handle_pointer &handle, const query_fields &query)
{
    const auto serviceName = query.find("service");
    const auto key = query.find("key");
    const auto table = m_environment.routing->get();
    const routed_service *service = serviceName == query.end() ? nullptr : table->findService(service_id(serviceName->second));
    if (service == nullptr || !service->service.dividedByKey || key == query.end()) {
        handle->answer(adminError(result_code::unknown_name, "name a service that is divided by key, and a key: /v1/owner?service=S&key=K"));
        return;
    }
    const server_route *route = routing_table::findOwner(*service, key->second);
    json result = { { "service", serviceName->second }, { "key", key->second }, { "slot", slotOfKey(key->second).value() }, { "server", nullptr } };
    if (route != nullptr) {
        result["server"] = route->endpoint.server.value();
        result["home"] = route->home.value();
        result["term"] = route->term.value();
        result["up"] = route->up;
    }
    handle->answer(jsonAnswer(result));
}

void administration::listDocuments(const handle_pointer &handle)
{
    m_environment.control->inspect([handle](const controller &controller) {
        json list = json::array();
        for (const published_document &document : controller.configuration().documents()) {
            list.push_back({ { "kind", kindName(document.kind) }, { "name", document.name }, { "version", document.version } });
        }
        handle->answer(jsonAnswer({ { "documents", list } }));
    });
}

void administration::document(const http_request &request, const handle_pointer &handle, const std::string &path, const query_fields &query)
{
    const std::string rest = path.substr(documentsPath.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const std::string kindText = rest.substr(0, slash);
    const std::string name = rest.substr(std::min(slash + 1, rest.size()));
    const bool known = kindText == "template" || kindText == "parameters";
    if (!known || name.empty()) {
        handle->answer(adminError(result_code::unknown_name, "write /v1/documents/template/NAME or /v1/documents/parameters/NAME"));
        return;
    }
    const document_kind kind = kindText == "template" ? document_kind::template_document : document_kind::parameter_set;
    if (request.method == "GET") {
        showDocument(handle, kind, name);
    } else if (request.method == "PUT") {
        const auto dryRun = query.find("dry_run");
        publish(request, handle, kind, name, dryRun != query.end() && dryRun->second == "true");
    } else {
        handle->answer(adminError(result_code::unknown_name, "documents are read with GET and published with PUT"));
    }
}

void administration::showDocument(const handle_pointer &handle, document_kind kind, const std::string &name)
{
    m_environment.control->inspect([handle, kind, name](const controller &controller) {
        const published_document *document = controller.configuration().find(kind, name);
        if (document == nullptr) {
            handle->answer(adminError(result_code::unknown_name, std::string("there is no ") + kindName(kind) + " " + name));
            return;
        }
        http_response response = jsonAnswer(
            { { "kind", kindName(kind) }, { "name", name }, { "version", document->version }, { "document", json::parse(document->text, nullptr, false) } });
        response.fields.push_back({ "ETag", "\"" + std::to_string(document->version) + "\"" });
        handle->answer(std::move(response));
    });
}

void administration::publish(const http_request &request, const handle_pointer &handle, document_kind kind, const std::string &name, bool dryRun)
{
    const std::optional<std::uint64_t> base = baseVersion(request);
    if (!base) {
        handle->answer(
            adminError(result_code::malformed_request, "If-Match must be the version that the change is based on, such as \"12\"; \"0\" for a new document"));
        return;
    }
    publish_requested event;
    event.kind = kind;
    event.name = name;
    event.baseVersion = *base;
    event.document = request.body.text();
    event.operatorName = operatorOf(request);
    if (dryRun) {
        answerDryRun(event, handle);
        return;
    }
    event.operation = addPendingOperation(handle);
    m_environment.control->post(std::move(event));
}

void administration::answerDryRun(const publish_requested &request, const handle_pointer &handle)
{
    m_environment.control->inspect([handle, request](const controller &controller) {
        const publish_result result = controller.configuration().check(request.kind, request.name, request.baseVersion, request.document);
        handle->answer(result.error ? adminError(result.error, result.message, result.currentVersion) : jsonAnswer({ { "version", result.currentVersion } }));
    });
}

void administration::drain(const http_request &request, const handle_pointer &handle)
{
    const json body = json::parse(request.body.text(), nullptr, false);
    const bool valid = body.is_object() && body.contains("server") && body["server"].is_string() && body.contains("draining") && body["draining"].is_boolean();
    if (!valid) {
        handle->answer(adminError(result_code::invalid_document, R"(write {"server": "SERVICE/ENDPOINT", "draining": true})"));
        return;
    }
    drain_requested event;
    event.operation = addPendingOperation(handle);
    event.server = server_id(body["server"].get<std::string>());
    event.draining = body["draining"].get<bool>();
    event.operatorName = operatorOf(request);
    m_environment.control->post(std::move(event));
}

void administration::resetConfirmers(const http_request &request, const handle_pointer &handle)
{
    const json body = json::parse(request.body.text(), nullptr, false);
    confirmers_reset_requested event;
    bool valid = body.is_object() && body.contains("incarnations") && body["incarnations"].is_array();
    if (valid) {
        for (const json &item : body["incarnations"]) {
            valid = valid && item.is_string();
            event.incarnations.emplace_back(item.is_string() ? item.get<std::string>() : std::string());
        }
    }
    if (!valid || event.incarnations.empty()) {
        handle->answer(adminError(result_code::invalid_document, R"(write {"incarnations": ["INCARNATION", ...]})"));
        return;
    }
    event.operation = addPendingOperation(handle);
    event.operatorName = operatorOf(request);
    m_environment.control->post(std::move(event));
}

operation_id administration::addPendingOperation(const handle_pointer &handle)
{
    const operation_id operation(m_lastOperation.fetch_add(1) + 1);
    const std::lock_guard lock(m_mutex);
    m_pending.emplace(operation, handle);
    return operation;
}

void administration::operationCompleted(const publish_outcome &outcome)
{
    handle_pointer handle;
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_pending.extract(outcome.operation);
        if (!node) {
            return;
        }
        handle = node.mapped();
    }
    handle->answer(outcome.error ? adminError(outcome.error, outcome.message, outcome.version) : jsonAnswer({ { "version", outcome.version } }));
}

void administration::dump(std::function<void(std::string)> done)
{
    m_environment.control->inspect([homes = m_environment.homes, done = std::move(done)](const controller &controller) {
        auto collector = std::make_shared<dump_collector>();
        collector->result = json::parse(controller.dump(steadyNow()), nullptr, false);
        const auto dispatchers = homes->all();
        // The final add("", ...) counts as one, so that done is also called if there are no dispatchers.
        collector->remaining = dispatchers.size() + 1;
        collector->done = done;
        for (const auto &dispatcher : dispatchers) {
            dispatcher->dump([collector, server = dispatcher->server().value()](const std::string &text) {
                collector->add(server, text);
            });
        }
        collector->add("", "null");
    });
}

} // namespace sycamoretray
