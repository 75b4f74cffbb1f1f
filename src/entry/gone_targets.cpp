#include "entry/gone_targets.hpp"

#include "entry/requests.hpp"

namespace bulrush::entry {
namespace {

std::unordered_set<model_id, id_hash>
ModelsOf(const manifest& aManifest)
{
  std::unordered_set<model_id, id_hash> models;
  for (const model_row& row : aManifest.models) {
    models.insert(row.id);
  }
  for (const route_row& route : aManifest.routes) {
    for (const route_target& target : route.targets) {
      models.insert(ServiceId(target.service));
    }
  }
  return models;
}

std::unordered_set<adapter_id, id_hash>
AdaptersOf(const manifest& aManifest)
{
  std::unordered_set<adapter_id, id_hash> adapters;
  for (const adapter_row& row : aManifest.adapters) {
    adapters.insert(row.id);
  }
  return adapters;
}

// A target that is declared again is no longer gone.
template<class id_set>
void
AddMissing(id_set aOld, const id_set& aNew, id_set& aGone)
{
  aGone.merge(aOld);
  for (const auto& id : aNew) {
    aGone.erase(id);
  }
}

} // namespace

void
gone_targets::Update(const manifest& aOld, const manifest& aNew)
{
  AddMissing(ModelsOf(aOld), ModelsOf(aNew), mModels);
  AddMissing(AdaptersOf(aOld), AdaptersOf(aNew), mAdapters);
}

void
gone_targets::Clear()
{
  mModels.clear();
  mAdapters.clear();
}

bool
gone_targets::IsGone(const routing::request_facts& aFacts) const
{
  return mModels.contains(aFacts.model) || mAdapters.contains(aFacts.adapter);
}

} // namespace bulrush::entry
