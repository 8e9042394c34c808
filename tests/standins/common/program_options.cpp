#include "standins/common/program_options.h"

#include <docopt/docopt.h>

namespace sycamoretray::standins
{

program_options::program_options(const char *usage, int argc, char **argv)
{
    for (const auto &[name, value] : docopt::docopt(usage, { argv + 1, argv + argc }, true)) {
        if (value.isString()) {
            m_values[name] = value.asString();
        } else if (value.isBool()) {
            m_flags[name] = value.asBool();
        } else if (value.isStringList()) {
            m_lists[name] = value.asStringList();
        }
    }
}

std::string program_options::text(const std::string &name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? std::string() : found->second;
}

long long program_options::number(const std::string &name) const
{
    return std::stoll(text(name));
}

double program_options::real(const std::string &name) const
{
    return std::stod(text(name));
}

bool program_options::flag(const std::string &name) const
{
    const auto found = m_flags.find(name);
    return found != m_flags.end() && found->second;
}

std::vector<std::string> program_options::list(const std::string &name) const
{
    const auto found = m_lists.find(name);
    return found == m_lists.end() ? std::vector<std::string>() : found->second;
}

} // namespace sycamoretray::standins
