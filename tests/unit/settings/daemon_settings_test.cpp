#include "documents/document_error.h"
#include "settings/daemon_settings.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <random>
#include <string>

using namespace sycamoretray;
using nlohmann::json;

namespace
{

json validSettings()
{
    return { { "instance", "i1" },
             { "availability_zone", "ke-1" },
             { "caller_address", "127.0.0.1:8001" },
             { "peer_address", "127.0.0.1:8002" },
             { "admin_address", "127.0.0.1:8003" },
             { "log_service_address", "127.0.0.1:9000" },
             { "instance_list_address", "[::1]:9001" },
             { "peer_secret_file", "secret" } };
}

std::string errorOf(const json &settings)
{
    try {
        parseDaemonSettings(settings.dump());
    } catch (const document_error &error) {
        return error.what();
    }
    return "";
}

} // namespace

// Guards against --print-settings output that the daemon itself rejects.
Test(daemon_settings, printed_settings_can_be_parsed)
{
    const daemon_settings settings = parseDaemonSettings(validSettings().dump());
    cr_expect(printDaemonSettings(parseDaemonSettings(printDaemonSettings(settings))) == printDaemonSettings(settings));
    cr_expect(settings.ownership.leaseLength == std::chrono::milliseconds(400));
}

// Guards against silently ignoring a misspelled name.
Test(daemon_settings, unknown_name_is_refused_with_the_nearest_one)
{
    json settings = validSettings();
    settings["worker"] = 3;
    cr_expect(errorOf(settings).find("did you mean \"workers\"") != std::string::npos, "%s", errorOf(settings).c_str());
}

// Guards against an administration API that is open to the network without authentication.
Test(daemon_settings, administration_beyond_loopback_needs_a_token)
{
    json settings = validSettings();
    settings["admin_address"] = "10.0.0.1:8003";
    cr_expect(errorOf(settings).find("admin_token_file") != std::string::npos);
    settings["admin_token_file"] = "token";
    cr_expect(errorOf(settings).empty());
}

// Guards against durations with which leases expire between two renewals, or hash slots move before a lease has expired.
Test(daemon_settings, contradictory_times_are_refused)
{
    json settings = validSettings();
    settings["ownership"] = { { "lease_ms", 100 }, { "renew_interval_ms", 80 } };
    cr_expect(errorOf(settings).find("renew_interval_ms") != std::string::npos);
    settings["ownership"] = { { "evidence_age_ms", 500 } };
    cr_expect(errorOf(settings).find("evidence_age_ms") != std::string::npos);
    settings["ownership"] = { { "server_lost_after_ms", 300 } };
    cr_expect(errorOf(settings).find("server_lost_after_ms") != std::string::npos);
}

// Guards against crashes on malformed settings.
Test(daemon_settings, mutated_text_is_parsed_or_refused)
{
    constexpr unsigned seed = 20261;
    constexpr int runs = 5000;
    std::mt19937 random(seed);
    const std::string valid = validSettings().dump();
    int refused = 0;
    for (int run = 0; run < runs; ++run) {
        std::string text = valid;
        for (unsigned change = random() % 4 + 1; change > 0; --change) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        try {
            parseDaemonSettings(text);
        } catch (const document_error &) {
            ++refused;
        }
    }
    cr_expect(refused > runs / 4, "seed %u: only %d refused", seed, refused);
}
