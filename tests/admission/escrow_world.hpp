#ifndef BULRUSH_TESTS_ADMISSION_ESCROW_WORLD_HPP
#define BULRUSH_TESTS_ADMISSION_ESCROW_WORLD_HPP

/// Simulated nodes of all three levels, links that lose, repeat, delay and
/// reorder messages, and oracles that observe only admitted tokens, slots in
/// use and serving hosts.

#include "admission/admission.hpp"

#include <deque>
#include <string>

namespace bulrush::admission {

/// Start time of every simulation.
inline constexpr steady_time kWorldStart{ std::chrono::hours{ 1 } };

/// Records admissions and limits, and checks every interval at the end.
class rate_oracle
{
public:
  explicit rate_oracle(std::chrono::nanoseconds aLag)
    : mLag(aLag)
  {
  }
  void SetLimit(const share& aLimit, steady_time aNow);
  /// Records an admission; returns its index.
  std::size_t Spend(std::int64_t aUnits, steady_time aNow);
  /// Corrects an admission to the units that it used in the end.
  void Correct(std::size_t aSpend, std::int64_t aUnits);
  /// Units above burst + rate * time in the worst interval; 0 if none exceeds.
  std::int64_t WorstExcess() const;
  std::size_t Count() const { return mSpends.size(); }
  std::int64_t Total() const;

private:
  struct change
  {
    steady_time at;
    share limit;
  };
  struct spend
  {
    steady_time at;
    std::int64_t units;
  };
  /// The largest limit that was in force within the lag before aNow.
  share LimitAt(steady_time aNow) const;

  std::chrono::nanoseconds mLag;
  std::vector<change> mChanges;
  std::vector<spend> mSpends;
};

/// Probabilities of message faults, in thousandths.
struct link_faults
{
  std::uint32_t lost = 0;
  std::uint32_t repeated = 0;
  std::uint32_t delayed = 0;
};

struct escrow_world_settings
{
  int domains = 2;
  int hostsPerDomain = 2;
  std::chrono::nanoseconds fleetLease = std::chrono::seconds{ 10 };
  std::chrono::nanoseconds hostLease = std::chrono::seconds{ 3 };
  std::chrono::nanoseconds grace = std::chrono::seconds{ 20 };
  std::chrono::nanoseconds slotHold = std::chrono::seconds{ 2 };
  std::chrono::nanoseconds step = std::chrono::milliseconds{ 50 };
  /// Clocks of hosts and delegates are slow by at most this, in thousandths.
  std::uint32_t maxDriftPerMille = 20;
  division_rule divide = DivideByDemand;
};

class escrow_world
{
public:
  explicit escrow_world(escrow_world_settings aSettings = {},
                        std::uint64_t aSeed = 1);

  void SetRateLimit(share aLimit);
  void SetSlotLimit(std::int64_t aSlots);
  void NewEndpointIncarnation();
  void NewRevision();
  /// Lets a host request as many tokens as it can get, or none.
  void SetGreedy(int aHost, bool aIsGreedy);
  void SetSlotDemand(int aHost, bool aIsOn);
  void PartitionDomain(int aDomain, bool aIsPartitioned);
  void PartitionHost(int aHost, bool aIsPartitioned);
  void CrashHost(int aHost);
  void CrashDelegate(int aDomain);
  void FreezeHost(int aHost, bool aIsFrozen);
  void FreezeDelegate(int aDomain, bool aIsFrozen);
  /// Adds a new delegate of a domain; the previous one keeps running.
  void ReplaceDelegate(int aDomain);
  void MoveHost(int aHost);
  void ReplaceRoot();
  void Advance(std::chrono::nanoseconds aTime, link_faults aFaults);

  int Hosts() const { return static_cast<int>(mHosts.size()); }
  int Domains() const { return mSettings.domains; }
  steady_time Now() const { return mNow; }
  std::int64_t Spent() const { return mRate.Total(); }
  std::size_t Admitted() const { return mRate.Count(); }
  std::int64_t WorstExcess() const { return mRate.WorstExcess(); }
  /// The first violation found by the slot and revision oracles, or empty.
  const std::string& Fault() const { return mFault; }
  const escrow_tables& HostTables(int aHost) const;
  const escrow_tables& DelegateTables(int aDomain) const;
  const escrow_tables& RootTables() const { return mRoot.tables; }
  bool HostMayServe(int aHost) const;
  std::int64_t SlotsInUse() const
  {
    return static_cast<std::int64_t>(mSlots.size());
  }
  std::size_t SlotsTaken() const { return mSlotsTaken; }

private:
  struct node
  {
    escrow_tables tables;
    int domain = 0;
    std::uint64_t epoch = 0; ///< as a delegate
    bool isFrozen = false;
    bool isPartitioned = false;
    bool isGreedy = false;
    bool requestsSlots = false;
    std::uint32_t clockDriftPerMille = 0;
  };
  struct message
  {
    steady_time dueAt;
    bool isToRoot = false;
    int toDelegate = -1;
    int toHost = -1;
    bool isRenewal = false;
    struct renewal renewal;
    struct grant grant;
  };
  struct running
  {
    int host;
    std::uint64_t hostIncarnation;
    std::size_t spend;
    reservation reserved;
    std::int64_t used;
    steady_time endsAt;
  };
  struct slot_use
  {
    int host;
    std::uint64_t hostIncarnation;
    std::uint64_t endpointIncarnation;
    steady_time endsAt; ///< true time
  };

  bool Chance(std::uint32_t aPerMille);
  std::int64_t Pick(std::int64_t aMin, std::int64_t aMax);
  steady_time ClockOf(const node& aNode, steady_time aTrueTime) const;
  std::chrono::nanoseconds TrueTime(const node& aNode,
                                    std::chrono::nanoseconds aTime) const;
  void SetUpRoot();
  node MakeDelegate(int aDomain, std::uint64_t aEpoch);
  node MakeHost(int aDomain, std::uint64_t aEpoch, holder_id aSelf);
  void Send(message aMessage, bool aIsPartitioned);
  void Deliver();
  void TickRoot();
  void TickDelegate(int aDelegate);
  void TickHost(int aHost);
  void UseTokens(int aHost);
  void UseSlots(int aHost);
  void EndRequests(int aHost);
  void EndSlots();
  void CheckSlots();
  void CheckRevisions();
  int DelegateOf(const node& aHost) const;
  int NewestDelegate(int aDomain) const;

  escrow_world_settings mSettings;
  random_engine mRandom;
  steady_time mNow = kWorldStart;
  link_faults mFaults;
  node mRoot;
  std::uint64_t mTerm = 1;
  std::uint64_t mIncarnations = 1;
  std::deque<node> mDelegates; ///< including previous ones
  std::deque<node> mHosts;
  std::vector<message> mMessages;
  std::vector<running> mRunning;
  std::vector<slot_use> mSlots;
  std::size_t mSlotsTaken = 0;
  share mRateLimit;
  std::int64_t mSlotLimit = 0;
  std::uint64_t mEndpointIncarnation = 1;
  struct slot_limit
  {
    steady_time at;
    std::uint64_t incarnation;
    std::int64_t slots;
  };
  std::vector<slot_limit> mSlotLimits;
  std::uint64_t mRevision = 1;
  std::uint64_t mAccepted = 0;
  std::vector<share> mPreviousLimits;
  rate_oracle mRate;
  std::string mFault;
};

} // namespace bulrush::admission

#endif
