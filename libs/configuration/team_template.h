#pragma once

#include "base/ids.h"
#include "configuration/effective_service.h"

#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * A parsed template: service definitions with placeholders for the parameters of a team.
 *
 * Thread safety: const access from any thread.
 */
class team_template
{
public:
    /** Parses @p document. Throws document_error if it is not a valid template or is not named @p name. */
    team_template(const std::string &name, const std::string &document);
    ~team_template();
    team_template(team_template &&) noexcept;
    team_template &operator=(team_template &&) noexcept;

    /**
     * Instantiates the services with the values of a parameter set.
     *
     * Throws document_error if a value is missing, of the wrong type, out of range or unknown, or if a resulting service is invalid.
     */
    std::vector<effective_service> instantiate(const team_id &team, const std::string &parameterSet) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/** Returns the name of the template that @p parameterSet uses. Throws document_error if it is malformed or is not for @p team. */
std::string templateOfParameterSet(const team_id &team, const std::string &parameterSet);

} // namespace sycamoretray
