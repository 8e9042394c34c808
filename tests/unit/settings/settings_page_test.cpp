#include "settings/daemon_settings.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

using namespace sycamoretray;

namespace
{

std::string readPage()
{
    std::ifstream page(SETTINGS_PAGE);
    return { std::istreambuf_iterator<char>(page), std::istreambuf_iterator<char>() };
}

} // namespace

// Guards against settings that are missing from docs/settings.md, or listed with a wrong default.
Test(settings_page, lists_every_setting)
{
    const std::string page = readPage();
    const auto settings = nlohmann::json::parse(printDaemonSettings(daemon_settings{}));
    for (const auto &[name, value] : settings.items()) {
        if (!value.is_object()) {
            cr_expect(page.find("`" + name + "`") != std::string::npos, "docs/settings.md lacks %s", name.c_str());
            continue;
        }
        for (const auto &[member, memberValue] : value.items()) {
            const std::string row = "| `" + name + "." + member + "` | " + memberValue.dump() + " |";
            cr_expect(page.find(row) != std::string::npos, "docs/settings.md lacks %s", row.c_str());
        }
    }
}
