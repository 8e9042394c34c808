#pragma once

namespace sycamoretray
{

enum class document_kind {
    template_document,
    parameter_set,
};

} // namespace sycamoretray
