#include "configuration/configuration_set.h"

#include "configuration/team_template.h"
#include "documents/document_error.h"

#include <algorithm>
#include <set>

namespace sycamoretray
{

namespace
{

void rejectDuplicatePrefixes(const std::vector<effective_service> &services)
{
    std::map<std::string, service_id> servicesByPrefix;
    for (const effective_service &service : services) {
        const auto [other, inserted] = servicesByPrefix.emplace(service.pathPrefix, service.name);
        if (!inserted) {
            throw document_error("/services",
                                 service.pathPrefix,
                                 "services " + other->second.value() + " and " + service.name.value() + " have the same path_prefix; give each its own");
        }
    }
}

} // namespace

publish_result configuration_set::check(document_kind kind, const std::string &name, std::uint64_t baseVersion, const std::string &text) const
{
    configuration_set copy = *this;
    publish_result result = copy.apply(kind, name, baseVersion, text, version() + 1);
    if (!result.error) {
        const published_document *current = find(kind, name);
        result.currentVersion = current == nullptr ? 0 : current->version;
    }
    return result;
}

publish_result configuration_set::apply(document_kind kind, const std::string &name, std::uint64_t baseVersion, const std::string &text, std::uint64_t version)
{
    const published_document *current = find(kind, name);
    const std::uint64_t currentVersion = current == nullptr ? 0 : current->version;
    if (baseVersion != currentVersion) {
        return { result_code::version_conflict,
                 name + ": base version " + std::to_string(baseVersion) + " is not the current version " + std::to_string(currentVersion)
                     + "; fetch the current document, repeat the change and publish again",
                 currentVersion };
    }
    auto documents = m_documents;
    documents[{ kind, name }] = published_document{ kind, name, version, text };
    try {
        m_services = evaluate(documents);
    } catch (const document_error &error) {
        return { result_code::invalid_document, name + ": " + error.what(), currentVersion };
    }
    m_documents = std::move(documents);
    return { {}, {}, version };
}

std::error_code configuration_set::restore(const std::vector<published_document> &documents)
{
    std::map<document_key, published_document> restored;
    for (const published_document &document : documents) {
        restored[{ document.kind, document.name }] = document;
    }
    try {
        m_services = evaluate(restored);
    } catch (const document_error &) {
        return result_code::invalid_document;
    }
    m_documents = std::move(restored);
    return {};
}

std::vector<published_document> configuration_set::documents() const
{
    std::vector<published_document> result;
    result.reserve(m_documents.size());
    for (const auto &[key, document] : m_documents) {
        result.push_back(document);
    }
    return result;
}

const published_document *configuration_set::find(document_kind kind, const std::string &name) const
{
    const auto found = m_documents.find({ kind, name });
    return found == m_documents.end() ? nullptr : &found->second;
}

const std::vector<effective_service> &configuration_set::services() const noexcept
{
    return m_services;
}

std::uint64_t configuration_set::version() const noexcept
{
    std::uint64_t result = 0;
    for (const auto &[key, document] : m_documents) {
        result = std::max(result, document.version);
    }
    return result;
}

std::vector<effective_service> configuration_set::evaluate(const std::map<document_key, published_document> &documents) const
{
    std::map<std::string, team_template> templates;
    for (const auto &[key, document] : documents) {
        if (key.first == document_kind::template_document) {
            templates.emplace(key.second, team_template(key.second, document.text));
        }
    }
    std::vector<effective_service> services;
    for (const auto &[key, document] : documents) {
        if (key.first != document_kind::parameter_set) {
            continue;
        }
        const team_id team(key.second);
        const std::string templateName = templateOfParameterSet(team, document.text);
        const auto found = templates.find(templateName);
        if (found == templates.end()) {
            throw document_error("/template", templateName, "no template of this name is published; publish it first");
        }
        for (effective_service &service : found->second.instantiate(team, document.text)) {
            services.push_back(std::move(service));
        }
    }
    std::sort(services.begin(), services.end(), [](const effective_service &a, const effective_service &b) {
        return a.name < b.name;
    });
    rejectDuplicatePrefixes(services);
    return services;
}

} // namespace sycamoretray
