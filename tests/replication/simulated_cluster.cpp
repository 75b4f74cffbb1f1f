#include "simulated_cluster.hpp"

#include <algorithm>

namespace bulrush {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kMinDelay{ 500 };
constexpr microseconds kMaxDelay{ 15000 };
constexpr char kSeparator = '\n';

std::string
JoinState(const std::vector<std::string>& aState)
{
  std::string joined;
  for (const std::string& payload : aState) {
    joined += payload + kSeparator;
  }
  return joined;
}

std::vector<std::string>
SplitState(const std::string& aJoined)
{
  std::vector<std::string> state;
  std::size_t begin = 0;
  while (begin < aJoined.size()) {
    const std::size_t end = aJoined.find(kSeparator, begin);
    state.push_back(aJoined.substr(begin, end - begin));
    begin = end + 1;
  }
  return state;
}

} // namespace

// ---- oracle -----------------------------------------------------------------

void
log_oracle::RecordCommit(const log_entry& aEntry)
{
  const auto [found, isNew] = mLog.emplace(aEntry.index, aEntry);
  if (!isNew && !(found->second == aEntry)) {
    throw guarantee_violation("two entries were committed at index " +
                              std::to_string(aEntry.index));
  }
}

void
log_oracle::RecordLeader(log_term aTerm, replica_id aLeader)
{
  const auto [found, isNew] = mLeaders.emplace(aTerm, aLeader);
  if (!isNew && found->second != aLeader) {
    throw guarantee_violation("two leaders in term " + std::to_string(aTerm));
  }
}

void
log_oracle::RecordAcknowledgement(const std::string& aPayload,
                                  log_index aIndex,
                                  microseconds aNow)
{
  mAcknowledged.insert(aPayload);
  mHighestAcknowledged = std::max(mHighestAcknowledged, aIndex);
  mAcknowledgedAt[aNow] = mHighestAcknowledged;
}

void
log_oracle::CheckConfirmation(microseconds aAt, log_index aIndex) const
{
  const auto after = mAcknowledgedAt.lower_bound(aAt);
  if (after != mAcknowledgedAt.begin() && std::prev(after)->second > aIndex) {
    throw guarantee_violation(
      "a replica at index " + std::to_string(aIndex) +
      " states that this was all " + std::to_string(aAt.count()) +
      " us after the start, when " + std::to_string(std::prev(after)->second) +
      " had been acknowledged");
  }
}

void
log_oracle::CheckRead(log_index aIndex) const
{
  if (aIndex < mHighestAcknowledged) {
    throw guarantee_violation("a read at index " + std::to_string(aIndex) +
                              " misses the acknowledged write at " +
                              std::to_string(mHighestAcknowledged));
  }
}

log_index
log_oracle::LastCommitted() const
{
  return mLog.empty() ? 0 : mLog.rbegin()->first;
}

void
log_oracle::CheckState(const std::vector<std::string>& aState) const
{
  std::vector<std::string> expected;
  for (const auto& [index, entry] : mLog) {
    if (entry.kind == entry_kind::ePayload) {
      expected.push_back(entry.payload);
    }
  }
  if (aState != expected) {
    throw guarantee_violation(
      "a replica's state differs from the committed log");
  }
  const std::set<std::string> held(aState.begin(), aState.end());
  if (held.size() != aState.size()) {
    throw guarantee_violation("a payload was committed twice");
  }
  for (const std::string& payload : mAcknowledged) {
    if (!held.contains(payload)) {
      throw guarantee_violation("the acknowledged " + payload + " is lost");
    }
  }
}

// ---- disk -------------------------------------------------------------------

memory_disk::memory_disk(replica_id aIdentity)
{
  mDurable.identity = aIdentity;
}

std::optional<stored>
memory_disk::Write(std::function<void(recovered_log&)> aWrite,
                   last_reason& aReason)
{
  if (failsWrite) {
    return Fail(aReason, "write", "memory disk", "no space left");
  }
  mUnsynced.push_back(std::move(aWrite));
  return stored{};
}

