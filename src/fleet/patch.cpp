#include "fleet/fleet.hpp"

#include <nlohmann/json.hpp>

namespace bulrush {
namespace {

using nlohmann::json;

// Lists whose elements have a name of their own; "routes" have a path.
constexpr std::array<std::pair<const char*, const char*>, 5> kNamedLists{
  { { "failure_domains", "name" },
    { "models", "name" },
    { "adapters", "name" },
    { "workspaces", "name" },
    { "routes", "path" } }
};

// Turns named lists into objects by name. A JSON Patch addresses elements of a
// list by position, so one model more at the front would rewrite them all.
json
KeyByName(json aDocument)
{
  for (const auto& [list, name] : kNamedLists) {
    if (!aDocument.contains(list)) {
      continue;
    }
    json keyed = json::object();
    for (json& element : aDocument[list]) {
      const auto key = element.at(name).get<std::string>();
      element.erase(name);
      keyed[key] = std::move(element);
    }
    aDocument[list] = std::move(keyed);
  }
  return aDocument;
}

json
ListByName(json aDocument)
{
  for (const auto& [list, name] : kNamedLists) {
    if (!aDocument.contains(list)) {
      continue;
    }
    json elements = json::array();
    for (auto& [key, element] : aDocument[list].items()) {
      element[name] = key;
      elements.push_back(std::move(element));
    }
    aDocument[list] = std::move(elements);
  }
  return aDocument;
}

} // namespace

std::string
CanonicalManifest(const std::string& aText)
{
  return ListByName(KeyByName(json::parse(aText))).dump();
}

std::string
DiffManifests(const std::string& aFrom, const std::string& aTo)
{
  return json::diff(KeyByName(json::parse(aFrom)), KeyByName(json::parse(aTo)))
    .dump();
}

std::optional<std::string>
PatchManifest(const std::string& aFrom,
              const std::string& aPatch,
              last_reason& aWhy)
{
  try {
    const json keyed = KeyByName(json::parse(aFrom));
    return ListByName(keyed.patch(json::parse(aPatch))).dump();
  } catch (const json::exception& error) {
    return Fail(aWhy, "patch manifest", "", error.what());
  }
}

} // namespace bulrush
