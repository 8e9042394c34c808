#include "documents/document_error.h"

namespace sycamoretray
{

namespace
{

constexpr std::size_t maxShownValueLength = 80;

std::string describe(const std::string &path, const std::string &value, const std::string &remedy)
{
    const std::string shown = value.size() > maxShownValueLength ? value.substr(0, maxShownValueLength) + "..." : value;
    return (path.empty() ? "document" : path) + ": value " + shown + ": " + remedy;
}

} // namespace

document_error::document_error(const std::string &path, const std::string &value, const std::string &remedy)
    : std::runtime_error(describe(path, value, remedy))
    , m_path(path)
{
}

document_error::document_error(const std::string &file, const document_error &error)
    : std::runtime_error(file + ": " + error.what())
    , m_path(error.path())
{
}

const std::string &document_error::path() const noexcept
{
    return m_path;
}

} // namespace sycamoretray
