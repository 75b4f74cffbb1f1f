#include "fleet/fleet.hpp"
#include "json/json.hpp"

#include <algorithm>

namespace bulrush {
namespace {

using nlohmann::json;

// Lists whose elements are identified by one field or by two. The second is
// optional: routes for any host have only a path.
struct named_list
{
  const char* list;
  const char* name;
  const char* scope = nullptr;
};
constexpr std::array<named_list, 6> kNamedLists{
  { { "failure_domains", "name" },
    { "services", "name" },
    { "models", "name" },
    { "adapters", "name" },
    { "workspaces", "name" },
    { "routes", "path", "host" } }
};

constexpr char kScopeEnd = '\n';

// Removes the identifying fields of an element and returns them as one key.
std::string
ExtractKey(const named_list& aList, json& aElement)
{
  auto key = aElement.at(aList.name).get<std::string>();
  aElement.erase(aList.name);
  if (aList.scope != nullptr && aElement.contains(aList.scope)) {
    key = aElement.at(aList.scope).get<std::string>() + kScopeEnd + key;
    aElement.erase(aList.scope);
  }
  return key;
}

void
RestoreKey(const named_list& aList, const std::string& aKey, json& aElement)
{
  const std::size_t end = aKey.find(kScopeEnd);
  if (end == std::string::npos) {
    aElement[aList.name] = aKey;
    return;
  }
  aElement[aList.scope] = aKey.substr(0, end);
  aElement[aList.name] = aKey.substr(end + 1);
}

// Converts named lists to objects. A JSON Patch addresses list elements by
// position, so a model inserted at the front would change all later ones.
json
KeyByName(json aDocument)
{
  for (const named_list& each : kNamedLists) {
    if (!aDocument.contains(each.list)) {
      continue;
    }
    json keyed = json::object();
    for (json& element : aDocument[each.list]) {
      const std::string key = ExtractKey(each, element);
      keyed[key] = std::move(element);
    }
    aDocument[each.list] = std::move(keyed);
  }
  return aDocument;
}

json
ListByName(json aDocument)
{
  for (const named_list& each : kNamedLists) {
    if (!aDocument.contains(each.list)) {
      continue;
    }
    json elements = json::array();
    for (auto& [key, element] : aDocument[each.list].items()) {
      RestoreKey(each, key, element);
      elements.push_back(std::move(element));
    }
    aDocument[each.list] = std::move(elements);
  }
  return aDocument;
}

// Throws on texts that ParseManifest refuses.
json
ParseSound(const std::string& aText)
{
  last_reason ignored;
  return ParseJson(aText, ignored).value();
}

// A patch could nest a value deeper than any text that ParseJson accepts: by
// copying it into itself, or level by level. DiffManifests writes these
// operations only, with short paths.
bool
IsBounded(const json& aOperation)
{
  const auto name = aOperation.at("op").get<std::string>();
  const auto path = aOperation.at("path").get<std::string>();
  const auto levels = std::count(path.begin(), path.end(), '/');
  return (name == "add" || name == "remove" || name == "replace") &&
         static_cast<std::size_t>(levels) <= kMaxJsonDepth;
}

} // namespace

std::string
CanonicalManifest(const std::string& aText)
{
  return ListByName(KeyByName(ParseSound(aText))).dump();
}

std::string
DiffManifests(const std::string& aFrom, const std::string& aTo)
{
  return json::diff(KeyByName(ParseSound(aFrom)), KeyByName(ParseSound(aTo)))
    .dump();
}

std::optional<std::string>
PatchManifest(const std::string& aFrom,
              const std::string& aPatch,
              last_reason& aReason)
{
  const std::string step = "patch manifest";
  auto from = ParseJson(aFrom, aReason);
  const auto patch = from ? ParseJson(aPatch, aReason) : std::nullopt;
  if (!patch) {
    return Fail(aReason, step, "", aReason.text);
  }
  try {
    if (!std::all_of(patch->begin(), patch->end(), IsBounded)) {
      return Fail(
        aReason, step, "", "expected add, remove or replace with a short path");
    }
    const json keyed = KeyByName(std::move(*from));
    return ListByName(keyed.patch(*patch)).dump();
  } catch (const json::exception& error) {
    return Fail(aReason, step, "", error.what());
  }
}

} // namespace bulrush
