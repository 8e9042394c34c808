#pragma once

#include "configuration/document_kind.h"

#include <string>

namespace sycamoretray
{

/** A template or parameter set read from a file. */
struct document_file {
    std::string path;
    document_kind kind = document_kind::template_document;
    /** Name of the template, or of the team. */
    std::string name;
    std::string text;
};

/** Reads a document and determines its kind. Throws document_error, whose message names the file. */
document_file readDocumentFile(const std::string &path);

/** Returns the path of the document in the administration API. Thread-safe. */
std::string documentTarget(document_kind kind, const std::string &name);

} // namespace sycamoretray
