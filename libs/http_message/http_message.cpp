#include "http_message/http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace sycamoretray
{

namespace
{

constexpr std::string_view sycamoretrayPrefix = "sycamoretray-";

bool isConnectionField(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names{ "connection",     "keep-alive",        "proxy-connection", "te",
                                                             "trailer",        "transfer-encoding", "upgrade",          "expect",
                                                             "content-length", "proxy-authenticate" };
    return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) {
        return equalFieldNames(candidate, name);
    });
}

bool isSycamoretrayField(std::string_view name)
{
    if (name.size() < sycamoretrayPrefix.size()) {
        return false;
    }
    std::string start(name.substr(0, sycamoretrayPrefix.size()));
    std::replace(start.begin(), start.end(), '_', '-');
    return equalFieldNames(start, sycamoretrayPrefix);
}

} // namespace

std::uint64_t memoryOf(const http_fields &fields) noexcept
{
    constexpr std::uint64_t allocationBytes = 16;
    const std::size_t inlineCapacity = std::string().capacity();
    std::uint64_t bytes = fields.capacity() * sizeof(http_field);
    for (const http_field &field : fields) {
        for (const std::string *text : { &field.name, &field.value }) {
            bytes += text->capacity() > inlineCapacity ? text->capacity() + allocationBytes : 0;
        }
    }
    return bytes;
}

bool equalFieldNames(std::string_view left, std::string_view right) noexcept
{
    return boost::beast::iequals({ left.data(), left.size() }, { right.data(), right.size() });
}

const std::string *findField(const http_fields &fields, std::string_view name) noexcept
{
    for (const http_field &field : fields) {
        if (equalFieldNames(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t countFields(const http_fields &fields, std::string_view name) noexcept
{
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [&](const http_field &field) {
        return equalFieldNames(field.name, name);
    }));
}

void removeConnectionFields(http_fields &fields)
{
    std::vector<std::string> nominated;
    for (const http_field &field : fields) {
        if (equalFieldNames(field.name, "connection")) {
            for (const auto token : boost::beast::http::token_list(field.value)) {
                nominated.emplace_back(token);
            }
        }
    }
    std::erase_if(fields, [&](const http_field &field) {
        return isConnectionField(field.name) || std::any_of(nominated.begin(), nominated.end(), [&](const std::string &name) {
                   return equalFieldNames(field.name, name);
               });
    });
}

void removeOwnFields(http_fields &fields)
{
    std::erase_if(fields, [](const http_field &field) {
        return isSycamoretrayField(field.name);
    });
}

} // namespace sycamoretray
