/// bulrush-bench-admission: a deterministic workload for the admission library.
/// Compares demand-driven shares with fixed ones, times an allotment round and
/// prints a signature that changes only when a decision does.

#include "admission/admission.hpp"
#include "apps/bench_signature.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace bulrush::admission {
namespace {

using bench_clock = std::chrono::steady_clock;

constexpr steady_time kStart{ std::chrono::hours{ 1 } };
constexpr std::chrono::milliseconds kStep{ 10 };
constexpr std::chrono::minutes kDuration{ 10 };
constexpr std::size_t kWorkspaces = 5;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kHosts = 8;
constexpr std::int64_t kTokensPerSecond = 2'000;
constexpr std::int64_t kBurstTokens = 8'000;

resource
RateResource(std::size_t aWorkspace)
{
  return RateOf(workspace_id{ aWorkspace + 1 });
}

/// A request that is queued at a host for tokens.
struct waiting_row
{
  std::size_t workspace = 0;
  std::int64_t tokens = 0;
  steady_time arrivedAt;
  bool isWithinRate = false;
};

struct host
{
  escrow_tables tables;
  std::size_t domain = 0;
  std::vector<waiting_row> waiting;
};

struct sharing_result
{
  std::int64_t requests = 0;
  std::int64_t withinRate = 0; ///< admitted by one bucket for the whole fleet
  std::int64_t refusedWithinRate = 0; ///< within the rate, yet refused
  std::int64_t admitted = 0;
  std::uint64_t signature = 1;
};

/// Eight hosts in three failure domains; messages are never lost or delayed.
class sharing_fleet
{
public:
  explicit sharing_fleet(const division_rule& aDivide)
    : mDelegates(kDomains)
    , mHosts(kHosts)
  {
    mRoot.settings.isRoot = true;
    mRoot.settings.shareLease = std::chrono::seconds{ 6 };
    mRoot.settings.serveLease = std::chrono::hours{ 1 };
    mRoot.settings.floorLease = std::chrono::hours{ 1 };
    mRoot.settings.floorPerMille = 500;
    mRoot.settings.floorHolders = kDomains;
    mRoot.settings.divide = aDivide;
    const share limit{ kTokensPerSecond * kUnitsPerToken,
                       kBurstTokens * kUnitsPerToken };
    for (std::size_t workspace = 0; workspace < kWorkspaces; ++workspace) {
      SetLimit(mRoot, RateResource(workspace), limit, kStart);
      token_bucket bucket;
      bucket.filledAt = kStart;
      Resize(bucket, limit, kStart);
      mOracles.push_back(bucket);
    }
    for (std::size_t i = 0; i < kDomains; ++i) {
      mDelegates[i].settings.shareLease = std::chrono::seconds{ 2 };
      mDelegates[i].settings.divide = aDivide;
      mDelegates[i].link.self = holder_id{ 100 + i };
      mDelegates[i].link.incarnation = 1;
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      mHosts[i].domain = i % kDomains;
      mHosts[i].tables.link.self = holder_id{ i + 1 };
      mHosts[i].tables.link.incarnation = 1;
    }
  }

  // Each workspace requests three quarters of its rate on average: every 5 s it
  // becomes busy or idle at random and another host receives half of its
  // requests, the rest is spread over all hosts.
  sharing_result Run()
  {
    random_engine random{ 20261204 };
    std::array<std::size_t, kWorkspaces> favoured{};
    std::array<bool, kWorkspaces> isBusy{};
    steady_time nextLoadChange = kStart;
    for (steady_time now = kStart; now < kStart + kDuration; now += kStep) {
      if (now >= nextLoadChange) {
        nextLoadChange = now + std::chrono::seconds{ 5 };
        for (std::size_t i = 0; i < kWorkspaces; ++i) {
          favoured[i] = random() % kHosts;
          isBusy[i] = random() % 2 == 0;
        }
      }
      for (std::size_t i = 0; i < kWorkspaces; ++i) {
        // On average 400 tokens per request and 1.5 times the rate while busy.
        const std::uint64_t perMille = isBusy[i] ? 75 : 0;
        if (random() % 1000 < perMille) {
          const bool isFavoured = random() % 2 == 0;
          const std::size_t at = isFavoured ? favoured[i] : random() % kHosts;
          Submit(mHosts[at],
                 i,
                 100 + static_cast<std::int64_t>(random() % 601),
                 now);
        }
      }
      TickAll(now);
    }
    return mResult;
  }

private:
  void Submit(host& aHost,
              std::size_t aWorkspace,
              std::int64_t aTokens,
              steady_time aNow)
  {
    waiting_row row{ aWorkspace, aTokens, aNow, false };
    row.isWithinRate =
      TryConsume(mOracles[aWorkspace], aTokens * kUnitsPerToken, aNow);
    ++mResult.requests;
    mResult.withinRate += row.isWithinRate ? 1 : 0;
    if (!TryAdmit(aHost, row, aNow)) {
      aHost.waiting.push_back(row);
    }
  }

