#include "wire/bodies.hpp"

#include <algorithm>

namespace bulrush::wire {

namespace {

using admission::resource_kind;
using std::chrono::nanoseconds;

void
Put(const admission::resource& aFrom, pb::Resource& aTo)
{
  aTo.set_kind(static_cast<std::uint32_t>(aFrom.kind));
  aTo.set_subject(aFrom.subject);
  aTo.set_incarnation(aFrom.incarnation);
}

void
Put(const admission::share& aFrom, pb::Share& aTo)
{
  aTo.set_rate(aFrom.rate);
  aTo.set_size(aFrom.size);
}

// A kind that only a newer release knows makes the message malformed.
std::optional<admission::resource>
Get(const pb::Resource& aFrom)
{
  const auto kind = static_cast<resource_kind>(aFrom.kind());
  if (kind != resource_kind::eRate && kind != resource_kind::eSlots &&
      kind != resource_kind::eColdRate) {
    return std::nullopt;
  }
  return admission::resource{ kind, aFrom.subject(), aFrom.incarnation() };
}

// Negative amounts would corrupt the accounts of shares, so they make the
// message malformed.
std::optional<admission::share>
Get(const pb::Share& aFrom)
{
  if (aFrom.rate() < 0 || aFrom.size() < 0) {
    return std::nullopt;
  }
  return admission::share{ aFrom.rate(), aFrom.size() };
}

} // namespace

void
Put(const admission::renewal& aFrom, pb::ShareRenewal& aTo)
{
  aTo.set_holder(aFrom.holder.value);
  aTo.set_incarnation(aFrom.incarnation);
  aTo.set_epoch(aFrom.epoch);
  aTo.set_sequence(aFrom.sequence);
  aTo.set_accepted(aFrom.accepted);
  aTo.set_revision(aFrom.revision);
  aTo.set_serves_for_ns(aFrom.servesFor.count());
  aTo.set_is_leaving(aFrom.isLeaving);
  for (const admission::renewal_row& from : aFrom.rows) {
    pb::RenewalRow& to = *aTo.add_rows();
    Put(from.resource, *to.mutable_what());
    Put(from.held, *to.mutable_held());
    Put(from.floor, *to.mutable_floor());
    Put(from.demand, *to.mutable_want());
    to.set_returned(from.returned);
  }
}

std::optional<admission::renewal>
Get(const pb::ShareRenewal& aFrom)
{
  admission::renewal renewal;
  renewal.holder = { aFrom.holder() };
  renewal.incarnation = aFrom.incarnation();
  renewal.epoch = aFrom.epoch();
  renewal.sequence = aFrom.sequence();
  renewal.accepted = aFrom.accepted();
  renewal.revision = aFrom.revision();
  renewal.servesFor = nanoseconds{ aFrom.serves_for_ns() };
  renewal.isLeaving = aFrom.is_leaving();
  for (const pb::RenewalRow& row : aFrom.rows()) {
    const auto resource = Get(row.what());
    const auto held = Get(row.held());
    const auto floor = Get(row.floor());
    const auto demand = Get(row.want());
    if (!resource || !held || !floor || !demand) {
      return std::nullopt;
    }
    renewal.rows.push_back(
      { *resource, *held, *floor, *demand, row.returned() });
  }
  return renewal;
}

void
Put(const admission::grant& aFrom, pb::ShareGrant& aTo)
{
  aTo.set_holder(aFrom.holder.value);
  aTo.set_incarnation(aFrom.incarnation);
  aTo.set_epoch(aFrom.epoch);
  aTo.set_sequence(aFrom.sequence);
  aTo.set_serve_for_ns(aFrom.serveFor.count());
  aTo.set_reaches_root(aFrom.reachesRoot);
  for (const admission::grant_row& from : aFrom.rows) {
    pb::GrantRow& to = *aTo.add_rows();
    Put(from.resource, *to.mutable_what());
    Put(from.share, *to.mutable_share());
    Put(from.floor, *to.mutable_floor());
    to.set_tokens(from.tokens);
    to.set_lasts_ns(from.lasts.count());
    to.set_floor_lasts_ns(from.floorLasts.count());
  }
}

std::optional<admission::grant>
Get(const pb::ShareGrant& aFrom)
{
  admission::grant grant;
  grant.holder = { aFrom.holder() };
  grant.incarnation = aFrom.incarnation();
  grant.epoch = aFrom.epoch();
  grant.sequence = aFrom.sequence();
  grant.serveFor = nanoseconds{ aFrom.serve_for_ns() };
  grant.reachesRoot = aFrom.reaches_root();
  for (const pb::GrantRow& row : aFrom.rows()) {
    const auto resource = Get(row.what());
    const auto share = Get(row.share());
    const auto floor = Get(row.floor());
    if (!resource || !share || !floor || row.tokens() < 0) {
      return std::nullopt;
    }
    grant.rows.push_back({ *resource,
                           *share,
                           *floor,
                           row.tokens(),
                           nanoseconds{ row.lasts_ns() },
                           nanoseconds{ row.floor_lasts_ns() } });
  }
  return grant;
}

void
Put(const rates::quota_request& aFrom, pb::TokenDraw& aTo)
{
  aTo.set_sequence(aFrom.sequence);
  for (const rates::quota_request_row& from : aFrom.rows) {
    pb::DrawRow& to = *aTo.add_rows();
    Put(from.resource, *to.mutable_what());
    to.set_units(from.ahead);
    to.mutable_waiting()->Assign(from.waiting.begin(), from.waiting.end());
  }
}

std::optional<rates::quota_request>
Get(const pb::TokenDraw& aFrom)
{
  rates::quota_request request;
  request.sequence = aFrom.sequence();
  for (const pb::DrawRow& row : aFrom.rows()) {
    const auto resource = Get(row.what());
    const bool isValid =
      resource && row.units() >= 0 &&
      std::all_of(row.waiting().begin(),
                  row.waiting().end(),
                  [](std::int64_t aUnits) { return aUnits >= 0; });
    if (!isValid) {
      return std::nullopt;
    }
    request.rows.push_back({ *resource,
                             { row.waiting().begin(), row.waiting().end() },
                             row.units() });
  }
  return request;
}

void
Put(const rates::quota_grant& aFrom, pb::TokenAnswer& aTo)
{
  aTo.set_sequence(aFrom.sequence);
  for (const rates::quota_grant_row& from : aFrom.rows) {
    pb::DrawnRow& to = *aTo.add_rows();
    Put(from.resource, *to.mutable_what());
    to.set_units(from.units);
    to.set_refills_in_ns(from.refillsIn.count());
  }
}

std::optional<rates::quota_grant>
Get(const pb::TokenAnswer& aFrom)
{
  rates::quota_grant answer;
  answer.sequence = aFrom.sequence();
  for (const pb::DrawnRow& row : aFrom.rows()) {
    const auto resource = Get(row.what());
    if (!resource || row.units() < 0) {
      return std::nullopt;
    }
    answer.rows.push_back(
      { *resource, row.units(), nanoseconds{ row.refills_in_ns() } });
  }
  return answer;
}

void
PutBody(const share_renewal& aFrom, steady_time, pb::Envelope& aTo)
{
  auto* to = aTo.mutable_share_renewal();
  Put(aFrom.renewal, *to);
  to->set_domain(aFrom.domain);
  to->set_is_to_root(aFrom.isToRoot);
}

void
PutBody(const share_grant& aFrom, steady_time, pb::Envelope& aTo)
{
  Put(aFrom.grant, *aTo.mutable_share_grant());
}

void
PutBody(const rates::quota_request& aFrom, steady_time, pb::Envelope& aTo)
{
  Put(aFrom, *aTo.mutable_token_draw());
}

void
PutBody(const rates::quota_grant& aFrom, steady_time, pb::Envelope& aTo)
{
  Put(aFrom, *aTo.mutable_token_answer());
}

std::optional<message_body>
GetBody(const pb::ShareRenewal& aFrom, steady_time)
{
  auto renewal = Get(aFrom);
  if (!renewal) {
    return std::nullopt;
  }
  return share_renewal{ std::move(*renewal),
                        aFrom.domain(),
                        aFrom.is_to_root() };
}

std::optional<message_body>
GetBody(const pb::ShareGrant& aFrom, steady_time)
{
  auto grant = Get(aFrom);
  if (!grant) {
    return std::nullopt;
  }
  return share_grant{ std::move(*grant) };
}

std::optional<message_body>
GetBody(const pb::TokenDraw& aFrom, steady_time)
{
  auto request = Get(aFrom);
  return request ? std::optional<message_body>(std::move(*request))
                 : std::nullopt;
}

std::optional<message_body>
GetBody(const pb::TokenAnswer& aFrom, steady_time)
{
  auto answer = Get(aFrom);
  return answer ? std::optional<message_body>(std::move(*answer))
                : std::nullopt;
}

} // namespace bulrush::wire
