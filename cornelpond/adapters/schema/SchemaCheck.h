#pragma once

// Checks a JSON document against a JSON schema and reports every fault with its JSON pointer.
//
// Example:
//   for (DocumentFault const& fault : checkSchema(settingsSchema(), document))
//       print(fault.pointer, fault.message);

#include "cornelpond/core/config/Policy.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace cornelpond {

/// Empty when the document matches. Precondition: `schemaText` is a valid JSON schema.
std::vector<DocumentFault> checkSchema(std::string_view schemaText, nlohmann::json const& document);

} // namespace cornelpond
