#include "document_file.h"

#include "admin_client.h"
#include "documents/document_reader.h"

#include <fstream>
#include <sstream>

namespace sycamoretray
{

document_file readDocumentFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        throw document_error(path, "unreadable", "name a file that exists and may be read");
    }
    std::stringstream text;
    text << stream.rdbuf();
    document_file file;
    file.path = path;
    file.text = text.str();
    try {
        const nlohmann::json parsed = parseDocument(file.text);
        document_reader reader(parsed, "");
        file.kind = reader.has("team") ? document_kind::parameter_set : document_kind::template_document;
        file.name = reader.nonEmptyText(reader.has("team") ? "team" : "template");
    } catch (const document_error &error) {
        throw document_error(path, error);
    }
    return file;
}

std::string documentTarget(document_kind kind, const std::string &name)
{
    return std::string("/v1/documents/") + (kind == document_kind::template_document ? "template/" : "parameters/") + percentEncode(name);
}

} // namespace sycamoretray
