#include "residency/internal.hpp"

#include <algorithm>

namespace bulrush::residency {
namespace {

/// Factor of the query interval for a busy engine.
constexpr int kBusyIntervalFactor = 4;

void
SortHeld(std::vector<held_model>& aHeld)
{
  for (held_model& each : aHeld) {
    std::sort(each.adapters.begin(), each.adapters.end());
  }
  std::sort(aHeld.begin(),
            aHeld.end(),
            [](const held_model& aLeft, const held_model& aRight) {
              return aLeft.model < aRight.model;
            });
}

// The engine is queried before its next order.
void
MarkUnknown(engine_row& aEngine, steady_time aNextQueryAt)
{
  aEngine.isKnown = false;
  aEngine.open.reset();
  aEngine.nextQueryAt = std::max(aEngine.nextQueryAt, aNextQueryAt);
}

void
Insert(std::vector<adapter_id>& aTo, adapter_id aAdapter)
{
  if (std::find(aTo.begin(), aTo.end(), aAdapter) == aTo.end()) {
    aTo.push_back(aAdapter);
  }
}

// Applies an executed order to the local row.
void
ApplyOrder(engine_row& aEngine, const open_order& aOrder)
{
  const artifact& what = aOrder.artifact;
  held_model* held = FindHeld(aEngine, what.model);
  switch (aOrder.kind) {
    case order_kind::eLoadModel:
      if (held == nullptr) {
        aEngine.held.push_back({ what.model, {} });
      }
      break;
    case order_kind::eUnloadModel:
      std::erase_if(aEngine.held, [&](const held_model& aHeld) {
        return aHeld.model == what.model;
      });
      break;
    case order_kind::eLoadAdapter:
      if (held != nullptr) {
        Insert(held->adapters, what.adapter);
      }
      break;
    case order_kind::eUnloadAdapter:
      if (held != nullptr) {
        std::erase(held->adapters, what.adapter);
      }
      break;
  }
}

bool
IsModelOrder(order_kind aKind)
{
  return aKind == order_kind::eLoadModel || aKind == order_kind::eUnloadModel;
}

void
RecordLoad(engine_row& aEngine, const open_order& aOrder, steady_time aNow)
{
  std::erase_if(aEngine.loads, [&](const loaded_model& aLoad) {
    return aLoad.model == aOrder.artifact.model;
  });
  if (aOrder.kind == order_kind::eLoadModel) {
    aEngine.loads.push_back({ aOrder.artifact.model, aNow });
  }
}

bool
IsUnload(order_kind aKind)
{
  return aKind == order_kind::eUnloadModel ||
         aKind == order_kind::eUnloadAdapter;
}

// A model order takes seconds; announcements show its end.
void
CompleteModelOrder(engine_row& aEngine, steady_time aNow)
{
  if (!aEngine.isBusy || !aEngine.open || !aEngine.open->isAccepted) {
    return;
  }
  const model_id model = aEngine.open->artifact.model;
  const bool isHeld =
    std::any_of(aEngine.announced.held.begin(),
                aEngine.announced.held.end(),
                [&](const held_model& aHeld) { return aHeld.model == model; });
  const bool isLoad = aEngine.open->kind == order_kind::eLoadModel;
  if (isHeld == isLoad) {
    RecordLoad(aEngine, *aEngine.open, aNow);
    ApplyOrder(aEngine, *aEngine.open);
    aEngine.open.reset();
    aEngine.isBusy = false;
    aEngine.publishAt = aNow;
  }
}

// Announcements lag behind orders. If one still differs after the lag, the
// engine has changed without an order.
void
CheckAgainstAnnouncement(const settings& aOptions,
                         engine_row& aEngine,
                         steady_time aNow)
{
  if (!aEngine.isKnown || aEngine.isBusy || aEngine.open ||
      aNow < aEngine.changedAt + aOptions.announcementLag) {
    return;
  }
  SortHeld(aEngine.held);
  if (aEngine.held != aEngine.announced.held) {
    MarkUnknown(aEngine, aNow);
  }
}

} // namespace

held_model*
FindHeld(engine_row& aEngine, model_id aModel)
{
  const auto found = std::find_if(
    aEngine.held.begin(), aEngine.held.end(), [&](const held_model& aHeld) {
      return aHeld.model == aModel;
    });
  return found == aEngine.held.end() ? nullptr : &*found;
}

const held_model*
FindHeld(const engine_row& aEngine, model_id aModel)
{
  return FindHeld(const_cast<engine_row&>(aEngine), aModel);
}

bool
Holds(const engine_row& aEngine, const artifact& aArtifact)
{
  const held_model* held = FindHeld(aEngine, aArtifact.model);
  return held != nullptr &&
         (!aArtifact.adapter ||
          std::find(held->adapters.begin(),
                    held->adapters.end(),
                    aArtifact.adapter) != held->adapters.end());
}

bool
IsReady(const engine_row& aEngine)
{
  return aEngine.announced.acceptsRequests && aEngine.isKnown &&
         !aEngine.isBusy && !aEngine.open;
}

std::size_t
CountAdapters(const engine_row& aEngine)
{
  std::size_t count = 0;
  for (const held_model& held : aEngine.held) {
    count += held.adapters.size();
  }
  return count;
}

std::uint64_t
HeldBytes(const tables& aTables, const engine_row& aEngine)
{
  std::uint64_t bytes = 0;
  for (const held_model& held : aEngine.held) {
    bytes += BytesOf(aTables.models, aTables.withdrawnModels, held.model);
    for (const adapter_id& id : held.adapters) {
      bytes += BytesOf(aTables.adapters, aTables.withdrawnAdapters, id);
    }
  }
  return bytes;
}

void
OnAnnounced(tables& aTables, const announcement& aAnnounced, steady_time aNow)
{
  engine_row* row = aTables.engines.Find(aAnnounced.id);
  const bool isNew =
    row == nullptr || row->announced.incarnation != aAnnounced.incarnation;
  if (isNew) {
    engine_row added;
    added.id = aAnnounced.id;
    added.held = aAnnounced.held;
    row = &aTables.engines.Insert(std::move(added));
  }
  row->announced = aAnnounced;
  SortHeld(row->announced.held);
  CompleteModelOrder(*row, aNow);
  CheckAgainstAnnouncement(aTables.options, *row, aNow);
}

void
OnEngineRemoved(tables& aTables, endpoint_id aEngine)
{
  aTables.engines.Erase(aEngine);
}

void
HandleEngineState(tables& aTables,
                  endpoint_id aEngine,
                  const std::optional<engine_state>& aState,
                  steady_time aNow,
                  outbox& aOutbox)
{
  engine_row* row = aTables.engines.Find(aEngine);
  if (row == nullptr) {
    return;
  }
  row->isQueried = false;
  const bool isBusy = aState && aState->isBusy;
  row->nextQueryAt =
    aNow + (isBusy ? kBusyIntervalFactor : 1) * aTables.options.queryInterval;
  if (!aState || aState->incarnation != row->announced.incarnation ||
      row->open) {
    return;
  }
  row->orderCount = aState->orderCount;
  row->isBusy = aState->isBusy;
  row->held = aState->held;
  row->isKnown = !aState->isBusy;
  row->publishAt = aNow;
  aOutbox.wake.NoLaterThan(aNow);
}

void
HandleOrderAnswer(tables& aTables,
                  endpoint_id aEngine,
                  order_answer aAnswer,
                  steady_time aNow,
                  outbox& aOutbox)
{
  engine_row* row = aTables.engines.Find(aEngine);
  if (row == nullptr || !row->open || row->open->isAccepted) {
    return;
  }
  const open_order order = *row->open;
  if (aAnswer == order_answer::eNoAnswer ||
      aAnswer == order_answer::eConflict || aAnswer == order_answer::eRefused) {
    MarkUnknown(*row, aNow + aTables.options.queryInterval);
    return;
  }
  row->changedAt = aNow;
  const bool isAccepted = aAnswer == order_answer::eAccepted;
  const bool isUnload = order.kind == order_kind::eUnloadAdapter;
  row->orderCount += isAccepted || isUnload ? 1 : 0;
  if (isAccepted && isUnload) {
    // Requests still use the adapter; its place is free once they have ended.
    MarkUnknown(*row,
                aNow + kBusyIntervalFactor * aTables.options.queryInterval);
    return;
  }
  if (isAccepted && IsModelOrder(order.kind)) {
    row->open->isAccepted = true;
    row->isBusy = true;
    return;
  }
  ApplyOrder(*row, order);
  row->open.reset();
  row->publishAt =
    order.kind == order_kind::eLoadAdapter
      ? aNow + std::max<std::chrono::nanoseconds>(
                 std::chrono::nanoseconds{ 0 }, aTables.options.adapterLoadTime)
      : aNow;
  aOutbox.wake.NoLaterThan(*row->publishAt);
}

// After an order without an answer, or a load that does not end, the engine's
// state is unknown.
static void
TimeOutOrder(const settings& aOptions, engine_row& aEngine, steady_time aNow)
{
  if (!aEngine.open) {
    return;
  }
  const auto limit = aEngine.open->isAccepted ? aOptions.loadTimeout
                                              : 2 * aOptions.answerTimeout;
  if (aEngine.open->sentAt + limit <= aNow) {
    MarkUnknown(aEngine, aNow);
  }
}

// An adapter is published once it is likely to be loaded, since the engine
// rejects requests for it earlier.
void
RunPublish(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (engine_row& engine : aTables.engines) {
    if (!engine.publishAt) {
      continue;
    }
    if (aNow < *engine.publishAt) {
      aOutbox.wake.NoLaterThan(*engine.publishAt);
      continue;
    }
    engine.publishAt.reset();
    aOutbox.changed.push_back(engine.id);
  }
}

void
RunQueries(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (engine_row& engine : aTables.engines) {
    TimeOutOrder(aTables.options, engine, aNow);
    if (engine.open) {
      const auto limit = engine.open->isAccepted
                           ? aTables.options.loadTimeout
                           : 2 * aTables.options.answerTimeout;
      aOutbox.wake.NoLaterThan(engine.open->sentAt + limit);
    }
    if (engine.isKnown || engine.open || engine.isQueried ||
        !engine.announced.acceptsRequests) {
      continue;
    }
    if (aNow < engine.nextQueryAt) {
      aOutbox.wake.NoLaterThan(engine.nextQueryAt);
      continue;
    }
    engine.isQueried = true;
    aOutbox.queries.push_back({ engine.id });
  }
}

std::vector<held_model>
ServedModels(const engine_row& aEngine)
{
  std::vector<held_model> serving = aEngine.held;
  if (!aEngine.open || !IsUnload(aEngine.open->kind)) {
    return serving;
  }
  const artifact& unloading = aEngine.open->artifact;
  if (aEngine.open->kind == order_kind::eUnloadModel) {
    std::erase_if(serving, [&](const held_model& aHeld) {
      return aHeld.model == unloading.model;
    });
    return serving;
  }
  for (held_model& held : serving) {
    if (held.model == unloading.model) {
      std::erase(held.adapters, unloading.adapter);
    }
  }
  return serving;
}

void
IssueOrder(tables& aTables,
           engine_row& aEngine,
           order_kind aKind,
           const artifact& aArtifact,
           steady_time aNow,
           outbox& /*aOutbox*/)
{
  const bool isUnload = IsUnload(aKind);
  const auto delay =
    isUnload ? aTables.options.unloadNotice : std::chrono::milliseconds{ 0 };
  aEngine.open = open_order{ aKind, aArtifact, aNow + delay, false, false };
  if (isUnload) {
    aEngine.publishAt = aNow;
  }
}

// An order's condition is the order count at the time of sending.
void
RunSends(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (engine_row& engine : aTables.engines) {
    if (!engine.open || engine.open->isSent) {
      continue;
    }
    if (aNow < engine.open->sentAt) {
      aOutbox.wake.NoLaterThan(engine.open->sentAt);
      continue;
    }
    engine.open->isSent = true;
    aOutbox.orders.push_back({ engine.id,
                               engine.announced.incarnation,
                               engine.open->kind,
                               engine.open->artifact,
                               engine.orderCount });
  }
}

} // namespace bulrush::residency
