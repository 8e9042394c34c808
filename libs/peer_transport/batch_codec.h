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

/** Size of an HMAC-SHA256 code. */
inline constexpr std::size_t authenticationCodeBytes = 32;

/**
 * Computes HMAC-SHA256 codes with the secret shared by all instances.
 *
 * Thread safety: none; one object per thread or strand.
 */
class batch_authenticator
{
public:
    /** Throws std::runtime_error if OpenSSL does not provide HMAC-SHA256. */
    explicit batch_authenticator(std::string_view secret);
    ~batch_authenticator();
    batch_authenticator(const batch_authenticator &) = delete;
    batch_authenticator &operator=(const batch_authenticator &) = delete;

    /** Appends the code of @p data to @p out. */
    void appendCode(std::string_view data, std::string &out);

    /** Returns true if @p code is the code of @p data. Compares in constant time. */
    bool verify(std::string_view data, std::string_view code);

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/**
 * Returns a serialized pb::SealedBatch of @p messages, which are serialized pb::PeerMessages. It is encoded in one pass,
 * without constructing protobuf objects.
 */
std::string sealBatch(batch_authenticator &authenticator,
                      const incarnation_id &from,
                      const incarnation_id &to,
                      std::uint64_t sequence,
                      std::span<const std::string> messages);

/**
 * Verifies the batches that one incarnation receives: the authentication code, the receiver, and the sequence number, which
 * prevents replay.
 *
 * Thread safety: none.
 */
class batch_verifier
{
public:
    batch_verifier(std::string_view secret, incarnation_id self);
    ~batch_verifier();
    batch_verifier(const batch_verifier &) = delete;
    batch_verifier &operator=(const batch_verifier &) = delete;

    /**
     * Verifies a sealed batch and decodes it into @p batch.
     *
     * @return ok; malformed_message; authentication_failed; or stale_term for a batch whose sequence number is not higher
     *         than all before or that is addressed to another incarnation. @p batch is valid only if ok.
     */
    result_code decode(std::string_view sealed, pb::PeerBatch &batch);

private:
    batch_authenticator m_authenticator;
    incarnation_id m_self;
    /** Highest sequence number received from each sender. */
    std::unordered_map<std::string, std::uint64_t> m_sequences;
};

} // namespace sycamoretray
