#include "admission/escrow_world.hpp"

#include <algorithm>

namespace bulrush::admission {

namespace {

using namespace std::chrono_literals;

const workspace_id kWorkspace = IdOf<workspace_id>("almanac");
const endpoint_id kEndpoint = IdOf<endpoint_id>("draft-1");

/// Longest delay of a delayed message.
constexpr auto kLongestDelay = 15s;

} // namespace

void
rate_oracle::SetLimit(const share& aLimit, steady_time aNow)
{
  mChanges.push_back({ aNow, aLimit });
}

std::size_t
rate_oracle::Spend(std::int64_t aUnits, steady_time aNow)
{
  mSpends.push_back({ aNow, aUnits });
  return mSpends.size() - 1;
}

void
rate_oracle::Correct(std::size_t aSpend, std::int64_t aUnits)
{
  mSpends[aSpend].units = aUnits;
}

std::int64_t
rate_oracle::Total() const
{
  std::int64_t total = 0;
  for (const spend& next : mSpends) {
    total += next.units;
  }
  return total;
}

share
rate_oracle::LimitAt(steady_time aNow) const
{
  share maximum;
  for (std::size_t i = 0; i < mChanges.size(); ++i) {
    const bool isLast = i + 1 == mChanges.size();
    const bool hasBegun = mChanges[i].at <= aNow;
    const bool isOver = !isLast && mChanges[i + 1].at + mLag < aNow;
    if (hasBegun && !isOver) {
      maximum = ComponentMax(maximum, mChanges[i].limit);
    }
  }
  return maximum;
}

// For each end of an interval the worst start is the one with the lowest value
// of burst + spent before - inflow before. A single pass tracks that minimum.
std::int64_t
rate_oracle::WorstExcess() const
{
  std::vector<steady_time> times;
  for (const change& next : mChanges) {
    times.push_back(next.at);
    times.push_back(next.at + mLag + 1ns);
  }
  for (const spend& next : mSpends) {
    times.push_back(next.at);
  }
  std::ranges::sort(times);
  long double inflow = 0;
  long double spent = 0;
  long double lowest = 1e30L;
  long double worst = 0;
  steady_time last = kWorldStart;
  share limit;
  std::size_t nextSpend = 0;
  for (const steady_time at : times) {
    const std::chrono::duration<long double> age = at - last;
    inflow += static_cast<long double>(limit.rate) * age.count();
    last = at;
    lowest =
      std::min(lowest, static_cast<long double>(limit.size) + spent - inflow);
    limit = LimitAt(at);
    lowest =
      std::min(lowest, static_cast<long double>(limit.size) + spent - inflow);
    while (nextSpend < mSpends.size() && mSpends[nextSpend].at <= at) {
      spent += static_cast<long double>(mSpends[nextSpend].units);
      ++nextSpend;
    }
    worst = std::max(worst, spent - inflow - lowest);
  }
  // A fraction of a unit is a rounding error of the oracle itself.
  return static_cast<std::int64_t>(worst);
}

escrow_world::escrow_world(escrow_world_settings aSettings, std::uint64_t aSeed)
  : mSettings(std::move(aSettings))
  , mRandom(aSeed)
  , mRate(mSettings.grace + mSettings.fleetLease)
{
  mRoot.tables.revision = mRevision;
  SetUpRoot();
  for (int domain = 0; domain < mSettings.domains; ++domain) {
    mDelegates.push_back(MakeDelegate(domain, 1));
    for (int i = 0; i < mSettings.hostsPerDomain; ++i) {
      const holder_id self{ 100 + mHosts.size() };
      mHosts.push_back(MakeHost(domain, 1, self));
    }
  }
}

bool
escrow_world::Chance(std::uint32_t aPerMille)
{
  return mRandom() % 1000 < aPerMille;
}

std::int64_t
escrow_world::Pick(std::int64_t aMin, std::int64_t aMax)
{
  const auto span = static_cast<std::uint64_t>(aMax - aMin + 1);
  return aMin + static_cast<std::int64_t>(mRandom() % span);
}

steady_time
escrow_world::ClockOf(const node& aNode, steady_time aTrueTime) const
{
  const std::chrono::nanoseconds age = aTrueTime - kWorldStart;
  return aTrueTime - age * aNode.clockDriftPerMille / 1000;
}

std::chrono::nanoseconds
escrow_world::TrueTime(const node& aNode, std::chrono::nanoseconds aTime) const
{
  return aTime * 1000 / (1000 - aNode.clockDriftPerMille) + 1ns;
}

void
escrow_world::SetUpRoot()
{
  auto& settings = mRoot.tables.settings;
  settings.isRoot = true;
  settings.epoch = mTerm;
  settings.shareLease = mSettings.fleetLease;
  settings.serveLease = mSettings.grace;
  settings.floorLease = mSettings.grace;
  settings.holderLease = mSettings.hostLease;
  settings.slotHold = mSettings.slotHold;
  settings.floorPerMille = 500;
  settings.floorHolders = mSettings.domains;
  settings.divide = mSettings.divide;
}

escrow_world::node
escrow_world::MakeDelegate(int aDomain, std::uint64_t aEpoch)
{
  node created;
  created.domain = aDomain;
  created.epoch = aEpoch;
  created.clockDriftPerMille =
    static_cast<std::uint32_t>(Pick(0, mSettings.maxDriftPerMille));
  auto& tables = created.tables;
  tables.settings.epoch = aEpoch;
  tables.settings.shareLease = mSettings.hostLease;
  tables.settings.serveLease = mSettings.hostLease;
  tables.settings.slotHold = mSettings.slotHold;
  tables.settings.divide = mSettings.divide;
  tables.settings.coverageKnownFrom =
    ClockOf(created, mNow) + mSettings.hostLease;
  const domain_id domain{ 1 + static_cast<std::uint64_t>(aDomain) };
  tables.link.self = HolderOf(domain, aEpoch);
  tables.link.incarnation = mIncarnations++;
  tables.link.epoch = mTerm;
  tables.revision = mRevision;
  tables.requiredRevision = mRevision;
  return created;
}

escrow_world::node
escrow_world::MakeHost(int aDomain, std::uint64_t aEpoch, holder_id aSelf)
{
  node created;
  created.domain = aDomain;
  created.clockDriftPerMille =
    static_cast<std::uint32_t>(Pick(0, mSettings.maxDriftPerMille));
  created.tables.link.self = aSelf;
  created.tables.link.incarnation = mIncarnations++;
  created.tables.link.epoch = aEpoch;
  created.tables.settings.slotHold = mSettings.slotHold;
  return created;
}

void
escrow_world::SetRateLimit(share aLimit)
{
  mRateLimit = aLimit;
  mPreviousLimits.push_back(aLimit);
  SetLimit(mRoot.tables, RateOf(kWorkspace), aLimit, mNow);
  mRate.SetLimit(aLimit, mNow);
}

void
escrow_world::SetSlotLimit(std::int64_t aSlots)
{
  mSlotLimit = aSlots;
  mSlotLimits.push_back({ mNow, mEndpointIncarnation, aSlots });
  const resource what = SlotsOf(kEndpoint, mEndpointIncarnation);
  SetLimit(mRoot.tables, what, { 0, aSlots }, mNow);
}

void
escrow_world::NewEndpointIncarnation()
{
  ++mEndpointIncarnation;
  VoidOlderIncarnations(mRoot.tables, kEndpoint, mEndpointIncarnation, mNow);
  SetSlotLimit(mSlotLimit);
}

void
escrow_world::NewRevision()
{
  mRoot.tables.revision = ++mRevision;
}

void
escrow_world::SetGreedy(int aHost, bool aIsGreedy)
{
  mHosts[static_cast<std::size_t>(aHost)].isGreedy = aIsGreedy;
}

void
escrow_world::SetSlotDemand(int aHost, bool aIsOn)
{
  mHosts[static_cast<std::size_t>(aHost)].requestsSlots = aIsOn;
}

void
escrow_world::PartitionDomain(int aDomain, bool aIsPartitioned)
{
  for (node& delegate : mDelegates) {
    if (delegate.domain == aDomain) {
      delegate.isPartitioned = aIsPartitioned;
    }
  }
}

void
escrow_world::PartitionHost(int aHost, bool aIsPartitioned)
{
  mHosts[static_cast<std::size_t>(aHost)].isPartitioned = aIsPartitioned;
}

// The process is replaced by one without state. Its requests may continue at
// the endpoints.
void
escrow_world::CrashHost(int aHost)
{
  node& host = mHosts[static_cast<std::size_t>(aHost)];
  const node previous = host;
  host = MakeHost(
    previous.domain, previous.tables.link.epoch, previous.tables.link.self);
  host.isPartitioned = previous.isPartitioned;
  host.isGreedy = previous.isGreedy;
  host.requestsSlots = previous.requestsSlots;
}

void
escrow_world::CrashDelegate(int aDomain)
{
  node& delegate =
    mDelegates[static_cast<std::size_t>(NewestDelegate(aDomain))];
  const bool isPartitioned = delegate.isPartitioned;
  const std::uint64_t revision = delegate.tables.revision;
  delegate = MakeDelegate(aDomain, delegate.epoch);
  delegate.isPartitioned = isPartitioned;
  delegate.tables.revision = revision;
  delegate.tables.requiredRevision = revision;
}

void
escrow_world::FreezeHost(int aHost, bool aIsFrozen)
{
  mHosts[static_cast<std::size_t>(aHost)].isFrozen = aIsFrozen;
}

void
escrow_world::FreezeDelegate(int aDomain, bool aIsFrozen)
{
  const auto newest = static_cast<std::size_t>(NewestDelegate(aDomain));
  mDelegates[newest].isFrozen = aIsFrozen;
}

void
escrow_world::ReplaceDelegate(int aDomain)
{
  const node& previous =
    mDelegates[static_cast<std::size_t>(NewestDelegate(aDomain))];
  mDelegates.push_back(MakeDelegate(aDomain, previous.epoch + 1));
}

void
escrow_world::MoveHost(int aHost)
{
  node& host = mHosts[static_cast<std::size_t>(aHost)];
  const node& newest =
    mDelegates[static_cast<std::size_t>(NewestDelegate(host.domain))];
  FollowParent(host.tables, newest.epoch, parent_succession::eStartsNew);
}

// From the log the new root knows all delegates so far and the limits in force
// during the last grace, but not the shares that the previous root recorded.
void
escrow_world::ReplaceRoot()
{
  ++mTerm;
  mRoot = node{};
  mRoot.tables.revision = mRevision;
  mRoot.tables.requiredRevision = mRevision;
  SetUpRoot();
  const auto hold = mSettings.slotHold;
  mRoot.tables.settings.previousGrantsUntil = mNow + mSettings.fleetLease;
  share maximum;
  for (const share& limit : mPreviousLimits) {
    maximum = ComponentMax(maximum, limit);
  }
  std::int64_t mostSlots = 0;
  for (const slot_limit& limit : mSlotLimits) {
    mostSlots = std::max(mostSlots, limit.slots);
  }
  const auto parts = 2 * mSettings.domains;
  const share floor{ maximum.rate / parts, maximum.size / parts };
  const share floorSlots{ 0, mostSlots / parts };
  SetLimit(mRoot.tables, RateOf(kWorkspace), mRateLimit, mNow);
  const resource slots = SlotsOf(kEndpoint, mEndpointIncarnation);
  SetLimit(mRoot.tables, slots, { 0, mSlotLimit }, mNow);
  for (const node& delegate : mDelegates) {
    const holder_id holder = delegate.tables.link.self;
    const steady_time until = mNow + mSettings.grace + hold;
    RecordAssumedShare(
      mRoot.tables, holder, RateOf(kWorkspace), floor, until, mNow);
    RecordAssumedShare(mRoot.tables, holder, slots, floorSlots, until, mNow);
  }
}

void
escrow_world::Send(message aMessage, bool aIsPartitioned)
{
  if (aIsPartitioned || Chance(mFaults.lost)) {
    return;
  }
  const int copies = Chance(mFaults.repeated) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    aMessage.dueAt = mNow + 1ms;
    if (Chance(mFaults.delayed)) {
      aMessage.dueAt += std::chrono::milliseconds{ Pick(
        0, std::chrono::milliseconds{ kLongestDelay }.count()) };
    }
    mMessages.push_back(aMessage);
  }
}

