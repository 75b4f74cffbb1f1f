#ifndef BULRUSH_APPS_FAKE_TABLES_HPP
#define BULRUSH_APPS_FAKE_TABLES_HPP

/// Tables of fake-endpoint, which simulates an engine or a plain service. It
/// implements docs/API.md, counts the requests that it runs and injects faults
/// on request of a test.

#include "net/net.hpp"

#include <map>

namespace bulrush::fake {

using run_id = typed_id<struct run_tag>;

struct self_row
{
  std::string name = "fake-1";
  std::string domain = "domain-a";
  std::string address;
  std::uint64_t incarnation = 1;
  std::uint64_t memoryBytes = 0;
  std::uint32_t slots = 8;
  std::uint32_t coldSlots = 2;
  bool checksFencing = true;
  bool canResume = true;
  std::vector<std::string> services;
  std::vector<std::string> reportTo; ///< entry hosts, IP:port
  std::chrono::milliseconds firstToken{ 5 };
  std::chrono::milliseconds perToken{ 1 };
  std::chrono::milliseconds loadTime{ 50 };
};

/// A request that is being run.
struct run_row
{
  run_id id;
  std::shared_ptr<net::http_reply> reply;
  std::string attempt;
  std::string model;
  std::string tag;
  bool isStream = false;
  bool isService = false;
  std::uint64_t tokens = 0; ///< to be generated
  std::uint64_t sent = 0;   ///< generated so far
  std::uint64_t resumedAtToken = 0;
  steady_time nextToken{};
  bool isLost = false; ///< runs, but the connection is closed without an answer
  bool isTruncated = false; ///< the answer is cut off half-way
};

/// A model or adapter that occupies memory, from the start of its load to the
/// end of its unload.
struct resident_row
{
  typed_id<struct resident_tag> id;
  std::string model;
  std::string version;
  std::string adapter;
  std::uint64_t bytes = 0;
  steady_time readyAt{};
  bool isReady = false;
};

/// An order that has arrived.
struct order_row
{
  order_id id;
  std::uint64_t fencing = 0;
  std::string kind;
  std::string model;
  std::string version;
  std::string adapter;
  std::uint64_t bytes = 0;
  steady_time doneAt{};
  bool isDone = false;
  bool isVoid = false;
};

/// An order whose message is delayed in the network.
struct delayed_order_row
{
  order_id id;
  order_row order;
  steady_time arrivesAt{};
};

/// A fault that is injected into the next requests or orders.
struct fault_row
{
  typed_id<struct fault_tag> id;
  std::string kind; ///< lose_answer, truncate, cross, refuse, late, lose_order,
                    ///< lose_order_answer, late_order, hold_order
  std::uint64_t remaining = 0; ///< requests or orders that it still affects
  std::chrono::milliseconds delay{ 0 };
};

struct fake_counters
{
  std::uint64_t runs = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::uint64_t keysSeen = 0; ///< requests with a caller's key
  std::uint64_t concurrencyPeak = 0;
  std::uint64_t memoryPeak = 0;
  std::uint64_t orders = 0;
  std::map<std::string, std::uint64_t> runsByTag;
};

struct fake_tables
{
  self_row self;
  table<run_id, run_row> runs;
  table<typed_id<struct resident_tag>, resident_row> residents;
  table<order_id, order_row> orders;
  table<order_id, delayed_order_row> delayedOrders;
  std::vector<order_id> arrivedOrders; ///< in order of arrival
  table<typed_id<struct fault_tag>, fault_row> faults;
  fake_counters counters;
  std::uint64_t lastRunId = 0;
  std::uint64_t lastFaultId = 0;
  std::uint64_t highestFencing = 0;
  std::uint64_t sequence = 0;
  steady_time nextReport{};
  steady_time coldUntil{};
  bool isSilent = false;
  bool isLeaving = false;
};

struct fake_outbox
{
  std::vector<std::string> reports; ///< bodies of reports to send
  wake_time wake;
};

/// Handles one HTTP request, which is answered now or in a later tick.
void HandleRequest(fake_tables& aTables,
                   const net::http_request& aRequest,
                   std::shared_ptr<net::http_reply> aReply,
                   steady_time aNow);

void RunFake(fake_tables& aTables, steady_time aNow, fake_outbox& aOutbox);

/// Adds a model that is ready immediately.
void AddResident(fake_tables& aTables,
                 const std::string& aModel,
                 const std::string& aVersion,
                 std::uint64_t aBytes);

} // namespace bulrush::fake

#endif
