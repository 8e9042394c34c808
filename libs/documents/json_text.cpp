#include "documents/json_text.h"

#include <boost/locale/encoding_utf.hpp>
#include <boost/locale/utf.hpp>
#include <nlohmann/json.hpp>

namespace sycamoretray
{

namespace
{

constexpr bool isControlCharacter(boost::locale::utf::code_point character)
{
    return character < 0x20 || (character >= 0x7f && character < 0xa0);
}

} // namespace

std::string toJsonText(const nlohmann::json &value, int indent)
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string withoutInvalidUtf8(std::string_view text)
{
    return boost::locale::conv::utf_to_utf<char>(text.data(), text.data() + text.size());
}

bool isPrintableText(std::string_view text)
{
    for (auto next = text.begin(); next != text.end();) {
        const auto character = boost::locale::utf::utf_traits<char>::decode(next, text.end());
        if (!boost::locale::utf::is_valid_codepoint(character) || isControlCharacter(character)) {
            return false;
        }
    }
    return true;
}

} // namespace sycamoretray
