#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamoretray::standins
{

using header_fields = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of the first field with the case-insensitive @p name; empty if there is none. */
std::string_view findField(const header_fields &fields, std::string_view name);

/** Returns the value of a field as a number; @p fallback if it is missing or not a number. */
long long numberField(const header_fields &fields, std::string_view name, long long fallback);

struct http_request {
    std::string method = "GET";
    std::string target = "/";
    header_fields fields;
    std::string body;

    /** Target without the query. */
    std::string_view path() const;

    /** Returns a query parameter as a number; @p fallback if it is missing or not a number. */
    long long queryNumber(std::string_view name, long long fallback) const;
};

struct http_response {
    unsigned status = 200;
    header_fields fields;
    std::string body;
};

} // namespace sycamoretray::standins
