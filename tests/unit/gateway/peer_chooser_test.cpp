#include "gateway/peer_chooser.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace sycamoretray;
using namespace std::chrono_literals;

namespace
{

std::vector<forwarding_peer> peersOf(std::size_t zones, std::size_t each)
{
    std::vector<forwarding_peer> peers;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t i = 0; i < each; ++i) {
            peers.push_back(
                { network_address("10." + std::to_string(zone) + ".0." + std::to_string(i) + ":1"), availability_zone("z" + std::to_string(zone)), 1 });
        }
    }
    return peers;
}

char zoneOf(const network_address &address)
{
    return address.value()[3];
}

} // namespace

// Guards against traffic between zones without need, and against one instance that takes all requests.
Test(peer_chooser, spreads_over_the_own_zone)
{
    peer_chooser chooser(availability_zone("z1"));
    chooser.setPeers(peersOf(3, 4));
    std::map<network_address, int> chosen;
    const monotonic_time now(100s);
    for (int i = 0; i < 40; ++i) {
        const auto peer = chooser.choose(now);
        cr_assert(peer.has_value());
        cr_expect_eq(zoneOf(*peer), '1');
        ++chosen[*peer];
    }
    cr_expect_eq(chosen.size(), 4U);
    for (const auto &[peer, count] : chosen) {
        cr_expect_eq(count, 10);
    }
}

// Guards against small instances that get as much as large ones.
Test(peer_chooser, regards_weights)
{
    peer_chooser chooser(availability_zone("z0"));
    std::vector<forwarding_peer> peers = peersOf(1, 2);
    peers[0].weight = 3;
    chooser.setPeers(peers);
    int first = 0;
    for (int i = 0; i < 40; ++i) {
        first += *chooser.choose(monotonic_time(100s)) == peers[0].address ? 1 : 0;
    }
    cr_expect_eq(first, 30);
}

// Guards against requests that ask one isolated instance of the own zone after another while other zones reach endpoints.
Test(peer_chooser, leaves_an_isolated_zone_after_two_refusals)
{
    peer_chooser chooser(availability_zone("z0"));
    chooser.setPeers(peersOf(2, 20));
    monotonic_time now(100s);
    int refused = 0;
    for (int i = 0; i < 36; ++i) {
        now += 83ms;
        while (true) {
            const auto peer = chooser.choose(now);
            cr_assert(peer.has_value());
            const bool isolated = zoneOf(*peer) == '0';
            chooser.finished(*peer, isolated ? peer_outcome::isolated : peer_outcome::answered, now);
            if (!isolated) {
                break;
            }
            ++refused;
        }
    }
    // Two a second, in three seconds.
    cr_expect_leq(refused, 8);
}

// Guards against an instance that is avoided for ever, or is asked at once again.
Test(peer_chooser, avoids_for_a_while)
{
    peer_chooser chooser(availability_zone("z0"));
    chooser.setPeers(peersOf(1, 1));
    const monotonic_time now(100s);
    const auto peer = chooser.choose(now);
    chooser.finished(*peer, peer_outcome::unreachable, now);
    cr_expect(!chooser.choose(now + 100ms));
    cr_expect(chooser.choose(now + 3s).has_value());
}

// Guards against an instance that does not run, though its connections live on, and lets the time of one request after another pass.
Test(peer_chooser, silent_instance_is_chosen_last)
{
    peer_chooser chooser(availability_zone("z0"));
    chooser.setPeers(peersOf(2, 1));
    const monotonic_time sent(100s);
    const auto silent = chooser.choose(sent);
    cr_assert(silent.has_value());
    cr_expect_eq(zoneOf(*silent), '0');
    const monotonic_time now = sent + 1s;
    chooser.unanswered(*silent, sent, now);
    for (int i = 0; i < 5; ++i) {
        const auto peer = chooser.choose(now + 100ms);
        cr_assert(peer.has_value());
        cr_expect_eq(zoneOf(*peer), '1');
        chooser.finished(*peer, peer_outcome::isolated, now + 100ms);
        const auto last = chooser.choose(now + 100ms);
        cr_assert(last.has_value(), "no instance is asked");
        cr_expect_eq(zoneOf(*last), '0');
        chooser.finished(*last, peer_outcome::unknown, now + 100ms);
        chooser.setPeers(peersOf(1, 1));
        chooser.setPeers(peersOf(2, 1));
    }
    cr_expect_eq(zoneOf(chooser.choose(now + 1100ms).value()), '0');
}

// Guards against an instance that is avoided because one request took long, while it answers others.
Test(peer_chooser, instance_that_answers_others_is_not_silent)
{
    peer_chooser chooser(availability_zone("z0"));
    chooser.setPeers(peersOf(2, 1));
    const monotonic_time sent(100s);
    const auto peer = chooser.choose(sent);
    chooser.choose(sent);
    chooser.finished(*peer, peer_outcome::answered, sent + 500ms);
    chooser.unanswered(*peer, sent, sent + 1s);
    cr_expect_eq(zoneOf(chooser.choose(sent + 1s).value()), '0');
}
