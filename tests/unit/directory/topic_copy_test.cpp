#include "metadata_store/relay_codec.h"
#include "metadata_store/topic_copy.h"

#include <criterion/criterion.h>

using namespace sycamoretray;

namespace
{

topic_position at(std::uint64_t offset, std::uint64_t era = 1)
{
    return { store_era(era), log_offset(offset) };
}

} // namespace

// Guards against readers of a relay that miss records or receive them twice.
Test(topic_copy, readers_receive_records_appended_after_their_position)
{
    topic_copy copy;
    cr_expect_not(copy.isComplete());
    copy.setListing({ { "a", "1", log_offset(3) } }, at(5));
    copy.appendRecords({ { "b", "2", log_offset(5) }, { "a", std::nullopt, log_offset(6) } });
    cr_expect(copy.position() == at(7));
    const keyed_read all = copy.read(at(5));
    cr_expect(all.result == store_result::ok);
    cr_expect_eq(all.records.size(), 2U);
    cr_expect_eq(copy.read(at(6)).records.size(), 1U);
    cr_expect(copy.read(at(7)).records.empty());
    // A reader that is ahead of the copy, because it has read from the store directly, keeps its position.
    cr_expect_eq(copy.read(at(9)).next.value(), 9U);
    cr_expect(copy.read(at(4)).result == store_result::expired);
    const keyed_listing listing = copy.list();
    cr_assert_eq(listing.records.size(), 1U);
    cr_expect_eq(listing.records[0].key, std::string("b"));
}

// Guards against a reader that waits at an offset of a former era of the store, and against one that is sent back to such an era.
Test(topic_copy, readers_of_another_era_have_to_list_the_topic)
{
    topic_copy copy;
    copy.setListing({}, at(50, 2));
    copy.appendRecords({ { "a", "1", log_offset(50) } });
    cr_expect(copy.read(at(50, 1)).result == store_result::expired);
    cr_expect(copy.read(at(90, 1)).result == store_result::expired);
    cr_expect(copy.position() > at(90, 1), "a reader that waits there is answered");
    cr_expect(copy.read(at(10, 3)).result == store_result::unavailable);
    cr_expect_eq(copy.list().era, store_era(2));
}

Test(relay_codec, is_unchanged_by_encoding_and_decoding)
{
    keyed_read read;
    read.result = store_result::ok;
    read.end = log_offset(9);
    read.next = log_offset(9);
    read.era = store_era(3);
    read.records = { { "k", std::string("\0\xff", 2), log_offset(7) }, { "gone", std::nullopt, log_offset(8) } };
    const auto decoded = decodeRelayedRead(encodeRead(read));
    cr_assert(decoded.has_value());
    cr_expect_eq(decoded->era, store_era(3));
    cr_assert_eq(decoded->records.size(), 2U);
    cr_expect(*decoded->records[0].value == std::string("\0\xff", 2));
    cr_expect_not(decoded->records[1].value.has_value());
    cr_expect_not(decodeRelayedRead("no cbor").has_value());
    cr_expect_not(decodeRelayedListing("").has_value());
}
