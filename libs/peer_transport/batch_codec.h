#pragma once

#include "base/ids.h"
#include "base/result_code.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamoretray
{

namespace pb
{
class PeerBatch;
}

/** Size of HMAC-SHA256. */
inline constexpr std::size_t authenticationCodeBytes = 32;

/**
 * Computes HMAC-SHA256 with the secret that all instances share.
 *
 * Thread safety: none; one object per thread or strand.
 */
class batch_authenticator
{
public:
    explicit batch_authenticator(std::string_view secret);
    ~batch_authenticator();
    batch_authenticator(const batch_authenticator &) = delete;
    batch_authenticator &operator=(const batch_authenticator &) = delete;

    /** Appends the code of @p data to @p out. */
    void appendCode(std::string_view data, std::string &out);

    /** Compares in constant time. */
    bool verify(std::string_view data, std::string_view code);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Returns a serialized pb::SealedBatch with @p messages, which are serialized pb::PeerMessages. It is written in one pass,
 * without building the protobuf objects.
 */
std::string sealBatch(batch_authenticator &authenticator,
                      const incarnation_id &from,
                      const incarnation_id &to,
                      std::uint64_t sequence,
                      std::span<const std::string> messages);

/**
 * Checks the batches that one incarnation receives: authentication code, receiver, and sequence against replay.
 *
 * Thread safety: none.
 */
class batch_opener
{
public:
    batch_opener(std::string_view secret, incarnation_id self);
    ~batch_opener();
    batch_opener(const batch_opener &) = delete;
    batch_opener &operator=(const batch_opener &) = delete;

    /**
     * Decodes a sealed batch into @p batch.
     *
     * @return ok; malformed_message; authentication_failed; or stale_term for a batch that was seen before or is meant for
     *         another incarnation. @p batch is valid only if ok.
     */
    result_code open(std::string_view sealed, pb::PeerBatch &batch);

private:
    batch_authenticator m_authenticator;
    incarnation_id m_self;
    /** Highest sequence seen of each sender. */
    std::unordered_map<std::string, std::uint64_t> m_sequences;
};

} // namespace sycamoretray
