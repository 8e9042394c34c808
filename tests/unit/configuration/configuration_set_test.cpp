#include "configuration/configuration_set.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <random>
#include <string>

using namespace sycamoretray;
using nlohmann::json;

namespace
{

constexpr auto templateKind = document_kind::template_document;
constexpr auto parametersKind = document_kind::parameter_set;

json drumTemplate()
{
    return json::parse(R"({
        "template": "drums",
        "parameters": {"endpoints": {"type": "array"}, "leave_ms": {"type": "number", "default": 5000, "minimum": 100, "maximum": 60000}},
        "services": [{
            "name": "tracking", "path_prefix": "/drums", "key": {"path_segment": 1},
            "rules": [{"name": "book", "method": "POST", "path_prefix": "/drums", "non_idempotent": true}],
            "endpoints": {"parameter": "endpoints"}, "limits": {"leave_limit_ms": {"parameter": "leave_ms"}}
        }]})");
}

json drumParameters()
{
    return json::parse(R"({"team": "vratnik", "template": "drums", "values": {"endpoints": [
        {"name": "d1", "address": "127.0.0.1:7101", "availability_zone": "ke-1", "worker_slots": 2},
        {"name": "d2", "address": "127.0.0.1:7102", "availability_zone": "ke-2", "checks_tokens": false}]}})");
}

configuration_set publishedDrums()
{
    configuration_set set;
    cr_assert(!set.apply(templateKind, "drums", 0, drumTemplate().dump(), 7).error);
    cr_assert(!set.apply(parametersKind, "vratnik", 0, drumParameters().dump(), 9).error);
    return set;
}

} // namespace

// Guards against parameters that are not substituted, and defaults that are ignored.
Test(configuration_set, parameters_fill_in_the_template)
{
    const configuration_set set = publishedDrums();
    cr_assert(set.services().size() == 1);
    const effective_service &service = set.services().front();
    cr_expect(service.name == service_id("vratnik.tracking"));
    cr_expect(service.limits.leaveLimit == std::chrono::seconds(5));
    cr_assert(service.endpoints.size() == 2);
    cr_expect(service.endpoints[1].server == server_id("vratnik.tracking/d2"));
    cr_expect(!service.endpoints[1].checksTokens);
    cr_expect(service.rules[0].nonIdempotent);
    cr_expect(set.version() == 9);
}

// Guards against a lost update when two operators publish a change of the same base version.
Test(configuration_set, second_of_two_publications_on_one_base_is_refused)
{
    configuration_set set = publishedDrums();
    json changed = drumTemplate();
    changed["services"][0]["path_prefix"] = "/barrels";
    cr_expect(!set.apply(templateKind, "drums", 7, changed.dump(), 11).error);
    const publish_result second = set.apply(templateKind, "drums", 7, drumTemplate().dump(), 12);
    cr_expect(second.error == result_code::version_conflict);
    cr_expect(second.currentVersion == 11);
    cr_expect(set.services().front().pathPrefix == "/barrels");
}

// Guards against an invalid document that replaces a valid one or is partly applied.
Test(configuration_set, refused_document_changes_nothing)
{
    configuration_set set = publishedDrums();
    const auto before = set.services();
    json mistyped = drumParameters();
    mistyped["values"]["leave_ms"] = 1;
    const publish_result result = set.apply(parametersKind, "vratnik", 9, mistyped.dump(), 11);
    cr_expect(result.error == result_code::invalid_document);
    cr_expect(result.message.find("/values/leave_ms") != std::string::npos, "%s", result.message.c_str());
    json noParameter = drumTemplate();
    noParameter["parameters"].erase("leave_ms");
    cr_expect(set.apply(templateKind, "drums", 7, noParameter.dump(), 12).error == result_code::invalid_document);
    cr_expect(set.services() == before);
    cr_expect(set.version() == 9);
}

// Guards against an instance that starts from a snapshot and differs in configuration from the instance that wrote it.
Test(configuration_set, restored_set_equals_the_original)
{
    const configuration_set set = publishedDrums();
    configuration_set restored;
    cr_expect(!restored.restore(set.documents()));
    cr_expect(restored.documents() == set.documents());
    cr_expect(restored.services() == set.services());
    cr_expect(restored.restore({ { parametersKind, "x", 1, "{}" } }) == result_code::invalid_document);
    cr_expect(restored.services() == set.services());
}

// Guards against crashes on malformed documents. Each must be applied, or rejected with a message.
Test(configuration_set, mutated_documents_are_applied_or_refused)
{
    constexpr unsigned seed = 4711;
    constexpr int runs = 3000;
    std::mt19937 random(seed);
    const std::string valid = drumTemplate().dump();
    for (int run = 0; run < runs; ++run) {
        std::string text = valid;
        for (unsigned change = random() % 3 + 1; change > 0; --change) {
            text[random() % text.size()] = static_cast<char>(random() % 128);
        }
        configuration_set set = publishedDrums();
        const publish_result result = set.apply(templateKind, "drums", 7, text, 11);
        cr_assert(!result.error || !result.message.empty(), "seed %u run %d", seed, run);
    }
    const std::string deep(100000, '[');
    configuration_set set;
    cr_expect(set.apply(templateKind, "drums", 0, deep, 1).error == result_code::invalid_document);
}
