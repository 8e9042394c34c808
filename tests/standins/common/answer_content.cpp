#include "standins/common/answer_content.h"

#include <xxhash.h>

namespace sycamoretray::standins
{

std::string answerContent(std::string_view requestId, std::string_view key, std::string_view target, std::string_view requestBody)
{
    std::string content = "id=";
    content.append(requestId).append("\nkey=").append(key).append("\ntarget=").append(target);
    content.append("\nbody=").append(std::to_string(XXH3_64bits(requestBody.data(), requestBody.size()))).append("\n");
    const XXH64_hash_t hash = XXH3_64bits(content.data(), content.size());
    const std::size_t maxPaddingBytes = (hash % 64 == 0) ? 65536 : ((hash % 4 == 0) ? 8192 : 1024);
    const std::size_t size = content.size() + (hash >> 8) % maxPaddingBytes;
    const std::string pattern = std::to_string(hash);
    while (content.size() < size) {
        content.append(pattern);
    }
    return content;
}

} // namespace sycamoretray::standins
