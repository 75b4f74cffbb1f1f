// Whether a manifest can be held at all: first-fit decreasing over the engines.

#include "placement/systems.hpp"

#include <algorithm>

namespace bulrush::placement {

namespace {

/// A model with its adapters: what one copy of it takes.
struct packed_model
{
  const model_row* model = nullptr;
  std::uint64_t bytes = 0;
};

std::vector<packed_model>
LargestFirst(std::span<const model_row> aModels,
             std::span<const adapter_row> aAdapters)
{
  std::unordered_map<model_id, std::uint64_t, id_hash> beside;
  for (const adapter_row& adapter : aAdapters) {
    beside[adapter.model] += adapter.bytes;
  }
  std::vector<packed_model> packed;
  for (const model_row& model : aModels) {
    packed.push_back({ &model, model.bytes + beside[model.id] });
  }
  std::ranges::sort(
    packed, [](const packed_model& aLeft, const packed_model& aRight) {
      return aLeft.bytes != aRight.bytes ? aLeft.bytes > aRight.bytes
                                         : aLeft.model->id < aRight.model->id;
    });
  return packed;
}

/// Puts the copies of one model on as many engines; false if one finds none.
bool
PackCopies(const packed_model& aPacked, std::vector<std::uint64_t>& aFree)
{
  std::size_t left = std::max<std::size_t>(1, aPacked.model->minimumCopies);
  for (std::uint64_t& room : aFree) {
    if (left > 0 && room >= aPacked.bytes) {
      room -= aPacked.bytes;
      --left;
    }
  }
  return left == 0;
}

} // namespace

std::optional<fit>
PlanHolds(std::span<const engine_row> aEngines,
          std::span<const model_row> aModels,
          std::span<const adapter_row> aAdapters,
          last_reason& aReason)
{
  fit result;
  std::vector<std::uint64_t> room;
  for (const engine_row& engine : aEngines) {
    if (!engine.isDraining && !engine.isTakenOut) {
      room.push_back(engine.memoryBytes);
      result.bytesOffered += engine.memoryBytes;
    }
  }
  const std::vector<packed_model> packed = LargestFirst(aModels, aAdapters);
  for (const packed_model& item : packed) {
    if (!PackCopies(item, room)) {
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
  result.largestHole = room.empty() ? 0 : *std::ranges::max_element(room);
  return result;
}

std::optional<fit>
PlanFits(std::span<const engine_row> aEngines,
         std::span<const model_row> aModels,
         std::span<const adapter_row> aAdapters,
         last_reason& aReason)
{
  auto result = PlanHolds(aEngines, aModels, aAdapters, aReason);
  const std::vector<packed_model> packed = LargestFirst(aModels, aAdapters);
  if (result && !packed.empty() && result->largestHole < packed.front().bytes) {
    return Fail(aReason,
                "place manifest",
                std::to_string(packed.front().model->id.value),
                "no engine keeps " + std::to_string(packed.front().bytes) +
                  " bytes free to change versions of the largest model; the "
                  "largest hole is " +
                  std::to_string(result->largestHole));
  }
  return result;
}

} // namespace bulrush::placement
