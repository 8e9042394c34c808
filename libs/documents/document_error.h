#pragma once

#include <stdexcept>
#include <string>

namespace sycamoretray
{

/** A JSON document that does not pass validation: where, which value, and what to do about it. */
class document_error : public std::runtime_error
{
public:
    /**
     * @param path    JSON pointer of the value, "" for the document itself
     * @param value   the offending value as text
     * @param remedy  what to write instead
     */
    document_error(const std::string &path, const std::string &value, const std::string &remedy);

    /** The same error, with the name of the file that holds the document. */
    document_error(const std::string &file, const document_error &error);

    const std::string &path() const noexcept;

private:
    std::string m_path;
};

} // namespace sycamoretray
