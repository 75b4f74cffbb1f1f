#include "wire/convert.hpp"

namespace bulrush::wire {

void
PutResidents(const std::vector<resident>& aFrom, repeated<pb::Resident>& aTo)
{
  for (const resident& from : aFrom) {
    auto* to = aTo.Add();
    to->set_model(from.model.value);
    to->set_version(from.version);
    for (const adapter_id& adapter : from.adapters) {
      to->add_adapters(adapter.value);
    }
  }
}

std::vector<resident>
GetResidents(const repeated<pb::Resident>& aFrom)
{
  std::vector<resident> residents;
  for (const auto& from : aFrom) {
    resident to{ { from.model() }, from.version(), {} };
    for (const auto adapter : from.adapters()) {
      to.adapters.push_back({ adapter });
    }
    residents.push_back(std::move(to));
  }
  return residents;
}

void
Put(const endpoint_row& aFrom, steady_time aNow, pb::Endpoint& aTo)
{
  aTo.set_name(aFrom.name);
  aTo.set_address(aFrom.address);
  aTo.set_incarnation(aFrom.incarnation);
  aTo.set_sequence(aFrom.sequence);
  aTo.set_domain(aFrom.domain.value);
  aTo.set_memory_bytes(aFrom.memoryBytes);
  aTo.set_used_bytes(aFrom.usedBytes);
  aTo.set_slots(aFrom.slots);
  aTo.set_cold_slots(aFrom.coldSlots);
  aTo.set_is_cold(aFrom.isCold);
  aTo.set_can_resume(aFrom.canResume);
  aTo.set_checks_fencing(aFrom.checksFencing);
  aTo.set_is_leaving(aFrom.isLeaving);
  aTo.set_running(aFrom.running);
  aTo.set_queued(aFrom.queued);
  PutResidents(aFrom.residents, *aTo.mutable_residents());
  for (const std::string& service : aFrom.services) {
    aTo.add_services(service);
  }
  for (const order_report& from : aFrom.orders) {
    auto* to = aTo.add_orders();
    to->set_order(from.order.value);
    to->set_fencing(from.fencing);
    to->set_is_done(from.isDone);
  }
  for (const model_id model : aFrom.inMemory) {
    aTo.add_in_memory(model.value);
  }
  for (const model_id model : aFrom.onDisk) {
    aTo.add_on_disk(model.value);
  }
  aTo.set_age_ms(
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aFrom.lastSeen)
      .count());
}

endpoint_row
Get(const pb::Endpoint& aFrom, steady_time aNow)
{
  endpoint_row row;
  row.name = aFrom.name();
  row.id = IdOf<endpoint_id>(row.name);
  row.address = aFrom.address();
  row.incarnation = aFrom.incarnation();
  row.sequence = aFrom.sequence();
  row.domain = { aFrom.domain() };
  row.memoryBytes = aFrom.memory_bytes();
  row.usedBytes = aFrom.used_bytes();
  row.slots = aFrom.slots();
  row.coldSlots = aFrom.cold_slots();
  row.isCold = aFrom.is_cold();
  row.canResume = aFrom.can_resume();
  row.checksFencing = aFrom.checks_fencing();
  row.isLeaving = aFrom.is_leaving();
  row.running = aFrom.running();
  row.queued = aFrom.queued();
  row.residents = GetResidents(aFrom.residents());
  row.services.assign(aFrom.services().begin(), aFrom.services().end());
  for (const auto& from : aFrom.orders()) {
    row.orders.push_back({ { from.order() }, from.fencing(), from.is_done() });
  }
  for (const std::uint64_t model : aFrom.in_memory()) {
    row.inMemory.push_back({ model });
  }
  for (const std::uint64_t model : aFrom.on_disk()) {
    row.onDisk.push_back({ model });
  }
  row.lastSeen = aNow - std::chrono::milliseconds(aFrom.age_ms());
  return row;
}

void
PutEndpoints(const std::vector<endpoint_row>& aFrom,
             steady_time aNow,
             repeated<pb::Endpoint>& aTo)
{
  for (const endpoint_row& row : aFrom) {
    Put(row, aNow, *aTo.Add());
  }
}

std::vector<endpoint_row>
GetEndpoints(const repeated<pb::Endpoint>& aFrom, steady_time aNow)
{
  std::vector<endpoint_row> rows;
  for (const auto& row : aFrom) {
    rows.push_back(Get(row, aNow));
  }
  return rows;
}

void
PutRemoved(const std::vector<removed_endpoint>& aFrom,
           google::protobuf::RepeatedField<std::uint64_t>& aIds,
           repeated<pb::RemovedEndpoint>& aTo)
{
  for (const removed_endpoint& removed : aFrom) {
    aIds.Add(removed.id.value);
    auto* to = aTo.Add();
    to->set_endpoint(removed.id.value);
    to->set_incarnation(removed.incarnation);
    to->set_sequence(removed.sequence);
    to->set_has_left(removed.hasLeft);
  }
}

std::vector<removed_endpoint>
GetRemoved(const google::protobuf::RepeatedField<std::uint64_t>& aIds,
           const repeated<pb::RemovedEndpoint>& aFrom)
{
  std::vector<removed_endpoint> removed;
  for (const auto& from : aFrom) {
    removed.push_back({ { from.endpoint() },
                        from.incarnation(),
                        from.sequence(),
                        from.has_left() });
  }
  if (aFrom.empty()) {
    for (const std::uint64_t id : aIds) {
      removed.push_back({ { id } });
    }
  }
  return removed;
}

} // namespace bulrush::wire
