#include "standins/common/http_message.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>

namespace sycamoretray::standins
{

namespace
{

long long toNumber(std::string_view text, long long fallback)
{
    long long value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() ? value : fallback;
}

} // namespace

std::string_view findField(const header_fields &fields, std::string_view name)
{
    for (const auto &[fieldName, value] : fields) {
        if (boost::algorithm::iequals(fieldName, name)) {
            return value;
        }
    }
    return {};
}

long long numberField(const header_fields &fields, std::string_view name, long long fallback)
{
    return toNumber(findField(fields, name), fallback);
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

long long http_request::queryNumber(std::string_view name, long long fallback) const
{
    std::string_view rest = target;
    const auto question = rest.find('?');
    rest = question == std::string_view::npos ? std::string_view() : rest.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return toNumber(pair.substr(equals + 1), fallback);
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return fallback;
}

} // namespace sycamoretray::standins
