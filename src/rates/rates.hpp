#ifndef BULRUSH_RATES_RATES_HPP
#define BULRUSH_RATES_RATES_HPP

/// Public header of the rates library: limits over all hosts that tolerate a
/// bound in a window. The leader holds a pool for each limit; hosts draw tokens
/// from it a little ahead of their demand, and drawn tokens lapse soon. So no
/// part of a limit lies idle at one host while another is short, and a window
/// sees no more than the pool gave within it and the life of tokens before it.
/// Nothing is kept of what was given: a lost message costs its tokens, and the
/// pools of a new leader start empty.

#include "admission/admission.hpp"

namespace bulrush::rates {

using admission::resource;
using admission::resource_id;
using admission::share;

/// Requests/s that a cold endpoint bears, as a limit over all hosts.
/// Source: manifest, services. The window is a second.
resource ColdRateOf(endpoint_id aEndpoint, std::uint64_t aIncarnation);

/// How long drawn tokens may be used.
std::chrono::milliseconds LifeOf(const resource& aWhat);

/// Rate and size of the pool of a cold endpoint. Within a second hosts use no
/// more than aPerSecond and a quarter of it besides, one at the least.
share PoolOfColdEndpoint(double aPerSecond);

/// What operators tolerate above a rate within a window. The fleet uses most of
/// it as tokens that hosts hold in advance.
struct rate_tolerance
{
  std::chrono::milliseconds window{ 0 }; ///< 0: nothing is tolerated
  double overage = 0;     ///< share of what the rate allows in a window
  double slackTokens = 0; ///< on top of it
};

/// A rate as it is dealt out.
struct dealt_rate
{
  share pool;     ///< of the leader, for hosts to draw from
  share standing; ///< of all hosts together, in equal parts
};

/// In no window of the tolerance's length do both parts together allow more
/// than it tolerates.
dealt_rate DealRate(const rate_tolerance& aTolerance,
                    double aTokensPerSecond,
                    double aBurstTokens);

// --------------------------------------------------------------- messages

/// A host asks for tokens.
struct draw_row
{
  resource what;
  std::int64_t units = 0; ///< thousandths of a token
};

struct draw
{
  std::uint64_t sequence = 0;
  std::vector<draw_row> rows;
};

/// The leader's answer to one draw.
struct drawn_row
{
  resource what;
  std::int64_t units = 0;
  std::chrono::nanoseconds refillsIn{}; ///< zero: the host got all it asked for
};

struct drawn
{
  std::uint64_t sequence = 0;
  std::vector<drawn_row> rows;
};

// ------------------------------------------------------------------ hosts

/// Tokens of one answer.
struct drawn_lot
{
  std::int64_t units = 0;
  steady_time lapsesAt;
};

/// What a host holds of one limit.
struct purse_row
{
  resource_id id;
  resource what;
  /// The part of the limit that stands at this host, whoever it can reach.
  admission::token_bucket standing;
  std::vector<drawn_lot> drawn; ///< the one that lapses first is first
  double demandRate = 0;        ///< units/s, moving average
  std::int64_t demandUnits = 0; ///< asked for since demandSince
  steady_time demandSince;
  std::int64_t waiting = 0; ///< units that requests of this tick lack
  std::optional<steady_time> refillsAt; ///< not to be asked before
  steady_time holdsAt; ///< when the pool said it would hold what was lacking
};

/// Tokens taken for one request.
struct payment
{
  resource_id from;
  std::int64_t standing = 0; ///< units
  std::uint64_t point = 0;   ///< of the standing bucket's history
  std::int64_t drawn = 0;    ///< units
  steady_time drawnUntil;    ///< when the first of them lapses
};

struct purse_settings
{
  /// A host draws again when it has less than so much of its demand.
  std::chrono::milliseconds drawBelow{ 150 };
  /// And then as much as it is likely to use before half of it would lapse.
  std::chrono::milliseconds drawAhead{ 500 };
  /// An answer that takes longer counts as lost. Hosts of a region are a few
  /// milliseconds apart.
  std::chrono::milliseconds answerWithin{ 100 };
  /// Pause between two draws, so that one message carries several requests.
  std::chrono::milliseconds drawEvery{ 15 };
  std::chrono::milliseconds demandInterval{ 250 }; ///< of the moving average
  double demandGain = 0.3;                ///< weight of the newest interval
  std::chrono::seconds forgetAfter{ 10 }; ///< a purse that nobody uses
};

struct purse_tables
{
  purse_settings settings;
  table<resource_id, purse_row> purses;
  std::uint64_t sequence = 0; ///< of the latest draw
  steady_time sentAt;
  bool isAwaiting = false;
  bool isReachable = true;    ///< the latest draw was answered
  std::vector<drawn> answers; ///< input
};

struct purse_outbox
{
  std::optional<draw> sent;
  bool hasNewTokens = false;
  wake_time wake;
};

/// Sets the standing part of a limit at this host; adds its purse.
void SetStanding(purse_tables& aTables,
                 const resource& aWhat,
                 const share& aPart,
                 steady_time aNow);

/// Notes that a request wants aUnits, once for each request.
void NoteDemand(purse_tables& aTables,
                const resource& aWhat,
                std::int64_t aUnits,
                steady_time aNow);

/// Takes aUnits, first those that stand here. nullopt, and the lack is noted
/// for the next draw, when there are too few.
std::optional<payment> Pay(purse_tables& aTables,
                           const resource& aWhat,
                           std::int64_t aUnits,
                           steady_time aNow);

/// Notes a lack without trying to pay, for a request behind one that waits.
void NoteLack(purse_tables& aTables,
              const resource& aWhat,
              std::int64_t aUnits,
              steady_time aNow);

/// Gives back aUnits of a payment that were not used; drawn ones as long as
/// they would have lasted.
void Return(purse_tables& aTables,
            const payment& aPayment,
            std::int64_t aUnits,
            steady_time aNow);

/// Units that could be paid now.
std::int64_t Available(purse_tables& aTables,
                       const resource& aWhat,
                       steady_time aNow);

/// Takes the leader's answers; before requests try to pay.
void RunAnswers(purse_tables& aTables, steady_time aNow, purse_outbox& aOut);
/// Draws what is lacking; after requests tried to pay.
void RunDraws(purse_tables& aTables, steady_time aNow, purse_outbox& aOut);

// ----------------------------------------------------------------- leader

struct pool_row
{
  resource_id id;
  resource what;
  admission::token_bucket bucket;
  steady_time usedAt;
};

struct pool_tables
{
  table<resource_id, pool_row> pools;
};

/// Sets the rate and size of a pool. A new one is empty: a predecessor may have
/// given all that its own held.
void SetPool(pool_tables& aTables,
             const resource& aWhat,
             const share& aShare,
             steady_time aNow);

/// Answers a draw. A limit without a pool gives nothing.
drawn Answer(pool_tables& aTables, const draw& aDraw, steady_time aNow);

/// Drops pools of cold endpoints that nobody has drawn from lately.
void ForgetIdle(pool_tables& aTables, steady_time aNow);

} // namespace bulrush::rates

#endif