  bool TryAdmit(host& aHost, const waiting_row& aRow, steady_time aNow)
  {
    const auto answer = ReserveTokens(aHost.tables,
                                      workspace_id{ aRow.workspace + 1 },
                                      aRow.tokens,
                                      aNow - aRow.arrivedAt,
                                      aNow);
    if (answer.outcome == reserve_outcome::ePending) {
      return false;
    }
    const bool isAdmitted = answer.outcome == reserve_outcome::eReserved;
    mResult.admitted += isAdmitted ? 1 : 0;
    mResult.refusedWithinRate += !isAdmitted && aRow.isWithinRate ? 1 : 0;
    Mix(mResult.signature, isAdmitted ? 1 : 2);
    if (isAdmitted) {
      SettleTokens(aHost.tables, answer.reserved, aRow.tokens, aNow);
    }
    return true;
  }

  void TickAll(steady_time aNow)
  {
    for (host& next : mHosts) {
      escrow_outbox out;
      RunTick(kEscrowSystems, next.tables, aNow, out);
      std::erase_if(next.waiting, [&](const waiting_row& aRow) {
        return TryAdmit(next, aRow, aNow);
      });
      auto& inbox = mDelegates[next.domain].renewals;
      std::ranges::move(out.renewals, std::back_inserter(inbox));
    }
    for (escrow_tables& delegate : mDelegates) {
      escrow_outbox out;
      RunTick(kEscrowSystems, delegate, aNow, out);
      std::ranges::move(out.renewals, std::back_inserter(mRoot.renewals));
      for (grant& next : out.grants) {
        mHosts[next.holder.value - 1].tables.grants.push_back(std::move(next));
      }
    }
    escrow_outbox out;
    RunTick(kEscrowSystems, mRoot, aNow, out);
    for (grant& next : out.grants) {
      mDelegates[next.holder.value - 100].grants.push_back(std::move(next));
    }
  }

  escrow_tables mRoot;
  std::vector<escrow_tables> mDelegates;
  std::vector<host> mHosts;
  std::vector<token_bucket> mOracles;
  sharing_result mResult;
};

void
PrintSharing(const char* aName, const sharing_result& aResult)
{
  fmt::print("{:<16} asked {} within the rate {} admitted {} refused although "
             "within the rate {} ({:.2f}%)\n",
             aName,
             aResult.requests,
             aResult.withinRate,
             aResult.admitted,
             aResult.refusedWithinRate,
             100.0 * static_cast<double>(aResult.refusedWithinRate) /
               static_cast<double>(aResult.withinRate));
}

/// Times the allotment of one delegate with 41 hosts and 100 workspaces, where
/// every host renews in each round.
void
RunRounds(std::uint64_t& aSignature)
{
  constexpr std::size_t kRoundHosts = 41;
  constexpr std::size_t kRoundWorkspaces = 100;
  constexpr int kRounds = 50;
  escrow_tables delegate;
  delegate.settings.isRoot = true;
  for (std::size_t i = 0; i < kRoundWorkspaces; ++i) {
    SetLimit(delegate, RateResource(i), { 1'000'000, 4'000'000 }, kStart);
  }
  random_engine random{ 7 };
  std::vector<escrow_tables> hosts(kRoundHosts);
  for (std::size_t i = 0; i < kRoundHosts; ++i) {
    hosts[i].link.self = holder_id{ i + 1 };
    hosts[i].link.incarnation = 1;
  }
  bench_clock::duration total{};
  for (int round = 0; round < kRounds; ++round) {
    const steady_time now = kStart + std::chrono::seconds{ round };
    for (escrow_tables& next : hosts) {
      for (std::size_t i = 0; i < kRoundWorkspaces; ++i) {
        HoldingOf(next, RateResource(i), now).demandUnits +=
          static_cast<std::int64_t>(random() % 100'000);
      }
      escrow_outbox out;
      RunTick(kEscrowSystems, next, now, out);
      std::ranges::move(out.renewals, std::back_inserter(delegate.renewals));
    }
    const auto before = bench_clock::now();
    escrow_outbox out;
    RunTick(kEscrowSystems, delegate, now, out);
    total += bench_clock::now() - before;
    for (grant& next : out.grants) {
      for (const grant_row& row : next.rows) {
        Mix(aSignature, static_cast<std::uint64_t>(row.share.rate));
      }
      hosts[next.holder.value - 1].grants.push_back(std::move(next));
    }
  }
  const std::chrono::duration<double, std::milli> perRound = total / kRounds;
  fmt::print("allotment round, {} hosts, {} workspaces: {:.2f} ms\n",
             kRoundHosts,
             kRoundWorkspaces,
             perRound.count());
}

int
Run()
{
  const sharing_result byDemand = sharing_fleet(DivideByDemand).Run();
  const sharing_result equal = sharing_fleet(DivideEqually).Run();
  PrintSharing("by demand", byDemand);
  PrintSharing("fixed and equal", equal);
  std::uint64_t signature = byDemand.signature;
  Mix(signature, equal.signature);
  RunRounds(signature);
  fmt::print("signature: {:016x}\n", signature);
  return 0;
}

} // namespace
} // namespace bulrush::admission

int
main()
{
  return bulrush::admission::Run();
}
