// Checks whether a manifest fits into the fleet's memory, by first-fit
// decreasing bin packing over the engines.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

/// Memory of one copy of a model with its adapters.
struct packed_model
{
  const model_row* model = nullptr;
  std::uint64_t bytes = 0;
};

std::vector<packed_model>
LargestFirst(std::span<const model_row> aModels,
             std::span<const adapter_row> aAdapters)
{
  std::unordered_map<model_id, std::uint64_t, id_hash> adapterBytes;
  for (const adapter_row& adapter : aAdapters) {
    adapterBytes[adapter.model] += adapter.bytes;
  }
  std::vector<packed_model> packed;
  for (const model_row& model : aModels) {
    packed.push_back({ &model, model.bytes + adapterBytes[model.id] });
  }
  std::ranges::sort(
    packed, [](const packed_model& aLeft, const packed_model& aRight) {
      return aLeft.bytes != aRight.bytes ? aLeft.bytes > aRight.bytes
                                         : aLeft.model->id < aRight.model->id;
    });
  return packed;
}

/// Places each copy of the model on another engine; false if one doesn't fit.
bool
PackCopies(const packed_model& aPacked, std::vector<std::uint64_t>& aFree)
{
  std::size_t left = std::max<std::size_t>(1, aPacked.model->minimumCopies);
  for (std::uint64_t& freeBytes : aFree) {
    if (left > 0 && freeBytes >= aPacked.bytes) {
      freeBytes -= aPacked.bytes;
      --left;
    }
  }
  return left == 0;
}

} // namespace

std::optional<fit_result>
FitsMinimumCopies(std::span<const engine_row> aEngines,
                  std::span<const model_row> aModels,
                  std::span<const adapter_row> aAdapters,
                  last_reason& aReason)
{
  fit_result result;
  std::vector<std::uint64_t> freeBytes;
  for (const engine_row& engine : aEngines) {
    if (!engine.isDraining && !engine.isTakenOut) {
      freeBytes.push_back(engine.memoryBytes);
      result.bytesAvailable += engine.memoryBytes;
    }
  }
  const std::vector<packed_model> packed = LargestFirst(aModels, aAdapters);
  for (const packed_model& item : packed) {
    if (!PackCopies(item, freeBytes)) {
      return Fail(aReason,
                  "place manifest",
                  std::to_string(item.model->id.value),
                  "no room for a model of " + std::to_string(item.bytes) +
                    " bytes with its adapters in " +
                    std::to_string(item.model->minimumCopies) +
                    " copies beside the larger models");
    }
    result.bytesNeeded += item.bytes;
  }
  result.largestFreeBytes =
    freeBytes.empty() ? 0 : *std::ranges::max_element(freeBytes);
  return result;
}

std::optional<fit_result>
FitsWithVersionChange(std::span<const engine_row> aEngines,
                      std::span<const model_row> aModels,
                      std::span<const adapter_row> aAdapters,
                      last_reason& aReason)
{
  auto result = FitsMinimumCopies(aEngines, aModels, aAdapters, aReason);
  const std::vector<packed_model> packed = LargestFirst(aModels, aAdapters);
  if (result && !packed.empty() &&
      result->largestFreeBytes < packed.front().bytes) {
    return Fail(aReason,
                "place manifest",
                std::to_string(packed.front().model->id.value),
                "no engine keeps " + std::to_string(packed.front().bytes) +
                  " bytes free to change versions of the largest model; the "
                  "largest hole is " +
                  std::to_string(result->largestFreeBytes));
  }
  return result;
}

} // namespace bulrush::placement
