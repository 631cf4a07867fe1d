#include "core/catalog/parsedocument.h"

#include "core/catalog/jsonreader.h"

namespace Catalog {

namespace {

    tl::unexpected<Faults> documentFault(std::string message)
    {
        return tl::unexpected<Faults>(Faults { { ObjectType::Document, {}, {}, std::move(message) } });
    }

}

Checked<Document> parseDocument(std::string_view json)
{
    if (json.size() > maxDocumentBytes)
        return documentFault("the text is larger than " + std::to_string(maxDocumentBytes) + " bytes");
    std::string problem;
    const std::optional<Internal::Json> parsed = Internal::parseJson(json, problem);
    if (!parsed)
        return documentFault(problem);
    Faults faults;
    Document document = Internal::readDocument(*parsed, faults);
    if (!faults.empty())
        return tl::unexpected<Faults>(std::move(faults));
    return document;
}

}