void
memory_disk::Crash(std::size_t aSurviving)
{
  const std::size_t count = std::min(aSurviving, mUnsynced.size());
  for (std::size_t i = 0; i < count; ++i) {
    mUnsynced[i](mDurable);
  }
  mUnsynced.clear();
}

storage_hooks
memory_disk::Hooks()
{
  storage_hooks hooks;
  hooks.append = [this](std::span<const log_entry> aEntries,
                        last_reason& aReason) {
    const std::vector<log_entry> copy(aEntries.begin(), aEntries.end());
    return Write(
      [copy](recovered_log& aLog) {
        aLog.entries.insert(aLog.entries.end(), copy.begin(), copy.end());
      },
      aReason);
  };
  hooks.truncate = [this](log_index aFrom, last_reason& aReason) {
    return Write(
      [aFrom](recovered_log& aLog) {
        aLog.entries.resize(aFrom - aLog.base.index - 1);
      },
      aReason);
  };
  hooks.saveVote = [this](const ballot& aVote, last_reason& aReason) {
    return Write([aVote](recovered_log& aLog) { aLog.vote = aVote; }, aReason);
  };
  hooks.saveCommit = [this](log_index aIndex, last_reason& aReason) {
    return Write([aIndex](recovered_log& aLog) { aLog.commit = aIndex; },
                 aReason);
  };
  hooks.sync = [this](last_reason& aReason) -> std::optional<stored> {
    if (failsSync) {
      return Fail(aReason, "sync", "memory disk", "input/output error");
    }
    Crash(mUnsynced.size());
    return stored{};
  };
  hooks.saveSnapshot = [this](const log_snapshot& aSnapshot,
                              log_index aDropThrough,
                              last_reason& aReason) -> std::optional<stored> {
    if (failsWrite || failsSync) {
      return Fail(aReason, "save snapshot", "memory disk", "no space left");
    }
    Crash(mUnsynced.size());
    std::vector<log_entry> kept;
    log_position base = aSnapshot.at;
    bool holds = mDurable.base == aSnapshot.at;
    for (const log_entry& entry : mDurable.entries) {
      holds = holds || (entry.index == aSnapshot.at.index &&
                        entry.term == aSnapshot.at.term);
    }
    if (holds) {
      base = mDurable.base;
      for (const log_entry& entry : mDurable.entries) {
        if (entry.index <= aDropThrough) {
          base = { entry.index, entry.term };
        } else {
          kept.push_back(entry);
        }
      }
    }
    mDurable.base = base;
    mDurable.entries = std::move(kept);
    mDurable.snapshot = aSnapshot;
    return stored{};
  };
  return hooks;
}

// ---- cluster ----------------------------------------------------------------

simulated_cluster::simulated_cluster(std::size_t aCount, std::uint64_t aSeed)
  : mRandom(aSeed)
{
  settings.heartbeat = milliseconds(30);
  settings.electionTimeout = milliseconds(200);
  settings.leaseMargin = milliseconds(20);
  settings.snapshotAfterEntries = 12;
  settings.keptEntries = 4;
  settings.maxBatchBytes = 200;
  settings.seed = aSeed;
  membership members;
  for (std::size_t i = 0; i < aCount; ++i) {
    AddHost();
    members.push_back({ hosts[i].Id(), member_kind::eVoter, hosts[i].name });
  }
  last_reason reason;
  if (!BootstrapLog(*hosts[0].tables, members, reason)) {
    throw guarantee_violation(Describe(reason));
  }
}

bool
simulated_cluster::RandomlyTrue(double aRate)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aRate;
}

replica_id
simulated_cluster::NewIdentity()
{
  return { mRandom() | 1U };
}

