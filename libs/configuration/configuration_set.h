#pragma once

#include "base/ids.h"
#include "base/result_code.h"
#include "configuration/document_kind.h"
#include "configuration/effective_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace sycamoretray
{

/** A published template or parameter set. version is the offset of its record. */
struct published_document {
    document_kind kind = document_kind::template_document;
    /** Name of the template, or of the team. */
    std::string name;
    std::uint64_t version = 0;
    std::string text;
    friend bool operator==(const published_document &, const published_document &) = default;
};

/** Result of a check or an application. currentVersion is the version in force afterwards; 0 if there is none. */
struct publish_result {
    std::error_code error;
    std::string message;
    std::uint64_t currentVersion = 0;
};

/**
 * All published templates and parameter sets, and the services that follow from them.
 *
 * The result depends only on the sequence of applied documents, so every reader of the log reaches the same one.
 * Thread safety: const access from any thread.
 */
class configuration_set
{
public:
    /** Tells whether the document could be applied now: version_conflict, invalid_document or unknown_name otherwise. */
    publish_result check(document_kind kind, const std::string &name, std::uint64_t baseVersion, const std::string &text) const;

    /** As check(), and applies the document as @p version if there is no error. Precondition: @p version is greater than all applied ones. */
    publish_result apply(document_kind kind, const std::string &name, std::uint64_t baseVersion, const std::string &text, std::uint64_t version);

    /** Replaces the whole set, for a snapshot. Returns invalid_document and keeps the old set if it is not consistent. */
    std::error_code restore(const std::vector<published_document> &documents);

    /** All documents, templates first, sorted by name. */
    std::vector<published_document> documents() const;

    /** Returns the document, or nullptr. Valid until the next apply(). */
    const published_document *find(document_kind kind, const std::string &name) const;

    /** The services of all teams, sorted by name. */
    const std::vector<effective_service> &services() const noexcept;

    /** Largest version of all documents. */
    std::uint64_t version() const noexcept;

private:
    using document_key = std::pair<document_kind, std::string>;

    std::vector<effective_service> evaluate(const std::map<document_key, published_document> &documents) const;

    std::map<document_key, published_document> m_documents;
    std::vector<effective_service> m_services;
};

} // namespace sycamoretray
