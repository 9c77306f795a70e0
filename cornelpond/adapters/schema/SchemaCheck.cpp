#include "cornelpond/adapters/schema/SchemaCheck.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace cornelpond {

namespace {

    std::string escapePointerToken(std::string const& token)
    {
        std::string escaped;
        for (char const byte : token) {
            if (byte == '~')
                escaped += "~0";
            else if (byte == '/')
                escaped += "~1";
            else
                escaped += byte;
        }
        return escaped;
    }

    /// valijson writes a location as <root>[key][0].
    std::string toPointer(std::vector<std::string> const& context)
    {
        std::string pointer;
        for (auto const& part : context) {
            if (part == "<root>")
                continue;
            bool const isBracketed = part.size() >= 2 && part.front() == '[' && part.back() == ']';
            pointer += "/" + escapePointerToken(isBracketed ? part.substr(1, part.size() - 2) : part);
        }
        return pointer;
    }

} // namespace

std::vector<DocumentFault> checkSchema(std::string_view schemaText, nlohmann::json const& document)
{
    nlohmann::json const schemaDocument = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter const schemaAdapter(schemaDocument);
    parser.populateSchema(schemaAdapter, schema);

    valijson::Validator validator;
    valijson::ValidationResults results;
    valijson::adapters::NlohmannJsonAdapter const target(document);
    std::vector<DocumentFault> faults;
    if (validator.validate(schema, target, &results))
        return faults;
    valijson::ValidationResults::Error error;
    while (results.popError(error))
        faults.push_back({ toPointer(error.context), error.description });
    return faults;
}

} // namespace cornelpond
