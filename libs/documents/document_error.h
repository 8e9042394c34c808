#pragma once

#include <stdexcept>
#include <string>

namespace sycamoretray
{

/** Thrown for an invalid JSON document. The message contains the path, the invalid value and a remedy. */
class document_error : public std::runtime_error
{
public:
    /**
     * @param path    JSON pointer to the value, "" for the document itself
     * @param value   the invalid value as text; shortened in the message if it is long
     * @param remedy  what to write instead
     */
    document_error(const std::string &path, const std::string &value, const std::string &remedy);

    /** Constructs a copy of @p error whose message also names the file of the document. */
    document_error(const std::string &file, const document_error &error);

    const std::string &path() const noexcept;

private:
    std::string m_path;
};

} // namespace sycamoretray
