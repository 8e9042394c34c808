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

/** A published template or parameter set. The version is the log offset of its record. */
struct published_document {
    document_kind kind = document_kind::template_document;
    /** Name of the template, or of the team. */
    std::string name;
    std::uint64_t version = 0;
    std::string text;
    friend bool operator==(const published_document &, const published_document &) = default;
};

/** Result of check() or apply(). currentVersion is the version in force afterwards, or 0 if there is none. */
struct publish_result {
    std::error_code error;
    std::string message;
    std::uint64_t currentVersion = 0;
};

/**
 * All published templates and parameter sets, and the services generated from them.
 *
 * The state depends only on the sequence of applied documents, so all readers of the log reach the same state.
 * Thread safety: const access from any thread.
 */
class configuration_set
{
public:
    /** Checks whether the document can be applied now. The error is version_conflict or invalid_document if not. */
    publish_result check(document_kind kind, const std::string &name, std::uint64_t baseVersion, const std::string &text) const;

    /** Like check(), and applies the document as @p version if there is no error. Precondition: @p version is greater than version(). */
    publish_result apply(document_kind kind, const std::string &name, std::uint64_t baseVersion, const std::string &text, std::uint64_t version);

    /** Replaces the whole set, to load a snapshot. Returns invalid_document and keeps the old set if @p documents are not consistent. */
    std::error_code restore(const std::vector<published_document> &documents);

    /** Returns all documents, templates first, each kind sorted by name. */
    std::vector<published_document> documents() const;

    /** Returns the document, or nullptr. Valid until the next apply(). */
    const published_document *find(document_kind kind, const std::string &name) const;

    /** Returns the services of all teams, sorted by name. */
    const std::vector<effective_service> &services() const noexcept;

    /** Returns the largest version of all documents, or 0 if there are none. */
    std::uint64_t version() const noexcept;

private:
    using document_key = std::pair<document_kind, std::string>;

    std::vector<effective_service> evaluate(const std::map<document_key, published_document> &documents) const;

    std::map<document_key, published_document> m_documents;
    std::vector<effective_service> m_services;
};

} // namespace sycamoretray
