#include "log_client/log_codec.h"

#include "documents/json_text.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace sycamoretray
{

using json = nlohmann::json;

std::string encodeBase64(std::string_view data)
{
    // EVP_EncodeBlock also writes a terminating zero.
    std::string out(4 * ((data.size() + 2) / 3) + 1, '\0');
    const int size
        = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(data.data()), static_cast<int>(data.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

bool decodeBase64(std::string_view text, std::string &data)
{
    if (text.size() % 4 != 0) {
        return false;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    data.resize(text.size() / 4 * 3);
    const int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0 || static_cast<std::size_t>(size) != data.size()) {
        return false;
    }
    data.resize(data.size() - padding);
    // EVP_DecodeBlock accepts surrounding spaces and misplaced padding, but only the canonical form is valid here.
    return encodeBase64(data) == text;
}

std::string encodeAppend(const std::vector<std::string> &records)
{
    json list = json::array();
    for (const std::string &record : records) {
        list.push_back(encodeBase64(record));
    }
    return toJsonText({ { "records", std::move(list) } });
}

log_read_reply decodeRead(const http_response &response, log_offset from)
{
    log_read_reply reply;
    if (response.status != 200 && response.status != 410) {
        return reply;
    }
    try {
        const json body = json::parse(response.body.text());
        reply.earliest = log_offset(body.at("earliest_offset").get<std::uint64_t>());
        reply.next = log_offset(body.at("next_offset").get<std::uint64_t>());
        if (response.status == 410) {
            reply.code = result_code::offset_expired;
            return reply;
        }
        std::uint64_t expected = from.value();
        for (const json &item : body.at("records")) {
            stored_record record;
            record.offset = log_offset(item.at("offset").get<std::uint64_t>());
            const bool consecutive = record.offset.value() == expected && record.offset < reply.next;
            if (!consecutive || !decodeBase64(item.at("data").get_ref<const std::string &>(), record.data)) {
                return log_read_reply{};
            }
            ++expected;
            reply.records.push_back(std::move(record));
        }
        reply.code = result_code::ok;
        return reply;
    } catch (const json::exception &) {
        return log_read_reply{};
    }
}

log_append_reply decodeAppend(const http_response &response)
{
    log_append_reply reply;
    if (response.status == 429 || response.status == 503) {
        reply.code = result_code::append_failed;
        return reply;
    }
    if (response.status != 200) {
        return reply;
    }
    try {
        const json body = json::parse(response.body.text());
        reply.first = log_offset(body.at("first_offset").get<std::uint64_t>());
        reply.code = reply.first.value() > 0 ? result_code::ok : result_code::append_unknown;
    } catch (const json::exception &) {
        reply = log_append_reply{};
    }
    return reply;
}

} // namespace sycamoretray
