#ifndef BULRUSH_FLEET_FLEET_HPP
#define BULRUSH_FLEET_FLEET_HPP

/// Public header of the fleet library: the manifest that operators declare,
/// and the replicated state machine. Every replica and every host applies the
/// same sequence of commands.

#include "core/core.hpp"

#include <variant>

namespace bulrush {

// ---------------------------------------------------------------- manifest

/// A model that engines can load. Source: manifest, "models".
struct model_row
{
  model_id id;
  std::string name;
  std::string version;
  std::uint64_t bytes = 0;                 ///< accelerator memory when resident
  std::chrono::milliseconds deadline{ 0 }; ///< to the end of the answer
  std::uint32_t minCopies = 1;
  bool isOpen = false; ///< served without a key
  std::string service; ///< service of its engines; empty: any engine
};

/// An adapter of a model. Source: manifest, "adapters".
struct adapter_row
{
  adapter_id id;
  std::string name;
  model_id model;
  std::uint64_t bytes = 0;
};

/// A customer. Source: manifest, "workspaces".
struct workspace_row
{
  workspace_id id;
  std::string name;
  double weight = 1.0;
  double tokensPerSecond = 0.0; ///< sum over all hosts; 0: no limit
  double burstTokens = 0.0;     ///< sum over all hosts
  bool countsRequests = false;  ///< each request counts as one token
  double defaultTokens = 1.0;   ///< of a request without a token count
  int rank = 0; ///< 0 is served first; precedes the route's rank
  std::vector<model_id> models; ///< permitted models; empty: all
};

/// A failure domain. Source: manifest, "failure_domains".
struct domain_row
{
  domain_id id;
  std::string name;
  std::string region;
};

/// A type of endpoint. Source: manifest, "services". A service that only routes
/// refer to needs no row; its endpoints then have no limits.
struct service_row
{
  service_id id;
  std::string name;
  std::uint32_t maxConnections = 0;   ///< of one endpoint; 0: no limit
  double coldRequestsPerSecond = 0.0; ///< requests accepted by a cold endpoint
  std::chrono::milliseconds coldDuration{ 0 }; ///< from its start
  bool isEngine = false;                       ///< serves models
  std::uint64_t memoryBytes = 0;               ///< for weights, per engine
  std::uint32_t adapterCapacity = 0; ///< adapters per engine; 0: no limit
  std::uint64_t cacheTokens = 0;     ///< prompt cache, per engine
};

/// A service that a route sends requests to, with its weight.
struct route_target
{
  std::string service;
  double weight = 1.0;
};

/// A path and the services that serve it. Source: manifest, "routes".
struct route_row
{
  route_id id;
  std::string name;
  std::string host; ///< of the request; empty: any
  std::string path; ///< exact, or a prefix that ends with a slash
  bool isPrefix = false;
  std::vector<route_target> targets;
  std::chrono::milliseconds deadline{ 0 };  ///< to the end of the answer
  std::chrono::milliseconds target{ 0 };    ///< latency target; 0: deadline
  std::chrono::milliseconds targetGap{ 0 }; ///< of chunks of a stream
  double tokens = 0.0;           ///< charged to the workspace per request
  int rank = 0;                  ///< 0 is served first
  std::uint32_t maxAttempts = 0; ///< sent per request; 0: default
  bool isIdempotent = true;
  bool isStreamed = false;
  bool canResume = false; ///< a broken stream may resume at another endpoint
  bool isOpen = false;    ///< served without a key
};

/// Limits of callers' connections. Source: manifest, "callers".
struct caller_limits
{
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 4'194'304;
  std::chrono::milliseconds headerTimeout{ 20'000 };
  std::chrono::milliseconds idleTimeout{ 60'000 };

  bool operator==(const caller_limits&) const = default;
};

/// Limits of the weight store. Source: manifest, "store".
struct store_limits
{
  double loadsPerSecond = 2.0;
  std::uint32_t loadsAtFullSpeed = 9;
  std::uint32_t adapterLoadsAtFullSpeed = 70;
};

/// Objective that decides between conflicting policies. Source: manifest,
/// "goal".
enum class policy_goal : std::uint8_t
{
  eWorstWorkspace,
  eAttainment,
};

/// A validated manifest.
struct manifest
{
  std::string name;
  std::string version;
  /// A manifest with a number replaces one with a lower number, whatever the
  /// expected revision is; 0: compare-and-set on the revision.
  std::uint64_t number = 0;
  std::string source; ///< document that the manifest was generated from
  policy_goal goal = policy_goal::eWorstWorkspace;
  std::chrono::seconds cutOffGrace{ 3600 };
  std::chrono::seconds claimWindow{ 86'400 };
  store_limits store;
  caller_limits callers;
  table<service_id, service_row> services;
  table<model_id, model_row> models;
  table<adapter_id, adapter_row> adapters;
  table<workspace_id, workspace_row> workspaces;
  table<domain_id, domain_row> domains;
  table<route_id, route_row> routes;
  std::vector<std::pair<key_hash, workspace_id>> keys;
};

/// An error in a manifest, with its position in the document.
struct manifest_fault
{
  std::string path; ///< JSON pointer, e.g. /models/3/bytes
  std::string text;
};

/// Parses and validates a manifest. Adds all faults to aFaults; nullopt if any.
std::optional<manifest> ParseManifest(std::string_view aText,
                                      std::vector<manifest_fault>& aFaults);

/// One line per fault, for operators.
std::string Describe(const std::vector<manifest_fault>& aFaults);

/// Summary of the differences of two manifests, one line each, for operators.
std::vector<std::string> DescribeChanges(const manifest& aFrom,
                                         const manifest& aTo);

/// SHA-256. Source: OpenSSL.
key_hash HashKey(std::string_view aKey);
std::string ToHex(const key_hash& aHash);
std::optional<key_hash> ParseHash(std::string_view aHex);

/// The manifest in canonical form, with its lists sorted by name. Throws on
/// texts that ParseManifest refuses.
std::string CanonicalManifest(const std::string& aText);

/// The difference of two manifests as a JSON Patch (RFC 6902) over lists keyed
/// by name. Throws on texts that ParseManifest refuses.
std::string DiffManifests(const std::string& aFrom, const std::string& aTo);

/// The canonical text of aFrom after aPatch.
std::optional<std::string> PatchManifest(const std::string& aFrom,
                                         const std::string& aPatch,
                                         last_reason& aReason);

/// Replaces the text of aChange by a patch if that is shorter; the leader
/// proposes the result. An invalid text is kept, and the state machine refuses
/// it.
struct apply_manifest;
struct fleet_state;
apply_manifest EncodeAsPatch(const fleet_state& aState, apply_manifest aChange);

// ---------------------------------------------------------------- endpoints

/// A model resident on an endpoint, with its loaded adapters.
struct resident
{
  model_id model;
  std::string version;
  std::vector<adapter_id> adapters;

  bool operator==(const resident&) const = default;
};

/// The last order that an engine executed, as reported by it.
struct order_report
{
  order_id order;
  std::uint64_t fencing = 0;
  bool isDone = false; ///< false: refused or void
};

/// An endpoint as announced by itself. Soft state, not in the log.
struct endpoint_row
{
  endpoint_id id;
  std::string name;
  std::string address;           ///< IP:port
  std::uint64_t incarnation = 0; ///< rises at each start of the endpoint
  std::uint64_t sequence = 0;    ///< rises with each report
  domain_id domain;
  std::uint64_t memoryBytes = 0; ///< zero for plain services
  std::uint64_t usedBytes = 0;
  std::uint32_t slots = 1;     ///< concurrent requests when warm
  std::uint32_t coldSlots = 1; ///< concurrent requests when cold
  bool isCold = false;
  bool canResume = false;
  bool checksFencing = false;
  bool isLeaving = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<resident> residents;
  std::vector<model_id> inMemory; ///< cached in memory: fastest to load
  std::vector<model_id> onDisk;   ///< cached on disk: loaded without the store
  std::vector<std::string> services;
  std::vector<order_report> orders;
  steady_time lastSeen{};
};

/// Bounds of the fields that a report of an endpoint sets.
inline constexpr std::size_t kMaxEndpointNameBytes = 128;
inline constexpr std::uint64_t kMaxIncarnation = (1ULL << 63U) - 1;
inline constexpr std::uint64_t kMaxSequence = (1ULL << 63U) - 1;
inline constexpr std::uint32_t kMaxSlots = 65'536;

/// Checks a row from outside the process: its name has visible ASCII characters
/// only, its address a port, and each number is within its bounds. Otherwise
/// the reason names the field.
bool IsInRange(const endpoint_row& aRow, last_reason& aReason);

/// True if aNew has a later incarnation, or the same and a later sequence.
bool IsNewer(const endpoint_row& aNew, const endpoint_row& aOld);

/// An endpoint that left or became silent, with its newest report.
struct removed_endpoint
{
  endpoint_id id;
  std::uint64_t incarnation = 0; ///< zero: unknown
  std::uint64_t sequence = 0;
  bool hasLeft = false; ///< only a newer incarnation may return
};

/// Whether a report was made after the removal: one that left returns only as a
/// newer incarnation, one that was silent with a newer report.
bool IsAfter(const endpoint_row& aReport, const removed_endpoint& aRemoved);

// ---------------------------------------------------------------- commands

/// Replaces the manifest if the current one has the expected revision.
/// Operators send the text. The leader replaces it by a patch if that is
/// shorter, since the command is sent to every host.
struct apply_manifest
{
  std::uint64_t expectedRevision = 0;
  std::string text;         ///< empty if the patch is set
  std::string patch = {};   ///< relative to the expected revision
  std::string version = {}; ///< of the patched manifest
  key_hash digest = {};     ///< of the patched manifest
  /// Document that the text was generated from; empty: the text's own.
  std::string source = {};
};

struct issue_key
{
  key_hash key;
  workspace_id workspace;
};

/// Revokes a key for good.
struct withdraw_key
{
  key_hash key;
};

/// Takes a failure domain out of service or brings it back.
struct set_domain
{
  domain_id domain;
  bool isOut = false;
  /// Revision of the domain's latest change that the operator's order follows.
  /// The leader refuses an order that arrives after a newer one. nullopt: any.
  std::optional<std::uint64_t> follows = std::nullopt;
};

/// Starts or ends the drain of an endpoint, which finishes its requests and
/// gets no new ones.
struct drain_endpoint
{
  endpoint_id endpoint;
  bool isDraining = true;
};

/// Assigns the control replica that grants leases in a failure domain.
struct name_delegate
{
  domain_id domain;
  replica_id replica;
};

/// Requests the exclusive right to run a non-idempotent request.
struct claim_request
{
  claim_id claim;
  workspace_id workspace;
  key_hash bodyDigest;
  std::uint64_t token = 0; ///< identifies the attempt that may run
  std::chrono::milliseconds runLimit{ 0 };
};

/// Stores the answer to the caller of a claimed request.
struct record_outcome
{
  claim_id claim;
  std::uint64_t token = 0;
  int status = 0;
  std::string contentType;
  std::string body;
};

/// Releases a claim whose request is known not to have run.
struct release_claim
{
  claim_id claim;
  std::uint64_t token = 0;
};

/// Sets the number of entry hosts. Quantities that are divided equally among
/// hosts depend on it.
struct count_hosts
{
  std::uint32_t hosts = 0;
};

using fleet_change = std::variant<apply_manifest,
                                  issue_key,
                                  withdraw_key,
                                  set_domain,
                                  drain_endpoint,
                                  name_delegate,
                                  claim_request,
                                  record_outcome,
                                  release_claim,
                                  count_hosts>;

/// A change with the time at which the leader proposed it. The state machine
/// uses no other clock, so that all replicas reach the same decisions.
struct fleet_command
{
  wall_time at{};
  fleet_change change;
};

/// True for changes that are sent to hosts (all but claims).
bool IsConfiguration(const fleet_change& aChange);

enum class claim_answer : std::uint8_t
{
  eNone,
  eGranted,    ///< the request may run, once
  eStored,     ///< it ran; the result holds the stored answer
  eInProgress, ///< another attempt may still be running
  eMayHaveRun, ///< an attempt ended without a known outcome
  eOtherBody,  ///< the claim was made for another request body
};

/// Result of a command, returned to its proposer.
struct command_result
{
  bool isDone = false;
  std::string code; ///< stable, machine-readable, e.g. "revision_moved"
  std::string text;
  std::uint64_t revision = 0; ///< configuration revision that includes it
  claim_answer claim = claim_answer::eNone;
  int storedStatus = 0;
  std::string storedContentType;
  std::string storedBody;
};

// ---------------------------------------------------------------- state

struct key_row
{
  key_hash id;
  workspace_id workspace;
  bool isWithdrawn = false;
  bool isDeclared = false; ///< by the manifest; removed with its declaration
};

struct domain_state_row
{
  domain_id id;
  bool isOut = false;
  replica_id delegate;
  std::uint64_t epoch = 0; ///< rises with each change of delegate
  /// Of the latest change of isOut, or of the row's declaration.
  std::uint64_t changedAt = 0;
};

struct drain_row
{
  endpoint_id id;
};

/// An applied version, kept so that a resent command gets the same answer.
struct version_row
{
  typed_id<struct version_tag> id;
  key_hash digest;
  std::uint64_t manifestRevision = 0;
  std::uint64_t revision = 0;
};

struct claim_row
{
  claim_id id;
  workspace_id workspace;
  key_hash bodyDigest;
  std::uint64_t token = 0;
  wall_time claimedAt{};
  std::chrono::milliseconds runLimit{ 0 };
  bool isDone = false;
  int status = 0;
  std::string contentType;
  std::string body;
};

/// The replicated state.
struct fleet_state
{
  std::uint64_t revision = 0;         ///< rises with each configuration change
  std::uint64_t manifestRevision = 0; ///< rises with each manifest
  std::uint32_t hosts = 0;            ///< entry hosts; 0: not known yet
  std::string manifestText;
  key_hash manifestDigest;
  manifest declared;
  table<key_hash, key_row> keys;
  table<domain_id, domain_state_row> domains;
  table<endpoint_id, drain_row> drains;
  table<typed_id<struct version_tag>, version_row> versions;
  table<claim_id, claim_row> claims;
  wall_time lastCommandAt{};
};

/// Applies a command. Deterministic: equal states give equal results.
command_result Apply(fleet_state& aState, const fleet_command& aCommand);

/// The workspace of a valid key.
std::optional<workspace_id> FindWorkspace(const fleet_state& aState,
                                          const key_hash& aKey);

/// The id of a route, from its host and path.
route_id RouteId(const std::string& aHost, const std::string& aPath);

/// The route for a host and path: an exact match, else the longest matching
/// prefix. Routes for the host take precedence over those for any host.
const route_row* FindRoute(const manifest& aManifest,
                           const std::string& aHost,
                           const std::string& aPath);

/// True while the failure domain is taken out.
bool IsOut(const fleet_state& aState, domain_id aDomain);

} // namespace bulrush

#endif
