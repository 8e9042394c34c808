#include "configuration/team_template.h"

#include "documents/document_reader.h"
#include "documents/network_address_text.h"

#include <algorithm>
#include <map>
#include <set>

namespace sycamoretray
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxNameLength = 64;
constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t maxWorkerSlots = 1024;

enum class parameter_type {
    string,
    number,
    boolean,
    array,
    object,
};

const std::map<std::string, parameter_type> parameterTypes{
    { "string", parameter_type::string }, { "number", parameter_type::number }, { "boolean", parameter_type::boolean },
    { "array", parameter_type::array },   { "object", parameter_type::object },
};

struct parameter_definition {
    parameter_type type = parameter_type::string;
    std::string typeName;
    json fallback;
    bool required = true;
    std::optional<double> minimum;
    std::optional<double> maximum;
};

bool isName(const std::string &text)
{
    const bool validCharacters = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_';
    });
    return !text.empty() && text.size() <= maxNameLength && validCharacters;
}

void requireName(const std::string &path, const std::string &text)
{
    if (!isName(text)) {
        throw document_error(path, "\"" + text + "\"", "write 1 to 64 letters, digits, '-' or '_'");
    }
}

bool hasType(const json &value, parameter_type type)
{
    switch (type) {
    case parameter_type::string:
        return value.is_string();
    case parameter_type::number:
        return value.is_number();
    case parameter_type::boolean:
        return value.is_boolean();
    case parameter_type::array:
        return value.is_array();
    case parameter_type::object:
        return value.is_object();
    }
    return false;
}

void checkValue(const json &value, const parameter_definition &definition, const std::string &path)
{
    if (!hasType(value, definition.type)) {
        throw document_error(path, value.dump(), "write a value of type " + definition.typeName);
    }
    if (!value.is_number()) {
        return;
    }
    const double number = value.get<double>();
    if ((definition.minimum && number < *definition.minimum) || (definition.maximum && number > *definition.maximum)) {
        throw document_error(path, value.dump(), "write a number within the minimum and maximum of the template");
    }
}

std::optional<double> optionalNumber(document_reader &reader, const std::string &name)
{
    const json *value = reader.any(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_number()) {
        throw document_error(reader.pathOf(name), value->dump(), "write a number");
    }
    return value->get<double>();
}

parameter_definition readParameter(const json &value, const std::string &path)
{
    document_reader reader(value, path);
    parameter_definition result;
    result.typeName = reader.text("type");
    const auto type = parameterTypes.find(result.typeName);
    if (type == parameterTypes.end()) {
        throw document_error(reader.pathOf("type"), result.typeName, "write string, number, boolean, array or object");
    }
    result.type = type->second;
    result.minimum = optionalNumber(reader, "minimum");
    result.maximum = optionalNumber(reader, "maximum");
    if (const json *fallback = reader.any("default")) {
        result.required = false;
        result.fallback = *fallback;
        checkValue(*fallback, result, reader.pathOf("default"));
    }
    reader.finish();
    return result;
}

bool isParameterReference(const json &value)
{
    return value.is_object() && value.size() == 1 && value.contains("parameter");
}

/** Returns @p value with each reference {"parameter": NAME} in it replaced by the parameter's value. */
json substitute(const json &value, const std::map<std::string, json> &values, const std::string &path)
{
    if (isParameterReference(value)) {
        const json &name = value["parameter"];
        const auto found = name.is_string() ? values.find(name.get<std::string>()) : values.end();
        if (found == values.end()) {
            throw document_error(path, name.dump(), "name a parameter that the template defines");
        }
        return found->second;
    }
    if (!value.is_structured()) {
        return value;
    }
    json result = value;
    for (const auto &[key, member] : value.items()) {
        json replaced = substitute(member, values, path + "/" + key);
        if (value.is_array()) {
            result[std::stoul(key)] = std::move(replaced);
        } else {
            result[key] = std::move(replaced);
        }
    }
    return result;
}