// Delivers the due messages in random order.
void
escrow_world::Deliver()
{
  std::ranges::shuffle(mMessages, mRandom);
  std::vector<message> later;
  for (message& next : mMessages) {
    if (next.dueAt > mNow) {
      later.push_back(std::move(next));
      continue;
    }
    node& to = next.isToRoot ? mRoot
               : next.toDelegate >= 0
                 ? mDelegates[static_cast<std::size_t>(next.toDelegate)]
                 : mHosts[static_cast<std::size_t>(next.toHost)];
    if (next.isRenewal) {
      to.tables.renewals.push_back(next.renewal);
    } else {
      to.tables.grants.push_back(next.grant);
    }
  }
  mMessages = std::move(later);
}

int
escrow_world::DelegateOf(const node& aHost) const
{
  for (std::size_t i = 0; i < mDelegates.size(); ++i) {
    if (mDelegates[i].domain == aHost.domain &&
        mDelegates[i].epoch == aHost.tables.link.epoch) {
      return static_cast<int>(i);
    }
  }
  return 0;
}

int
escrow_world::NewestDelegate(int aDomain) const
{
  int newest = 0;
  for (std::size_t i = 0; i < mDelegates.size(); ++i) {
    if (mDelegates[i].domain == aDomain) {
      newest = static_cast<int>(i);
    }
  }
  return newest;
}

