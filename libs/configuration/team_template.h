#pragma once

#include "base/ids.h"
#include "configuration/effective_service.h"

#include <memory>
#include <string>
#include <vector>

namespace sycamoretray
{

/**
 * A parsed template: services with places for the parameters of a team.
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
     * Fills in the values of a parameter set.
     *
     * Throws document_error if a value is missing, mistyped, out of range or unknown, or if the result is not a valid service.
     */
    std::vector<effective_service> instantiate(const team_id &team, const std::string &parameterSet) const;

private:
    struct impl;
    std::unique_ptr<impl> d;
};

/** Returns the template that a parameter set names. Throws document_error if @p parameterSet is malformed or is not for @p team. */
std::string templateOfParameterSet(const team_id &team, const std::string &parameterSet);

} // namespace sycamoretray
