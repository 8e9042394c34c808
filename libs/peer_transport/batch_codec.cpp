#include "peer_transport/batch_codec.h"

#include "records.pb.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>
#include <stdexcept>

namespace sycamoretray
{

namespace
{

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedOutputStream;

constexpr std::size_t maxVarintBytes = 10;

void appendVarint(std::string &out, std::uint64_t value)
{
    std::array<std::uint8_t, maxVarintBytes> buffer{};
    const std::uint8_t *end = CodedOutputStream::WriteVarint64ToArray(value, buffer.data());
    out.append(reinterpret_cast<const char *>(buffer.data()), static_cast<std::size_t>(end - buffer.data()));
}

void appendTag(std::string &out, int field, WireFormatLite::WireType type)
{
    appendVarint(out, WireFormatLite::MakeTag(field, type));
}

void appendBytes(std::string &out, int field, std::string_view bytes)
{
    appendTag(out, field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    appendVarint(out, bytes.size());
    out.append(bytes);
}

std::size_t bytesFieldSize(std::size_t size)
{
    // All field numbers used here are below 16, so their tags take one byte.
    return 1 + CodedOutputStream::VarintSize64(size) + size;
}

} // namespace

struct batch_authenticator::impl {
    EVP_MAC *mac = nullptr;
    EVP_MAC_CTX *context = nullptr;
};

batch_authenticator::batch_authenticator(std::string_view secret)
    : d(std::make_unique<impl>())
{
    d->mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    d->context = EVP_MAC_CTX_new(d->mac);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters{ OSSL_PARAM_construct_utf8_string("digest", digest.data(), digest.size()), OSSL_PARAM_construct_end() };
    if (EVP_MAC_init(d->context, reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), parameters.data()) != 1) {
        throw std::runtime_error("HMAC-SHA256 is not available in this OpenSSL");
    }
}

batch_authenticator::~batch_authenticator()
{
    EVP_MAC_CTX_free(d->context);
    EVP_MAC_free(d->mac);
}

void batch_authenticator::appendCode(std::string_view data, std::string &out)
{
    std::array<unsigned char, authenticationCodeBytes> code{};
    std::size_t size = 0;
    // Without a key argument the context is reset and keeps its key.
    const bool done = EVP_MAC_init(d->context, nullptr, 0, nullptr) == 1
        && EVP_MAC_update(d->context, reinterpret_cast<const unsigned char *>(data.data()), data.size()) == 1
        && EVP_MAC_final(d->context, code.data(), &size, code.size()) == 1;
    if (!done || size != code.size()) {
        throw std::runtime_error("HMAC-SHA256 failed");
    }
    out.append(reinterpret_cast<const char *>(code.data()), code.size());
}

bool batch_authenticator::verify(std::string_view data, std::string_view code)
{
    std::string expected;
    appendCode(data, expected);
    return code.size() == expected.size() && CRYPTO_memcmp(code.data(), expected.data(), expected.size()) == 0;
}

std::string sealBatch(batch_authenticator &authenticator,
                      const incarnation_id &from,
                      const incarnation_id &to,
                      std::uint64_t sequence,
                      std::span<const std::string> messages)
{
    std::size_t batchSize = bytesFieldSize(from.value().size()) + bytesFieldSize(to.value().size()) + 1 + CodedOutputStream::VarintSize64(sequence);
    for (const std::string &message : messages) {
        batchSize += bytesFieldSize(message.size());
    }
    std::string sealed;
    sealed.reserve(bytesFieldSize(batchSize) + bytesFieldSize(authenticationCodeBytes));
    appendTag(sealed, pb::SealedBatch::kBatchFieldNumber, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    appendVarint(sealed, batchSize);
    const std::size_t batchStart = sealed.size();
    appendBytes(sealed, pb::PeerBatch::kFromFieldNumber, from.value());
    appendBytes(sealed, pb::PeerBatch::kToFieldNumber, to.value());
    appendTag(sealed, pb::PeerBatch::kSequenceFieldNumber, WireFormatLite::WIRETYPE_VARINT);
    appendVarint(sealed, sequence);
    for (const std::string &message : messages) {
        appendBytes(sealed, pb::PeerBatch::kMessagesFieldNumber, message);
    }
    std::string code;
    authenticator.appendCode(std::string_view(sealed).substr(batchStart), code);
    appendBytes(sealed, pb::SealedBatch::kAuthenticationCodeFieldNumber, code);
    return sealed;
}

batch_verifier::batch_verifier(std::string_view secret, incarnation_id self)
    : m_authenticator(secret)
    , m_self(std::move(self))
{
}

batch_verifier::~batch_verifier() = default;

result_code batch_verifier::decode(std::string_view sealed, pb::PeerBatch &batch)
{
    pb::SealedBatch outer;
    if (!outer.ParseFromArray(sealed.data(), static_cast<int>(sealed.size()))) {
        return result_code::malformed_message;
    }
    if (!m_authenticator.verify(outer.batch(), outer.authentication_code())) {
        return result_code::authentication_failed;
    }
    if (!batch.ParseFromString(outer.batch())) {
        return result_code::malformed_message;
    }
    if (batch.to() != m_self.value()) {
        return result_code::stale_term;
    }
    std::uint64_t &highest = m_sequences[batch.from()];
    if (batch.sequence() <= highest) {
        return result_code::stale_term;
    }
    highest = batch.sequence();
    return result_code::ok;
}

} // namespace sycamoretray
