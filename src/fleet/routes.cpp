#include "fleet/fleet.hpp"

namespace bulrush {

route_id
RouteId(const std::string& aHost, const std::string& aPath)
{
  return IdOf<route_id>(aHost.empty() ? aPath : aHost + "\n" + aPath);
}

namespace {

// Prefixes end with a slash, so only the slashes of the path are candidates.
const route_row*
FindPrefix(const manifest& aManifest,
           const std::string& aHost,
           const std::string& aPath)
{
  std::size_t slash = aPath.rfind('/');
  while (slash != std::string::npos) {
    const route_row* row =
      aManifest.routes.Find(RouteId(aHost, aPath.substr(0, slash + 1)));
    if (row != nullptr && row->isPrefix) {
      return row;
    }
    slash = slash == 0 ? std::string::npos : aPath.rfind('/', slash - 1);
  }
  return nullptr;
}

} // namespace

const route_row*
FindRoute(const manifest& aManifest,
          const std::string& aHost,
          const std::string& aPath)
{
  for (const std::string& host : { aHost, std::string() }) {
    const route_row* exact = aManifest.routes.Find(RouteId(host, aPath));
    if (exact != nullptr) {
      return exact;
    }
    if (const route_row* prefix = FindPrefix(aManifest, host, aPath)) {
      return prefix;
    }
  }
  return nullptr;
}

} // namespace bulrush