void
escrow_world::TickRoot()
{
  escrow_outbox out;
  RunTick(kEscrowSystems, mRoot.tables, mNow, out);
  for (const grant& answer : out.grants) {
    for (std::size_t i = 0; i < mDelegates.size(); ++i) {
      if (mDelegates[i].tables.link.self == answer.holder) {
        message sent;
        sent.toDelegate = static_cast<int>(i);
        sent.grant = answer;
        Send(sent, mDelegates[i].isPartitioned);
      }
    }
  }
}

void
escrow_world::TickDelegate(int aDelegate)
{
  node& delegate = mDelegates[static_cast<std::size_t>(aDelegate)];
  if (delegate.isFrozen) {
    return;
  }
  if (!delegate.isPartitioned) {
    FollowParent(delegate.tables, mTerm, parent_succession::eContinues);
    if (Chance(100)) {
      delegate.tables.revision = mRevision;
    }
  }
  escrow_outbox out;
  RunTick(kEscrowSystems, delegate.tables, ClockOf(delegate, mNow), out);
  for (const renewal& report : out.renewals) {
    message sent;
    sent.isToRoot = true;
    sent.isRenewal = true;
    sent.renewal = report;
    Send(sent, delegate.isPartitioned);
  }
  for (const grant& answer : out.grants) {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (mHosts[i].tables.link.self == answer.holder) {
        message sent;
        sent.toHost = static_cast<int>(i);
        sent.grant = answer;
        Send(sent, mHosts[i].isPartitioned);
      }
    }
  }
}

