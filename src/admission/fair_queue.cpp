#include "admission/admission.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

// The standard library's heaps have the greatest element on top, so "later"
// compares as less.
bool
IsLater(const lane_entry& aLeft, const lane_entry& aRight)
{
  return aLeft.deadline != aRight.deadline ? aLeft.deadline > aRight.deadline
                                           : aLeft.order > aRight.order;
}

bool
ArrivedLater(const lane_entry& aLeft, const lane_entry& aRight)
{
  return aLeft.order > aRight.order;
}

lane_row&
LaneOf(queue_tables& aTables, workspace_id aWorkspace)
{
  lane_row* found = aTables.lanes.Find(aWorkspace);
  if (found != nullptr) {
    return *found;
  }
  lane_row lane;
  lane.id = aWorkspace;
  return aTables.lanes.Insert(std::move(lane));
}

// Heap entries of removed requests stay until they reach the top, since
// removing them at once would need a search.
template<class order>
void
EraseStale(queue_tables& aTables, std::vector<lane_entry>& aHeap, order aOrder)
{
  while (!aHeap.empty() &&
         aTables.requests.Find(aHeap.front().request) == nullptr) {
    std::ranges::pop_heap(aHeap, aOrder);
    aHeap.pop_back();
  }
}

// Removes a request from the tables; its heap entries become stale.
queued_row
Remove(queue_tables& aTables, request_id aRequest)
{
  const queued_row row = *aTables.requests.Find(aRequest);
  lane_row& lane = *aTables.lanes.Find(row.workspace);
  lane.queuedTokens -= row.tokens;
  --lane.queued;
  aTables.requests.Erase(aRequest);
  EraseStale(aTables, lane.heap, IsLater);
  return row;
}

// The queue's virtual time is that of the lane served last. A lane that was
// idle resumes there, so that idle time earns no credit.
void
Charge(queue_tables& aTables, const queued_row& aRow)
{
  lane_row& lane = *aTables.lanes.Find(aRow.workspace);
  aTables.virtualTime = std::max(aTables.virtualTime, lane.virtualTime);
  lane.virtualTime += static_cast<double>(aRow.tokens) / lane.weight;
}

void
Shed(queue_tables& aTables,
     const queued_row& aRow,
     steady_time aNow,
     queue_outbox& aOut)
{
  const auto late = aNow + aRow.serviceTime - aRow.deadline;
  aOut.shed.push_back({ aRow.id, late });
  Remove(aTables, aRow.id);
}

// The earliest deadline is at the top of the heap, so only late requests and
// the first one that is not late are examined.
void
ShedFromLane(queue_tables& aTables,
             lane_row& aLane,
             steady_time aNow,
             queue_outbox& aOut)
{
  while (!aLane.heap.empty()) {
    const request_id top = aLane.heap.front().request;
    const queued_row row = *aTables.requests.Find(top);
    if (!aTables.shed(row, aNow)) {
      aOut.wake.NoLaterThan(row.deadline - row.serviceTime);
      return;
    }
    Shed(aTables, row, aNow, aOut);
  }
}

} // namespace

bool
ShedLate(const queued_row& aRequest, steady_time aNow)
{
  return aNow + aRequest.serviceTime > aRequest.deadline;
}

bool
ShedExpired(const queued_row& aRequest, steady_time aNow)
{
  return aNow > aRequest.deadline;
}

request_id
PickFair(queue_tables& aTables)
{
  const lane_row* next = nullptr;
  for (const lane_row& lane : aTables.lanes) {
    const bool isBehind =
      next == nullptr || lane.virtualTime < next->virtualTime;
    if (lane.queued > 0 && isBehind) {
      next = &lane;
    }
  }
  return next == nullptr ? request_id{} : next->heap.front().request;
}

request_id
PickFirst(queue_tables& aTables)
{
  EraseStale(aTables, aTables.arrivals, ArrivedLater);
  return aTables.arrivals.empty() ? request_id{}
                                  : aTables.arrivals.front().request;
}

void
SetWeight(queue_tables& aTables, workspace_id aWorkspace, double aWeight)
{
  LaneOf(aTables, aWorkspace).weight = aWeight;
}

void
Enqueue(queue_tables& aTables, const queued_row& aRequest)
{
  lane_row& lane = LaneOf(aTables, aRequest.workspace);
  if (lane.queued == 0) {
    lane.virtualTime = std::max(lane.virtualTime, aTables.virtualTime);
  }
  const lane_entry entry{ aRequest.deadline, ++aTables.nextOrder, aRequest.id };
  aTables.requests.Insert(aRequest);
  lane.queuedTokens += aRequest.tokens;
  ++lane.queued;
  lane.heap.push_back(entry);
  std::ranges::push_heap(lane.heap, IsLater);
  aTables.arrivals.push_back(entry);
  std::ranges::push_heap(aTables.arrivals, ArrivedLater);
}

bool
Cancel(queue_tables& aTables, request_id aRequest)
{
  if (aTables.requests.Find(aRequest) == nullptr) {
    return false;
  }
  Remove(aTables, aRequest);
  return true;
}

// Sheds late requests first, so that none of them uses up a lane's turn, then
// sends as many as the endpoints can accept.
void
RunQueue(queue_tables& aTables, steady_time aNow, queue_outbox& aOut)
{
  for (lane_row& lane : aTables.lanes) {
    ShedFromLane(aTables, lane, aNow, aOut);
  }
  EraseStale(aTables, aTables.arrivals, ArrivedLater);
  while (aTables.maySend > 0) {
    const request_id next = aTables.pick(aTables);
    if (!next) {
      return;
    }
    const queued_row row = *aTables.requests.Find(next);
    if (aTables.shed(row, aNow)) {
      Shed(aTables, row, aNow, aOut);
      continue;
    }
    Charge(aTables, row);
    Remove(aTables, next);
    aOut.send.push_back(next);
    --aTables.maySend;
  }
}

} // namespace bulrush::admission