std::size_t
simulated_cluster::AddHost()
{
  simulated_replica host;
  host.name = "host-" + std::to_string(hosts.size());
  host.disk = std::make_shared<memory_disk>(NewIdentity());
  host.clockOffset = milliseconds(mRandom() % 1000000);
  host.clockRate = 0.98 + 0.02 * static_cast<double>(mRandom() % 3);
  hosts.push_back(std::move(host));
  Start(hosts.size() - 1);
  return hosts.size() - 1;
}

steady_time
simulated_cluster::ClockOf(std::size_t aHost) const
{
  const simulated_replica& host = hosts[aHost];
  const auto elapsed = microseconds(static_cast<std::int64_t>(
    static_cast<double>(now.count()) * host.clockRate));
  return steady_time(host.clockOffset + elapsed);
}

void
simulated_cluster::Start(std::size_t aHost)
{
  simulated_replica& host = hosts[aHost];
  if (host.tables) {
    return;
  }
  host.stopped.reset();
  host.state.clear();
  host.disk->failsSync = false;
  host.disk->failsWrite = false;
  replica_settings hostSettings = settings;
  hostSettings.name = host.name;
  hostSettings.seed += host.starts++; // another at each start, as from OpenLog
  host.tables = StartReplica(
    hostSettings, host.disk->Durable(), host.disk->Hooks(), ClockOf(aHost));
  host.wake = now;
}

void
simulated_cluster::Crash(std::size_t aHost)
{
  hosts[aHost].tables.reset();
  hosts[aHost].waiting.clear();
  hosts[aHost].disk->Crash(mRandom() % 4);
  hosts[aHost].pausedUntil = microseconds(0);
}

void
simulated_cluster::Wipe(std::size_t aHost)
{
  Crash(aHost);
  hosts[aHost].disk = std::make_shared<memory_disk>(NewIdentity());
}

void
simulated_cluster::Pause(std::size_t aHost, milliseconds aDuration)
{
  hosts[aHost].pausedUntil = now + aDuration;
}

void
simulated_cluster::Cut(std::size_t aLeft, std::size_t aRight)
{
  mCutLinks.insert({ std::min(aLeft, aRight), std::max(aLeft, aRight) });
}

void
simulated_cluster::Isolate(std::size_t aHost)
{
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (i != aHost) {
      Cut(aHost, i);
    }
  }
}

void
simulated_cluster::Heal()
{
  mCutLinks.clear();
}

std::optional<std::size_t>
simulated_cluster::HostOf(replica_id aId) const
{
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (hosts[i].Id() == aId) {
      return i;
    }
  }
  return std::nullopt;
}

void
simulated_cluster::Send(std::size_t aFrom, const replica_message& aMessage)
{
  const auto to = HostOf(HeaderOf(aMessage).to);
  if (!to ||
      mCutLinks.contains({ std::min(aFrom, *to), std::max(aFrom, *to) })) {
    return;
  }
  const int copies = 1 + (RandomlyTrue(repeatRate) ? 1 : 0);
  for (int i = 0; i < copies; ++i) {
    if (RandomlyTrue(lossRate)) {
      continue;
    }
    std::uniform_int_distribution<std::int64_t> delay(kMinDelay.count(),
                                                      kMaxDelay.count());
    mLinks.emplace(now + microseconds(delay(mRandom)),
                   simulated_message{ *to, aMessage });
  }
}

void
simulated_cluster::Acknowledge(simulated_replica& aHost,
                               const log_entry& aEntry)
{
  for (const proposal& waiting : aHost.waiting) {
    if (waiting.at.index == aEntry.index && waiting.at.term == aEntry.term) {
      if (aEntry.payload != waiting.payload) {
        throw guarantee_violation(
          "another payload was committed at a proposal's position");
      }
      oracle.RecordAcknowledgement(waiting.payload, aEntry.index, now);
    }
  }
  std::erase_if(aHost.waiting, [&](const proposal& aWaiting) {
    return aWaiting.at.index <= aEntry.index;
  });
}