/** Throws document_error if a reference in @p value names an undefined parameter. */
void checkReferences(const json &value, const std::map<std::string, parameter_definition> &parameters, const std::string &path)
{
    if (isParameterReference(value)) {
        const json &name = value["parameter"];
        if (!name.is_string() || !parameters.contains(name.get<std::string>())) {
            throw document_error(path, name.dump(), "name a parameter that the template defines");
        }
        return;
    }
    if (value.is_structured()) {
        for (const auto &[key, member] : value.items()) {
            checkReferences(member, parameters, path + "/" + key);
        }
    }
}

key_location readKeyLocation(const json &value, const std::string &path)
{
    document_reader reader(value, path);
    key_location result;
    if (reader.has("header")) {
        result = header_key{ reader.nonEmptyText("header") };
    } else {
        result = path_segment_key{ static_cast<std::uint32_t>(reader.unsignedNumber("path_segment", std::nullopt, 0, 63)) };
    }
    reader.finish();
    return result;
}

std::string readPathPrefix(document_reader &reader)
{
    const std::string prefix = reader.nonEmptyText("path_prefix");
    if (!prefix.starts_with('/')) {
        throw document_error(reader.pathOf("path_prefix"), prefix, "write a path that starts with /");
    }
    return prefix;
}

request_rule readRule(const json &value, const std::string &path)
{
    document_reader reader(value, path);
    request_rule rule;
    rule.name = reader.nonEmptyText("name");
    rule.method = reader.nonEmptyText("method");
    rule.pathPrefix = readPathPrefix(reader);
    rule.nonIdempotent = reader.boolean("non_idempotent", false);
    reader.finish();
    return rule;
}

endpoint_definition readEndpoint(const json &value, const std::string &path, const service_id &service)
{
    document_reader reader(value, path);
    endpoint_definition endpoint;
    const std::string name = reader.text("name");
    requireName(reader.pathOf("name"), name);
    endpoint.server = server_id(service.value() + "/" + name);
    const std::string address = reader.text("address");
    if (!isNetworkAddress(address)) {
        throw document_error(reader.pathOf("address"), address, networkAddressRemedy);
    }
    endpoint.address = network_address(address);
    endpoint.zone = availability_zone(reader.nonEmptyText("availability_zone"));
    endpoint.workerSlots = static_cast<std::uint32_t>(reader.unsignedNumber("worker_slots", 2, 1, maxWorkerSlots));
    endpoint.checksTokens = reader.boolean("checks_tokens", true);
    reader.finish();
    return endpoint;
}

std::vector<endpoint_definition> readEndpoints(const json &values, const std::string &path, const service_id &service)
{
    std::vector<endpoint_definition> result;
    std::set<server_id> names;
    std::set<network_address> addresses;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string itemPath = path + "/" + std::to_string(i);
        endpoint_definition endpoint = readEndpoint(values[i], itemPath, service);
        if (!names.insert(endpoint.server).second) {
            throw document_error(itemPath + "/name", endpoint.server.value(), "give each endpoint its own name");
        }
        if (!addresses.insert(endpoint.address).second) {
            throw document_error(itemPath + "/address", endpoint.address.value(), "give each endpoint its own address");
        }
        result.push_back(std::move(endpoint));
    }
    return result;
}

service_limits readLimits(const json &value, const std::string &path)
{
    document_reader reader(value, path);
    service_limits limits;
    limits.bodyBytes = reader.unsignedNumber("body_bytes", limits.bodyBytes, 0, maxBodyBytes);
    limits.defaultDeadline = reader.milliseconds("deadline_ms", limits.defaultDeadline);
    limits.leaveLimit = reader.milliseconds("leave_limit_ms", limits.leaveLimit);
    limits.connectionsPerEndpoint = static_cast<std::uint32_t>(reader.unsignedNumber("connections_per_endpoint", limits.connectionsPerEndpoint, 1, 10000));
    limits.queuedRequests = static_cast<std::uint32_t>(reader.unsignedNumber("queued_requests", limits.queuedRequests, 1, 1000000));
    limits.queuedBytes = reader.unsignedNumber("queued_bytes", limits.queuedBytes, 1, std::numeric_limits<std::uint32_t>::max());
    reader.finish();
    return limits;
}

