#include "peer_transport/batch_codec.h"
#include "records.pb.h"

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

using namespace sycamoretray;

namespace
{

constexpr std::uint64_t fuzzSeed = 20261204;
const std::string secret(32, 's');
const incarnation_id sender("i1#aa");
const incarnation_id receiver("i2#bb");

std::vector<std::string> someMessages()
{
    pb::PeerMessage message;
    message.mutable_forward_cancel()->set_forward_id(7);
    return { message.SerializeAsString(), message.SerializeAsString() };
}

std::string sealed(std::uint64_t sequence, const std::string &key = secret, const incarnation_id &to = receiver)
{
    batch_authenticator authenticator(key);
    return sealBatch(authenticator, sender, to, sequence, someMessages());
}

} // namespace

// Guards against a difference between the handwritten encoding and the protobuf definition.
Test(batch_codec, round_trip)
{
    batch_verifier verifier(secret, receiver);
    pb::PeerBatch batch;
    cr_assert_eq(verifier.decode(sealed(1), batch), result_code::ok);
    cr_expect(batch.from() == sender.value());
    cr_expect_eq(batch.sequence(), 1U);
    cr_assert_eq(batch.messages_size(), 2);
    cr_expect_eq(batch.messages(1).forward_cancel().forward_id(), 7U);
}

// Guards against replayed batches and batches addressed to another incarnation of the receiver.
Test(batch_codec, refuses_replay_and_other_receivers)
{
    batch_verifier verifier(secret, receiver);
    pb::PeerBatch batch;
    cr_expect_eq(verifier.decode(sealed(5), batch), result_code::ok);
    cr_expect_eq(verifier.decode(sealed(5), batch), result_code::stale_term);
    cr_expect_eq(verifier.decode(sealed(4), batch), result_code::stale_term);
    cr_expect_eq(verifier.decode(sealed(6, secret, incarnation_id("i2#cc")), batch), result_code::stale_term);
    cr_expect_eq(verifier.decode(sealed(6), batch), result_code::ok);
}

// Guards against accepting forged batches: a wrong secret, a changed bit in any byte, and random data.
Test(batch_codec, refuses_forged_batches)
{
    batch_verifier verifier(secret, receiver);
    pb::PeerBatch batch;
    cr_expect_eq(verifier.decode(sealed(1, std::string(32, 't')), batch), result_code::authentication_failed);
    const std::string valid = sealed(1);
    std::mt19937_64 random(fuzzSeed);
    for (std::size_t i = 0; i < valid.size(); ++i) {
        std::string forged = valid;
        forged[i] = static_cast<char>(forged[i] ^ static_cast<char>(1U << (random() % 8)));
        cr_expect_neq(verifier.decode(forged, batch), result_code::ok, "byte %zu", i);
    }
    for (int run = 0; run < 20000; ++run) {
        std::string noise(random() % 200, '\0');
        for (char &c : noise) {
            c = static_cast<char>(random());
        }
        cr_expect_neq(verifier.decode(noise, batch), result_code::ok);
    }
    cr_expect_eq(verifier.decode(valid, batch), result_code::ok);
}