// A greedy host consumes tokens before its tick, like a process that resumes
// after a suspension.
void
escrow_world::TickHost(int aHost)
{
  node& host = mHosts[static_cast<std::size_t>(aHost)];
  if (host.isFrozen) {
    return;
  }
  UseTokens(aHost);
  UseSlots(aHost);
  const int delegate = DelegateOf(host);
  const auto& parent = mDelegates[static_cast<std::size_t>(delegate)];
  if (!host.isPartitioned && Chance(100)) {
    host.tables.revision =
      std::max(host.tables.revision, parent.tables.revision);
  }
  escrow_outbox out;
  RunTick(kEscrowSystems, host.tables, ClockOf(host, mNow), out);
  EndRequests(aHost);
  UseTokens(aHost);
  for (const renewal& report : out.renewals) {
    message sent;
    sent.toDelegate = delegate;
    sent.isRenewal = true;
    sent.renewal = report;
    Send(sent, host.isPartitioned);
  }
}

void
escrow_world::UseTokens(int aHost)
{
  node& host = mHosts[static_cast<std::size_t>(aHost)];
  if (!host.isGreedy) {
    return;
  }
  const steady_time clock = ClockOf(host, mNow);
  for (int i = 0; i < 4; ++i) {
    const std::int64_t burst = mRateLimit.size / kUnitsPerToken;
    const std::int64_t tokens = Pick(1, std::max<std::int64_t>(1, burst / 3));
    const auto answer =
      ReserveTokens(host.tables, kWorkspace, tokens, 0ns, clock);
    if (answer.outcome != reserve_outcome::eReserved) {
      continue;
    }
    const std::size_t spend = mRate.Spend(tokens * kUnitsPerToken, mNow);
    const std::int64_t used = Pick(0, tokens);
    const steady_time ends = mNow + std::chrono::milliseconds{ Pick(0, 4000) };
    mRunning.push_back({ aHost,
                         host.tables.link.incarnation,
                         spend,
                         answer.reserved,
                         used,
                         ends });
  }
}

