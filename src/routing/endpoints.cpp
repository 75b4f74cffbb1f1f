#include "routing/parts.hpp"

#include <algorithm>

namespace bulrush::routing {

// A cold endpoint falls over under full load, so the limit drops at once and
// climbs by results. The epoch makes results of attempts that were started
// before the drop count for nothing.
void
DropToCold(endpoint_row& aEndpoint)
{
  cold_start_state& state = aEndpoint.coldStart;
  state.isCold = true;
  state.limit = aEndpoint.facts.coldSlots;
  state.samples = 0;
  state.meanFirstByte = std::chrono::microseconds{ 0 };
  ++state.epoch;
}

// A host that meets an endpoint for the first time cannot know whether it is
// warm, so it takes it for cold, unless the endpoint says when it is.
static void
AddEndpoint(tables& aTables, const endpoint_facts& aFacts)
{
  endpoint_row row;
  row.id = aFacts.id;
  row.facts = aFacts;
  if (!aFacts.saysWhenCold || aFacts.reportsCold) {
    DropToCold(row);
  } else {
    row.coldStart.isCold = false;
  }
  aTables.endpoints.Insert(std::move(row));
  aTables.holdersAreStale = true;
}

// A report says how many requests the endpoint had from all hosts. What this
// thread had in flight at that time is kept beside it, to tell others' share.
void
UpdateEndpoint(tables& aTables, const endpoint_facts& aFacts)
{
  endpoint_row* row = aTables.endpoints.Find(aFacts.id);
  if (row == nullptr) {
    AddEndpoint(aTables, aFacts);
    return;
  }
  const bool isRestarted = row->facts.incarnation != aFacts.incarnation;
  if (aFacts.reportedAt > row->facts.reportedAt) {
    row->ownWhenReported = row->inFlight;
  }
  row->facts = aFacts;
  row->isGone = false;
  if (aFacts.saysWhenCold) {
    row->coldStart.isCold = aFacts.reportsCold;
    row->coldStart.limit = aFacts.coldSlots;
  } else if (isRestarted || aFacts.reportsCold) {
    DropToCold(*row);
  }
}

void
OnEndpointLoad(tables& aTables,
               endpoint_id aEndpoint,
               std::uint32_t aInFlight,
               steady_time aNow)
{
  endpoint_row* row = aTables.endpoints.Find(aEndpoint);
  if (row != nullptr) {
    row->facts.reportedInFlight = aInFlight;
    row->facts.reportedAt = aNow;
    row->ownWhenReported = row->inFlight;
  }
}

bool
IsGated(const tables& aTables, const endpoint_row& aEndpoint)
{
  return aTables.policy.coldGate.isOpen && aEndpoint.coldStart.isCold &&
         aEndpoint.facts.reportsCold;
}

// A whole second's share is never saved up: the endpoint bears a rate, not a
// burst after a pause.
bool
MayStartCold(const tables& aTables, endpoint_row& aEndpoint, steady_time aNow)
{
  if (IsGated(aTables, aEndpoint)) {
    return aTables.policy.coldGate.isOpen(aEndpoint.facts, aNow);
  }
  const double rate = aEndpoint.facts.coldRate;
  if (!aEndpoint.coldStart.isCold || rate <= 0) {
    return true;
  }
  constexpr double kSavedSeconds = 0.25;
  const std::chrono::duration<double> since = aNow - aEndpoint.coldSince;
  aEndpoint.coldSince = aNow;
  aEndpoint.coldBudget = std::min(std::max(1.0, rate * kSavedSeconds),
                                  aEndpoint.coldBudget + rate * since.count());
  return aEndpoint.coldBudget >= 1.0;
}

void
DoubtSilent(const options& aOptions, endpoint_row& aEndpoint, steady_time aNow)
{
  constexpr std::uint32_t kMostDoublings = 2;
  const std::uint32_t doublings =
    std::min(aEndpoint.silences - 1, kMostDoublings);
  aEndpoint.doubtUntil = aNow + aOptions.doubtSilent * (1U << doublings);
}

// The row stays while attempts are in flight: their ends have to find it.
void
RemoveEndpoint(tables& aTables, endpoint_id aEndpoint)
{
  endpoint_row* row = aTables.endpoints.Find(aEndpoint);
  if (row != nullptr) {
    row->isGone = true;
    aTables.hasGoneEndpoints = true;
  }
}

// Reports repeat the same residents; only a change makes the index stale.
void
SetResidents(tables& aTables,
             endpoint_id aEndpoint,
             std::vector<resident> aResidents)
{
  std::sort(aResidents.begin(), aResidents.end());
  const resident_row* row = aTables.residents.Find(aEndpoint);
  if (row != nullptr && row->residents == aResidents) {
    return;
  }
  aTables.residents.Insert({ aEndpoint, std::move(aResidents) });
  aTables.holdersAreStale = true;
}

// The allotment is given for one incarnation: for any other it is nothing.
std::uint32_t
ConcurrencyLimit(const endpoint_row& aEndpoint)
{
  const endpoint_facts& facts = aEndpoint.facts;
  if (facts.allottedIncarnation != facts.incarnation) {
    return 0;
  }
  const cold_start_state& state = aEndpoint.coldStart;
  const std::uint32_t limit =
    state.isCold ? std::min(state.limit, facts.slots) : facts.slots;
  return std::min(limit, facts.allottedSlots);
}

// Rebuilt whole when residents change, a few times a second at most: cheaper
// to read and to trust than an index that is patched.
void
IndexHolders(tables& aTables)
{
  if (!aTables.holdersAreStale) {
    return;
  }
  for (auto& [key, holders] : aTables.holders) {
    holders.clear();
  }
  std::uint32_t position = 0;
  for (const endpoint_row& endpoint : aTables.endpoints) {
    const resident_row* row = aTables.residents.Find(endpoint.id);
    if (row != nullptr) {
      for (const resident& loaded : row->residents) {
        aTables.holders[{ loaded.model, loaded.adapter }].push_back(
          { position, loaded.version });
      }
    }
    ++position;
  }
  std::erase_if(aTables.holders,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  aTables.holdersAreStale = false;
}

void
RunIndexHolders(tables& aTables, steady_time /*aNow*/, outbox& /*aOutbox*/)
{
  IndexHolders(aTables);
}

} // namespace bulrush::routing
