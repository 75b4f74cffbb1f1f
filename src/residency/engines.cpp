#include "residency/parts.hpp"

#include <algorithm>

namespace bulrush::residency {
namespace {

/// A busy engine is asked this many times less often.
constexpr int kBusyPatience = 4;

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

// What is not known for certain is asked for again.
void
Doubt(engine_row& aEngine, steady_time aAskFrom)
{
  aEngine.isKnown = false;
  aEngine.open.reset();
  aEngine.askFrom = std::max(aEngine.askFrom, aAskFrom);
}

void
Insert(std::vector<adapter_id>& aTo, adapter_id aAdapter)
{
  if (std::find(aTo.begin(), aTo.end(), aAdapter) == aTo.end()) {
    aTo.push_back(aAdapter);
  }
}

// What an order that was carried out changes.
void
ApplyDone(engine_row& aEngine, const open_order& aOrder)
{
  const artifact& what = aOrder.what;
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
NoteLoad(engine_row& aEngine, const open_order& aOrder, steady_time aNow)
{
  std::erase_if(aEngine.loads, [&](const loaded_model& aLoad) {
    return aLoad.model == aOrder.what.model;
  });
  if (aOrder.kind == order_kind::eLoadModel) {
    aEngine.loads.push_back({ aOrder.what.model, aNow });
  }
}

bool
IsUnload(order_kind aKind)
{
  return aKind == order_kind::eUnloadModel ||
         aKind == order_kind::eUnloadAdapter;
}

// A model order takes seconds; the engine announces its end.
void
TakeEndOfModelOrder(engine_row& aEngine, steady_time aNow)
{
  if (!aEngine.isBusy || !aEngine.open || !aEngine.open->isAccepted) {
    return;
  }
  const model_id model = aEngine.open->what.model;
  const bool isThere =
    std::any_of(aEngine.told.held.begin(),
                aEngine.told.held.end(),
                [&](const held_model& aHeld) { return aHeld.model == model; });
  const bool isWanted = aEngine.open->kind == order_kind::eLoadModel;
  if (isThere == isWanted) {
    NoteLoad(aEngine, *aEngine.open, aNow);
    ApplyDone(aEngine, *aEngine.open);
    aEngine.open.reset();
    aEngine.isBusy = false;
    aEngine.publishAt = aNow;
  }
}

// Announcements lag behind orders. One that still tells of something else long
// after the last order shows that the engine changed by itself.
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
  if (aEngine.held != aEngine.told.held) {
    Doubt(aEngine, aNow);
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
Holds(const engine_row& aEngine, const artifact& aWhat)
{
  const held_model* held = FindHeld(aEngine, aWhat.model);
  return held != nullptr &&
         (!aWhat.adapter || std::find(held->adapters.begin(),
                                      held->adapters.end(),
                                      aWhat.adapter) != held->adapters.end());
}

bool
IsReady(const engine_row& aEngine)
{
  return aEngine.told.takesWork && aEngine.isKnown && !aEngine.isBusy &&
         !aEngine.open;
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
    const model_row* model = aTables.models.Find(held.model);
    bytes += model == nullptr ? 0 : model->bytes;
    for (const adapter_id& id : held.adapters) {
      const adapter_row* adapter = aTables.adapters.Find(id);
      bytes += adapter == nullptr ? 0 : adapter->bytes;
    }
  }
  return bytes;
}

void
OnAnnounced(tables& aTables, const announcement& aAnnounced, steady_time aNow)
{
  engine_row* row = aTables.engines.Find(aAnnounced.id);
  const bool isNew =
    row == nullptr || row->told.incarnation != aAnnounced.incarnation;
  if (isNew) {
    engine_row fresh;
    fresh.id = aAnnounced.id;
    fresh.held = aAnnounced.held;
    row = &aTables.engines.Insert(std::move(fresh));
  }
  row->told = aAnnounced;
  SortHeld(row->told.held);
  TakeEndOfModelOrder(*row, aNow);
  CheckAgainstAnnouncement(aTables.options, *row, aNow);
}

void
OnGone(tables& aTables, endpoint_id aEngine)
{
  aTables.engines.Erase(aEngine);
}

void
OnState(tables& aTables,
        endpoint_id aEngine,
        const std::optional<engine_state>& aState,
        steady_time aNow,
        outbox& aOutbox)
{
  engine_row* row = aTables.engines.Find(aEngine);
  if (row == nullptr) {
    return;
  }
  row->isAsked = false;
  const bool isBusy = aState && aState->isBusy;
  row->askFrom = aNow + (isBusy ? kBusyPatience : 1) * aTables.options.askAgain;
  if (!aState || aState->incarnation != row->told.incarnation || row->open) {
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
OnAnswer(tables& aTables,
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
  if (aAnswer == order_answer::eNone || aAnswer == order_answer::eConflict ||
      aAnswer == order_answer::eRefused) {
    Doubt(*row, aNow + aTables.options.askAgain);
    return;
  }
  row->changedAt = aNow;
  const bool isAccepted = aAnswer == order_answer::eAccepted;
  const bool isUnload = order.kind == order_kind::eUnloadAdapter;
  row->orderCount += isAccepted || isUnload ? 1 : 0;
  if (isAccepted && isUnload) {
    // Requests still use the adapter: its place is free when they have ended.
    Doubt(*row, aNow + kBusyPatience * aTables.options.askAgain);
    return;
  }
  if (isAccepted && IsModelOrder(order.kind)) {
    row->open->isAccepted = true;
    row->isBusy = true;
    return;
  }
  ApplyDone(*row, order);
  row->open.reset();
  row->publishAt =
    order.kind == order_kind::eLoadAdapter
      ? aNow + std::max<std::chrono::nanoseconds>(std::chrono::nanoseconds{ 0 },
                                                  aTables.options.adapterTime)
      : aNow;
  aOutbox.wake.NoLaterThan(*row->publishAt);
}

// An order without an answer, and a load that never ends, leave doubt.
static void
GiveUpWaiting(const settings& aOptions, engine_row& aEngine, steady_time aNow)
{
  if (!aEngine.open) {
    return;
  }
  const auto limit =
    aEngine.open->isAccepted ? aOptions.loadWithin : 2 * aOptions.answerWithin;
  if (aEngine.open->sentAt + limit <= aNow) {
    Doubt(aEngine, aNow);
  }
}

// Hosts hear of an adapter when it is likely to be there, not while requests
// for it would be turned away.
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
RunQuestions(tables& aTables, steady_time aNow, outbox& aOutbox)
{
  for (engine_row& engine : aTables.engines) {
    GiveUpWaiting(aTables.options, engine, aNow);
    if (engine.open) {
      const auto limit = engine.open->isAccepted
                           ? aTables.options.loadWithin
                           : 2 * aTables.options.answerWithin;
      aOutbox.wake.NoLaterThan(engine.open->sentAt + limit);
    }
    if (engine.isKnown || engine.open || engine.isAsked ||
        !engine.told.takesWork) {
      continue;
    }
    if (aNow < engine.askFrom) {
      aOutbox.wake.NoLaterThan(engine.askFrom);
      continue;
    }
    engine.isAsked = true;
    aOutbox.asks.push_back({ engine.id });
  }
}

std::vector<held_model>
Serving(const engine_row& aEngine)
{
  std::vector<held_model> serving = aEngine.held;
  if (!aEngine.open || !IsUnload(aEngine.open->kind)) {
    return serving;
  }
  const artifact& goes = aEngine.open->what;
  if (aEngine.open->kind == order_kind::eUnloadModel) {
    std::erase_if(serving, [&](const held_model& aHeld) {
      return aHeld.model == goes.model;
    });
    return serving;
  }
  for (held_model& held : serving) {
    if (held.model == goes.model) {
      std::erase(held.adapters, goes.adapter);
    }
  }
  return serving;
}

void
Order(tables& aTables,
      engine_row& aEngine,
      order_kind aKind,
      const artifact& aWhat,
      steady_time aNow,
      outbox& /*aOutbox*/)
{
  const bool isUnload = IsUnload(aKind);
  const auto wait =
    isUnload ? aTables.options.newsTime : std::chrono::milliseconds{ 0 };
  aEngine.open = open_order{ aKind, aWhat, aNow + wait, false, false };
  if (isUnload) {
    aEngine.publishAt = aNow;
  }
}

// The condition of an order is the count of when it leaves.
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
                               engine.told.incarnation,
                               engine.open->kind,
                               engine.open->what,
                               engine.orderCount });
  }
}

} // namespace bulrush::residency