void
simulated_cluster::Apply(std::size_t aHost, replica_outbox& aOutbox)
{
  simulated_replica& host = hosts[aHost];
  if (aOutbox.install) {
    host.state = SplitState(aOutbox.install->state);
  }
  for (const log_entry& entry : aOutbox.committed) {
    oracle.RecordCommit(entry);
    if (entry.kind == entry_kind::ePayload) {
      host.state.push_back(entry.payload);
    }
    Acknowledge(host, entry);
  }
  if (aOutbox.snapshotDue) {
    last_reason reason;
    SaveSnapshot(*host.tables, JoinState(host.state), reason);
  }
}

// Called after each step: every replica that holds the lease serves a read.
void
simulated_cluster::CheckReads()
{
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    last_reason reason;
    if (!hosts[i].tables) {
      continue;
    }
    if (const auto index = ReadIndex(*hosts[i].tables, ClockOf(i), reason)) {
      oracle.CheckRead(*index);
    }
  }
}

// A follower takes an age off that was measured by the leader's clock, which
// stands for at most an election timeout.
void
simulated_cluster::CheckConfirmations() const
{
  constexpr double kMaxRateDifference = 0.05;
  const auto tolerance = std::chrono::duration_cast<microseconds>(
    settings.electionTimeout * kMaxRateDifference);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const simulated_replica& host = hosts[i];
    if (!host.tables) {
      continue;
    }
    const steady_time confirmedAt = ConfirmedAt(*host.tables, ClockOf(i));
    if (confirmedAt == steady_time::min()) {
      continue;
    }
    const auto elapsed = std::chrono::duration_cast<microseconds>(
      confirmedAt.time_since_epoch() - host.clockOffset);
    const microseconds at{ static_cast<std::int64_t>(
      static_cast<double>(elapsed.count()) / host.clockRate) };
    oracle.CheckConfirmation(at - tolerance, host.tables->released);
  }
}

void
simulated_cluster::RunHost(std::size_t aHost)
{
  simulated_replica& host = hosts[aHost];
  if (!host.tables) {
    return;
  }
  replica_outbox outbox;
  RunReplica(*host.tables, ClockOf(aHost), outbox);
  if (outbox.fatal) {
    host.stopped = outbox.fatal;
    Crash(aHost);
    return;
  }
  if (host.tables->role == replica_role::eLeader) {
    oracle.RecordLeader(host.tables->vote.term, host.Id());
  }
  Apply(aHost, outbox);
  for (const replica_message& message : outbox.messages) {
    Send(aHost, message);
  }
  const double wait = static_cast<double>(
    std::chrono::duration_cast<microseconds>(outbox.wake.at - ClockOf(aHost))
      .count());
  host.wake = now + microseconds(std::max<std::int64_t>(
                      1, static_cast<std::int64_t>(wait / host.clockRate) + 2));
  CheckReads();
  CheckConfirmations();
}

bool
simulated_cluster::RunUntil(const std::function<bool()>& aDone,
                            milliseconds aLimit)
{
  const microseconds end = now + aLimit;
  while (!aDone()) {
    microseconds next = end;
    std::optional<std::size_t> due;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const microseconds wake = std::max(hosts[i].wake, hosts[i].pausedUntil);
      if (hosts[i].tables && wake < next) {
        next = wake;
        due = i;
      }
    }
    if (!mLinks.empty() && mLinks.begin()->first < next) {
      auto node = mLinks.extract(mLinks.begin());
      now = std::max(now, node.key());
      simulated_message& arrived = node.mapped();
      simulated_replica& host = hosts[arrived.to];
      if (!host.tables) {
        continue;
      }
      deliveredChunks +=
        std::holds_alternative<snapshot_chunk>(arrived.message) ? 1 : 0;
      Deliver(*host.tables, std::move(arrived.message), ClockOf(arrived.to));
      if (host.pausedUntil <= now) {
        RunHost(arrived.to);
      }
      continue;
    }
    now = std::max(now, next);
    if (!due) {
      return aDone();
    }
    RunHost(*due);
  }
  return true;
}

