/// Messages between hosts and control processes.

#include "wire/bodies.hpp"

namespace bulrush::wire {

namespace {

/// Far longer than anything known is relied on.
constexpr std::chrono::hours kMaxAge{ 1 };

void
Put(const configuration_part& aFrom, pb::ConfigurationPart& aTo)
{
  aTo.set_revision(aFrom.of.revision);
  aTo.set_checksum(aFrom.of.checksum);
  aTo.set_total_bytes(aFrom.totalBytes);
  aTo.set_offset(aFrom.offset);
  aTo.set_bytes(aFrom.bytes);
}

configuration_part
Get(const pb::ConfigurationPart& aFrom)
{
  return { { aFrom.revision(), aFrom.checksum() },
           aFrom.total_bytes(),
           aFrom.offset(),
           aFrom.bytes() };
}

void
Put(const configuration_progress& aFrom, pb::ConfigurationProgress& aTo)
{
  aTo.set_revision(aFrom.of.revision);
  aTo.set_checksum(aFrom.of.checksum);
  aTo.set_bytes(aFrom.bytes);
}

configuration_progress
Get(const pb::ConfigurationProgress& aFrom)
{
  return { { aFrom.revision(), aFrom.checksum() }, aFrom.bytes() };
}

} // namespace

std::optional<std::chrono::nanoseconds>
GetAge(bool aIsSet, std::int64_t aNanoseconds)
{
  const std::chrono::nanoseconds age{ aNanoseconds };
  const bool isValid = aIsSet && age.count() >= 0 && age <= kMaxAge;
  return isValid ? std::optional(age) : std::nullopt;
}

void
PutBody(const host_report& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_host_report();
  to->set_domain(aFrom.domain);
  to->set_renewal(aFrom.renewal);
  to->set_revision(aFrom.revision);
  PutEndpoints(aFrom.endpoints, aNow, *to->mutable_endpoints());
  to->set_http_address(aFrom.httpAddress);
  to->set_is_leaving(aFrom.isLeaving);
  to->set_misses_updates(aFrom.missesUpdates);
  to->set_received_update(aFrom.receivedUpdate);
  PutEvidence(aFrom.evidence, aNow, *to);
  PutLoads(aFrom.loads, aNow, *to->mutable_loads());
  if (aFrom.incoming) {
    Put(*aFrom.incoming, *to->mutable_incoming());
  }
}

void
PutBody(const host_update& aFrom, steady_time aNow, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_host_update();
  to->set_renewal(aFrom.renewal);
  to->set_lease_ms(aFrom.lease.count());
  to->set_epoch(aFrom.epoch);
  to->set_revision(aFrom.revision);
  for (const numbered_command& from : aFrom.commands) {
    auto* numbered = to->add_commands();
    numbered->set_revision(from.revision);
    Put(from.command, *numbered->mutable_command());
  }
  to->set_snapshot(aFrom.snapshot);
  PutEndpoints(aFrom.endpoints, aNow, *to->mutable_endpoints());
  PutRemoved(aFrom.removedEndpoints,
             *to->mutable_gone_endpoints(),
             *to->mutable_removed());
  PutKeys(aFrom.tombstones, *to->mutable_tombstones());
  PutControls(aFrom.controls, *to->mutable_controls());
  to->set_leader(aFrom.leader);
  to->set_is_caught_up(aFrom.isCaughtUp);
  to->set_term(aFrom.term);
  to->set_number(aFrom.number);
  if (aFrom.confirmationAge) {
    to->set_confirmation_age_ns(aFrom.confirmationAge->count());
  }
  PutEvidence(aFrom.evidence, aNow, *to);
  PutLoads(aFrom.loads, aNow, *to->mutable_loads());
  if (aFrom.part) {
    Put(*aFrom.part, *to->mutable_part());
  }
}

void
PutBody(const held_update& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_held_update();
  for (const held_models& from : aFrom.engines) {
    auto* engine = to->add_engines();
    engine->set_endpoint(from.endpoint.value);
    engine->set_incarnation(from.incarnation);
    PutResidents(from.residents, *engine->mutable_residents());
  }
}

void
PutBody(const demand_report& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_wanted_models();
  for (const model_demand& from : aFrom.models) {
    auto* demand = to->add_models();
    demand->set_model(from.model.value);
    demand->set_adapter(from.adapter.value);
    demand->set_requests(from.requests);
    demand->set_waiting(from.waiting);
  }
}

std::optional<message_body>
GetBody(const pb::HostReport& aFrom, steady_time aNow)
{
  return host_report{ aFrom.domain(),
                      aFrom.renewal(),
                      aFrom.revision(),
                      GetEndpoints(aFrom.endpoints(), aNow),
                      aFrom.http_address(),
                      aFrom.is_leaving(),
                      aFrom.misses_updates(),
                      aFrom.received_update(),
                      Get(aFrom.evidence(), aNow),
                      GetLoads(aFrom.loads(), aNow),
                      aFrom.has_incoming()
                        ? std::optional(Get(aFrom.incoming()))
                        : std::nullopt };
}

std::optional<message_body>
GetBody(const pb::HostUpdate& aFrom, steady_time aNow)
{
  host_update update;
  update.renewal = aFrom.renewal();
  update.lease = std::chrono::milliseconds(aFrom.lease_ms());
  update.epoch = aFrom.epoch();
  update.revision = aFrom.revision();
  for (const auto& from : aFrom.commands()) {
    auto command = Get(from.command());
    if (!command) {
      return std::nullopt;
    }
    update.commands.push_back({ from.revision(), std::move(*command) });
  }
  update.snapshot = aFrom.snapshot();
  update.endpoints = GetEndpoints(aFrom.endpoints(), aNow);
  update.removedEndpoints = GetRemoved(aFrom.gone_endpoints(), aFrom.removed());
  update.tombstones = GetKeys(aFrom.tombstones());
  update.controls = GetControls(aFrom.controls());
  update.leader = aFrom.leader();
  update.isCaughtUp = aFrom.is_caught_up();
  update.term = aFrom.term();
  update.number = aFrom.number();
  update.confirmationAge =
    GetAge(aFrom.has_confirmation_age_ns(), aFrom.confirmation_age_ns());
  update.evidence = Get(aFrom.evidence(), aNow);
  update.loads = GetLoads(aFrom.loads(), aNow);
  if (aFrom.has_part()) {
    update.part = Get(aFrom.part());
  }
  return update;
}

std::optional<message_body>
GetBody(const pb::HeldUpdate& aFrom, steady_time)
{
  held_update update;
  for (const auto& from : aFrom.engines()) {
    update.engines.push_back({ { from.endpoint() },
                               from.incarnation(),
                               GetResidents(from.residents()) });
  }
  return update;
}

std::optional<message_body>
GetBody(const pb::WantedModels& aFrom, steady_time)
{
  demand_report demand;
  for (const auto& from : aFrom.models()) {
    demand.models.push_back({ { from.model() },
                              { from.adapter() },
                              from.requests(),
                              from.waiting() });
  }
  return demand;
}

} // namespace bulrush::wire
