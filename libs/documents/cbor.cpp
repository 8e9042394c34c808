#include "documents/cbor.h"

#include <vector>

namespace sycamoretray
{

namespace
{

/** Ends the parsing at a nesting depth that no document of this project has. The library parses nested values recursively, and would overflow the stack. */
class depth_checker : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return ++m_depth <= maxDepth;
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return ++m_depth <= maxDepth;
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::json::exception & /*error*/) override
    {
        return false;
    }

private:
    static constexpr int maxDepth = 64;
    int m_depth = 0;
};

} // namespace

std::string encodeCbor(const nlohmann::json &value)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(value);
    return { bytes.begin(), bytes.end() };
}

nlohmann::json decodeCbor(std::string_view data)
{
    constexpr bool strict = true;
    constexpr bool allowExceptions = false;
    depth_checker checker;
    if (!nlohmann::json::sax_parse(data, &checker, nlohmann::json::input_format_t::cbor, strict)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(data, strict, allowExceptions);
}

} // namespace sycamoretray