effective_service readService(const json &value, const std::string &path, const team_id &team)
{
    document_reader reader(value, path);
    effective_service service;
    service.team = team;
    const std::string name = reader.text("name");
    requireName(reader.pathOf("name"), name);
    service.name = service_id(team.value() + "." + name);
    service.pathPrefix = readPathPrefix(reader);
    service.dividedByKey = reader.boolean("divided_by_key", true);
    if (const json *key = reader.object("key", service.dividedByKey)) {
        service.keyLocation = readKeyLocation(*key, reader.pathOf("key"));
    }
    service.customerHeader = reader.text("customer_header", "");
    if (const json *rules = reader.array("rules", false)) {
        for (std::size_t i = 0; i < rules->size(); ++i) {
            service.rules.push_back(readRule((*rules)[i], reader.pathOf("rules") + "/" + std::to_string(i)));
        }
    }
    service.endpoints = readEndpoints(*reader.array("endpoints", true), reader.pathOf("endpoints"), service.name);
    if (const json *limits = reader.object("limits", false)) {
        service.limits = readLimits(*limits, reader.pathOf("limits"));
    }
    reader.finish();
    return service;
}

} // namespace

struct team_template::impl {
    std::map<std::string, parameter_definition> parameters;
    json services;
};

team_template::team_template(const std::string &name, const std::string &document)
    : d(std::make_unique<impl>())
{
    const json parsed = parseDocument(document);
    document_reader reader(parsed, "");
    const std::string declaredName = reader.text("template");
    requireName(reader.pathOf("template"), declaredName);
    if (declaredName != name) {
        throw document_error(reader.pathOf("template"), declaredName, "publish it under its own name, not as " + name);
    }
    if (const json *parameters = reader.object("parameters", false)) {
        for (const auto &[parameter, definition] : parameters->items()) {
            requireName(reader.pathOf("parameters"), parameter);
            d->parameters.emplace(parameter, readParameter(definition, reader.pathOf("parameters") + "/" + parameter));
        }
    }
    d->services = *reader.array("services", true);
    checkReferences(d->services, d->parameters, reader.pathOf("services"));
    reader.finish();
}

team_template::~team_template() = default;
team_template::team_template(team_template &&) noexcept = default;
team_template &team_template::operator=(team_template &&) noexcept = default;

std::vector<effective_service> team_template::instantiate(const team_id &team, const std::string &parameterSet) const
{
    const json parsed = parseDocument(parameterSet);
    document_reader reader(parsed, "");
    reader.text("team");
    reader.text("template");
    std::map<std::string, json> values;
    const json empty = json::object();
    const json *givenValues = reader.object("values", false);
    document_reader valueReader(givenValues == nullptr ? empty : *givenValues, "/values");
    for (const auto &[name, definition] : d->parameters) {
        const json *value = valueReader.any(name);
        if (value == nullptr && definition.required) {
            throw document_error(valueReader.pathOf(name), "missing", "add this parameter; the template has no default for it");
        }
        if (value != nullptr) {
            checkValue(*value, definition, valueReader.pathOf(name));
        }
        values.emplace(name, value == nullptr ? definition.fallback : *value);
    }
    valueReader.finish();
    reader.finish();

    const json services = substitute(d->services, values, "/services");
    std::vector<effective_service> result;
    std::set<service_id> names;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const std::string path = "/services/" + std::to_string(i);
        result.push_back(readService(services[i], path, team));
        if (!names.insert(result.back().name).second) {
            throw document_error(path + "/name", result.back().name.value(), "give each service its own name");
        }
    }
    return result;
}

std::string templateOfParameterSet(const team_id &team, const std::string &parameterSet)
{
    const json parsed = parseDocument(parameterSet);
    document_reader reader(parsed, "");
    const std::string declaredName = reader.text("team");
    requireName(reader.pathOf("team"), declaredName);
    if (declaredName != team.value()) {
        throw document_error(reader.pathOf("team"), declaredName, "publish it under its own name, not as " + team.value());
    }
    return reader.nonEmptyText("template");
}

} // namespace sycamoretray