void
simulated_cluster::Run(milliseconds aDuration)
{
  RunUntil([] { return false; }, aDuration);
}

std::optional<log_position>
simulated_cluster::ProposeAt(std::size_t aHost)
{
  simulated_replica& host = hosts[aHost];
  if (!host.tables || host.pausedUntil > now) {
    return std::nullopt;
  }
  last_reason reason;
  const std::string payload = "payload-" + std::to_string(++mProposals);
  const auto at = Propose(*host.tables, payload, reason);
  if (at) {
    host.waiting.push_back({ payload, *at });
    host.wake = now;
  }
  return at;
}

std::optional<std::size_t>
simulated_cluster::Leader() const
{
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (hosts[i].tables && hosts[i].pausedUntil <= now &&
        IsLeaseHeld(*hosts[i].tables, ClockOf(i))) {
      return i;
    }
  }
  return std::nullopt;
}

std::size_t
simulated_cluster::AwaitLeader()
{
  if (!RunUntil([&] { return Leader().has_value(); }, milliseconds(20000))) {
    throw guarantee_violation("no leader within 20 s");
  }
  return *Leader();
}

bool
simulated_cluster::ProposeAndAwait(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::size_t before = oracle.AcknowledgedCount();
    bool acknowledged = false;
    for (int attempt = 0; attempt < 5 && !acknowledged; ++attempt) {
      if (!RunUntil([&] { return Leader().has_value(); }, milliseconds(5000))) {
        return false;
      }
      ProposeAt(*Leader());
      acknowledged = RunUntil(
        [&] { return oracle.AcknowledgedCount() > before; }, milliseconds(500));
    }
    if (!acknowledged) {
      return false;
    }
  }
  return true;
}

bool
simulated_cluster::Replace(std::size_t aOld,
                           replica_id aOldId,
                           std::size_t aNew)
{
  const log_member newMember{ hosts[aNew].Id(),
                              member_kind::eLearner,
                              hosts[aNew].name };
  const auto isDone = [&] {
    const auto leader = Leader();
    if (!leader || *leader == aOld) {
      return false;
    }
    const replica_tables& tables = *hosts[*leader].tables;
    bool isOldRemoved = true;
    bool isNewVoter = false;
    for (const log_member& member : tables.members) {
      isOldRemoved = isOldRemoved && member.id != aOldId;
      isNewVoter = isNewVoter || (member.id == newMember.id &&
                                  member.kind == member_kind::eVoter);
    }
    return isOldRemoved && isNewVoter && tables.membersIndex <= tables.commit;
  };
  for (int attempt = 0; attempt < 20; ++attempt) {
    if (isDone()) {
      return true;
    }
    if (const auto leader = Leader()) {
      last_reason reason;
      ReplaceMember(*hosts[*leader].tables, aOldId, newMember, reason);
      hosts[*leader].wake = now;
    }
    RunUntil(isDone, milliseconds(500));
  }
  return isDone();
}

void
simulated_cluster::EndFaultsAndCheck()
{
  Heal();
  lossRate = 0;
  repeatRate = 0;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].pausedUntil = microseconds(0);
    hosts[i].disk->failsSync = false;
    hosts[i].disk->failsWrite = false;
    if (hosts[i].tables && hosts[i].tables->fatal) {
      Crash(i); // its process ends at its next tick
    }
    Start(i);
  }
  if (!ProposeAndAwait(1)) {
    throw guarantee_violation("no proposal is accepted after all faults ended");
  }
  Run(milliseconds(2000));
  const std::size_t leader = AwaitLeader();
  for (const log_member& member : hosts[leader].tables->members) {
    const auto host = HostOf(member.id);
    if (host) {
      oracle.CheckState(hosts[*host].state);
    }
  }
}

} // namespace bulrush
