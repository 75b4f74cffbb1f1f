#ifndef BULRUSH_CORE_CORE_HPP
#define BULRUSH_CORE_CORE_HPP

/// Public header of the core library: typed ids, tables, the description of
/// failures, and the tick that runs systems over tables.

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrush {

/// Monotonic time, for leases, deadlines and ticks.
using steady_time = std::chrono::steady_clock::time_point;

/// Calendar time, for logs, spans and manifests only.
using wall_time = std::chrono::system_clock::time_point;

/// Description of a failure, filled by functions that return std::optional.
struct last_reason
{
  std::string step; ///< failed operation, e.g. "read manifest"
  std::string peer; ///< remote host, endpoint or file; may be empty
  std::string text; ///< cause, one sentence without a full stop
};

/// Formats aReason as "step (peer): text".
std::string Describe(const last_reason& aReason);

/// Fills aReason and returns nullopt, for use in a return statement.
std::nullopt_t Fail(last_reason& aReason,
                    std::string aStep,
                    std::string aPeer,
                    std::string aText);

/// Identifier of an entity type; ids of different types do not convert. Zero
/// means "none". Ids are never reused, so a stale id finds no row.
template<class tag>
struct typed_id
{
  std::uint64_t value = 0;

  auto operator<=>(const typed_id&) const = default;
  explicit operator bool() const { return value != 0; }
};

using workspace_id = typed_id<struct workspace_tag>;
using model_id = typed_id<struct model_tag>;
using adapter_id = typed_id<struct adapter_tag>;
using route_id = typed_id<struct route_tag>;
using service_id = typed_id<struct service_tag>;
using domain_id = typed_id<struct domain_tag>;
using host_id = typed_id<struct host_tag>;
using endpoint_id = typed_id<struct endpoint_tag>;
using request_id = typed_id<struct request_tag>;
using attempt_id = typed_id<struct attempt_tag>;
using order_id = typed_id<struct order_tag>;
using part_id = typed_id<struct part_tag>; ///< of a prompt
using claim_id = typed_id<struct claim_tag>;
using replica_id = typed_id<struct replica_tag>;

/// 64-bit hash of aText, identical in every process and release.
std::uint64_t StableHash(std::string_view aText);

/// The id of a named entity, never zero. It is a hash of the name, so hosts
/// need not agree on a table of names.
template<class id_type>
id_type
IdOf(std::string_view aName)
{
  const std::uint64_t hash = StableHash(aName);
  return id_type{ hash == 0 ? 1 : hash };
}

/// SHA-256 of a caller's key. Plain keys are neither stored nor logged.
struct key_hash
{
  std::array<std::uint8_t, 32> bytes{};

  auto operator<=>(const key_hash&) const = default;
};

/// Hash functor of typed ids and key hashes for unordered containers.
struct id_hash
{
  template<class tag>
  std::size_t operator()(const typed_id<tag>& aId) const
  {
    return static_cast<std::size_t>(aId.value * 0x9E3779B97F4A7C15ULL);
  }
  std::size_t operator()(const key_hash& aHash) const
  {
    std::size_t prefix = 0;
    for (std::size_t i = 0; i < sizeof(prefix); ++i) {
      prefix = (prefix << 8U) | aHash.bytes[i];
    }
    return prefix;
  }
};

/// Rows in contiguous memory with an index by id. The row type has a member
/// `id`. Erase moves the last row into the gap: pointers and positions are
/// valid until the next Insert or Erase.
template<class id_type, class row_type>
class table
{
public:
  /// Adds aRow, or replaces the row with the same id.
  row_type& Insert(row_type aRow)
  {
    const auto found = mPositions.find(aRow.id);
    if (found != mPositions.end()) {
      mRows[found->second] = std::move(aRow);
      return mRows[found->second];
    }
    mPositions.emplace(aRow.id, mRows.size());
    mRows.push_back(std::move(aRow));
    return mRows.back();
  }

  /// The row with aId, or nullptr.
  row_type* Find(const id_type& aId)
  {
    const auto found = mPositions.find(aId);
    return found == mPositions.end() ? nullptr : &mRows[found->second];
  }
  const row_type* Find(const id_type& aId) const
  {
    const auto found = mPositions.find(aId);
    return found == mPositions.end() ? nullptr : &mRows[found->second];
  }

  /// Removes the row with aId; false if there is none.
  bool Erase(const id_type& aId)
  {
    const auto found = mPositions.find(aId);
    if (found == mPositions.end()) {
      return false;
    }
    const std::size_t gap = found->second;
    mPositions.erase(found);
    if (gap + 1 != mRows.size()) {
      mRows[gap] = std::move(mRows.back());
      mPositions[mRows[gap].id] = gap;
    }
    mRows.pop_back();
    return true;
  }

  /// Removes all rows that match aPredicate; returns their number.
  template<class predicate>
  std::size_t EraseIf(predicate aPredicate)
  {
    std::size_t erased = 0;
    for (std::size_t i = mRows.size(); i > 0; --i) {
      if (aPredicate(std::as_const(mRows[i - 1]))) {
        const id_type id = mRows[i - 1].id;
        Erase(id);
        ++erased;
      }
    }
    return erased;
  }

  void Clear()
  {
    mRows.clear();
    mPositions.clear();
  }

  std::size_t Size() const { return mRows.size(); }
  bool Empty() const { return mRows.empty(); }
  std::span<row_type> Rows() { return mRows; }
  std::span<const row_type> Rows() const { return mRows; }
  auto begin() { return mRows.begin(); }
  auto end() { return mRows.end(); }
  auto begin() const { return mRows.begin(); }
  auto end() const { return mRows.end(); }

private:
  std::vector<row_type> mRows;
  std::unordered_map<id_type, std::size_t, id_hash> mPositions;
};

/// Time by which the next tick must run, even without input.
struct wake_time
{
  steady_time at = steady_time::max();

  /// Lowers the time to aWhen if that is earlier.
  void NoLaterThan(steady_time aWhen)
  {
    if (aWhen < at) {
      at = aWhen;
    }
  }
};

/// A system reads and writes tables and adds intents to the outbox.
template<class tables, class outbox>
using system_function = void (*)(tables&, steady_time, outbox&);

/// A system with its name in metrics and traces.
template<class tables, class outbox>
struct named_system
{
  const char* name;
  system_function<tables, outbox> run;
};

/// Runs aSystems in the given order.
template<class tables, class outbox, std::size_t count>
void
RunTick(const std::array<named_system<tables, outbox>, count>& aSystems,
        tables& aTables,
        steady_time aNow,
        outbox& aOutbox)
{
  for (const auto& system : aSystems) {
    system.run(aTables, aNow, aOutbox);
  }
}

/// Random numbers for decisions; the program sets the seed, tests fix it.
using random_engine = std::mt19937_64;

} // namespace bulrush

#endif
