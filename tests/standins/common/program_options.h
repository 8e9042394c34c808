#pragma once

#include <map>
#include <string>
#include <vector>

namespace sycamoretray::standins
{

/** Command line options, parsed by docopt from a usage text. Thread safety: as for const objects. */
class program_options
{
public:
    /** Prints the usage and exits if the command line does not match @p usage. */
    program_options(const char *usage, int argc, char **argv);

    /** Returns the value of an option; empty if it was not given and has no default. */
    std::string text(const std::string &name) const;

    /** @throws std::invalid_argument if the value is not a number */
    long long number(const std::string &name) const;
    double real(const std::string &name) const;

    bool flag(const std::string &name) const;

    /** Returns the values of a repeatable option. */
    std::vector<std::string> list(const std::string &name) const;

private:
    std::map<std::string, std::string> m_values;
    std::map<std::string, bool> m_flags;
    std::map<std::string, std::vector<std::string>> m_lists;
};

} // namespace sycamoretray::standins