void
escrow_world::EndRequests(int aHost)
{
  node& host = mHosts[static_cast<std::size_t>(aHost)];
  std::erase_if(mRunning, [&](const running& aRequest) {
    if (aRequest.host != aHost || aRequest.endsAt > mNow) {
      return false;
    }
    mRate.Correct(aRequest.spend, aRequest.used * kUnitsPerToken);
    if (aRequest.hostIncarnation == host.tables.link.incarnation) {
      SettleTokens(
        host.tables, aRequest.reserved, aRequest.used, ClockOf(host, mNow));
    }
    return true;
  });
}

void
escrow_world::UseSlots(int aHost)
{
  node& host = mHosts[static_cast<std::size_t>(aHost)];
  if (!host.requestsSlots) {
    return;
  }
  const steady_time clock = ClockOf(host, mNow);
  const auto runs = std::chrono::milliseconds{ Pick(100, 3000) };
  if (AcquireSlot(
        host.tables, kEndpoint, mEndpointIncarnation, clock + runs, clock)) {
    ++mSlotsTaken;
    mSlots.push_back({ aHost,
                       host.tables.link.incarnation,
                       mEndpointIncarnation,
                       mNow + TrueTime(host, runs) });
  }
}

// Attempts end on time also when the host has crashed or is suspended, since
// the endpoint ends them.
void
escrow_world::EndSlots()
{
  std::erase_if(mSlots, [&](const slot_use& aUse) {
    if (aUse.endsAt > mNow) {
      return false;
    }
    node& host = mHosts[static_cast<std::size_t>(aUse.host)];
    if (host.tables.link.incarnation == aUse.hostIncarnation) {
      ReleaseSlot(host.tables, kEndpoint, aUse.endpointIncarnation);
    }
    return true;
  });
}

void
escrow_world::CheckSlots()
{
  const auto lag = mSettings.grace + mSettings.fleetLease + mSettings.slotHold;
  for (std::uint64_t inc = 1; inc <= mEndpointIncarnation; ++inc) {
    const auto used =
      std::ranges::count(mSlots, inc, &slot_use::endpointIncarnation);
    std::int64_t limit = 0;
    for (std::size_t i = 0; i < mSlotLimits.size(); ++i) {
      const auto next = std::ranges::find(mSlotLimits.begin() +
                                            static_cast<std::ptrdiff_t>(i) + 1,
                                          mSlotLimits.end(),
                                          inc,
                                          &slot_limit::incarnation);
      const bool isOver = next != mSlotLimits.end() && next->at + lag < mNow;
      if (mSlotLimits[i].incarnation == inc && !isOver) {
        limit = std::max(limit, mSlotLimits[i].slots);
      }
    }
    if (used > limit && mFault.empty()) {
      mFault = "endpoint incarnation " + std::to_string(inc) + " has " +
               std::to_string(used) + " slots in use of " +
               std::to_string(limit);
    }
  }
}

// Once a revision is covered everywhere, no host serves by an older one.
void
escrow_world::CheckRevisions()
{
  bool areAllKnown = mNow >= mRoot.tables.settings.coverageKnownFrom;
  if (areAllKnown) {
    mAccepted = std::max(mAccepted, CoveredRevision(mRoot.tables, mNow));
  }
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    const node& host = mHosts[i];
    if (HostMayServe(static_cast<int>(i)) && host.tables.revision < mAccepted &&
        mFault.empty()) {
      mFault = "host " + std::to_string(i) + " serves by revision " +
               std::to_string(host.tables.revision) + " after " +
               std::to_string(mAccepted) + " was accepted";
    }
  }
}

void
escrow_world::Advance(std::chrono::nanoseconds aTime, link_faults aFaults)
{
  mFaults = aFaults;
  const steady_time until = mNow + aTime;
  while (mNow < until) {
    mNow += mSettings.step;
    EndSlots();
    Deliver();
    TickRoot();
    for (std::size_t i = 0; i < mDelegates.size(); ++i) {
      TickDelegate(static_cast<int>(i));
    }
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      TickHost(static_cast<int>(i));
    }
    CheckSlots();
    CheckRevisions();
  }
}

const escrow_tables&
escrow_world::HostTables(int aHost) const
{
  return mHosts[static_cast<std::size_t>(aHost)].tables;
}

const escrow_tables&
escrow_world::DelegateTables(int aDomain) const
{
  return mDelegates[static_cast<std::size_t>(NewestDelegate(aDomain))].tables;
}

bool
escrow_world::HostMayServe(int aHost) const
{
  const node& host = mHosts[static_cast<std::size_t>(aHost)];
  return MayServe(host.tables.link, ClockOf(host, mNow));
}

} // namespace bulrush::admission
