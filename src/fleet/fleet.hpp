#ifndef BULRUSH_FLEET_FLEET_HPP
#define BULRUSH_FLEET_FLEET_HPP

/// Public header of the fleet library: the manifest that operators declare,
/// and the state machine that every replica and every host runs over the same
/// sequence of commands.

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
  std::string service; ///< whose engines hold it; empty: any engine
};

/// An adapter on top of a model. Source: manifest, "adapters".
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
  double tokensPerSecond = 0.0; ///< over all hosts together; 0: no limit
  double burstTokens = 0.0;     ///< over all hosts together
  bool countsRequests = false;  ///< each request counts as one token
  double plainTokens = 1.0;     ///< of a request that states no tokens
  int rank = 0;                 ///< 0 is served first, before a route's rank
  std::vector<model_id> models; ///< may use these; empty for all
};

/// A failure domain. Source: manifest, "failure_domains".
struct domain_row
{
  domain_id id;
  std::string name;
  std::string region;
};

/// A kind of endpoint. Source: manifest, "services". A service that only routes
/// name needs no row; its endpoints then have no limits of their own.
struct service_row
{
  service_id id;
  std::string name;
  std::uint32_t maxConnections = 0; ///< of one endpoint; 0: no limit
  double coldPerSecond = 0.0;       ///< requests that a cold endpoint bears
  std::chrono::milliseconds coldFor{ 0 }; ///< after its start
  bool isEngine = false;                  ///< holds models
  std::uint64_t memoryBytes = 0;          ///< of one engine, for weights
  std::uint32_t adapterPlaces = 0;        ///< of one engine; 0: no limit
  std::uint64_t cacheTokens = 0;          ///< of one engine, for prompts
};

/// A service that a route sends to, with its share of the requests.
struct route_target
{
  std::string service;
  double weight = 1.0;
};

/// A path with what serves it. Source: manifest, "routes".
struct route_row
{
  route_id id;
  std::string name;
  std::string host; ///< of the request; empty: any
  std::string path; ///< exact; of a prefix route, the prefix with its slashes
  bool isPrefix = false;
  std::vector<route_target> targets;
  std::chrono::milliseconds deadline{ 0 };  ///< to the end of the answer
  std::chrono::milliseconds target{ 0 };    ///< on time until then; 0: deadline
  std::chrono::milliseconds targetGap{ 0 }; ///< longest pause of a stream
  double tokens = 0.0;           ///< what one call costs the workspace
  int rank = 0;                  ///< 0 is served first
  std::uint32_t maxAttempts = 0; ///< endpoints that one request may see; 0: any
  bool isIdempotent = true;
  bool isStreamed = false;
  bool canResume = false; ///< a broken stream may go on at another endpoint
  bool isOpen = false;    ///< served without a key
};

/// What callers may send. Source: manifest, "callers".
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

/// What is weighed most where policies conflict. Source: manifest, "goal".
enum class policy_goal : std::uint8_t
{
  eWorstWorkspace,
  eAttainment,
};

/// A checked manifest.
struct manifest
{
  std::string name;
  std::string version;
  /// Manifests with a number replace those with a lower one, whatever revision
  /// they were made for; 0: compare-and-set on the revision.
  std::uint64_t number = 0;
  std::string source; ///< the text that the manifest was translated from
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

/// One fault of a manifest: where in the document and what was expected.
struct manifest_fault
{
  std::string path; ///< JSON pointer, e.g. /models/3/bytes
  std::string text;
};

/// Reads a manifest. Every fault found is added to aFaults; nullopt if any.
std::optional<manifest> ParseManifest(std::string_view aText,
                                      std::vector<manifest_fault>& aFaults);

/// One line a fault, for people.
std::string Describe(const std::vector<manifest_fault>& aFaults);

/// What changes from one manifest to the next, a line each, for people.
std::vector<std::string> DescribeChanges(const manifest& aFrom,
                                         const manifest& aTo);

/// SHA-256. Source: OpenSSL.
key_hash HashKey(std::string_view aKey);
std::string ToHex(const key_hash& aHash);
std::optional<key_hash> ParseHash(std::string_view aHex);

/// The same manifest with its lists in order of their names. Throws for a text
/// that ParseManifest would refuse.
std::string CanonicalManifest(const std::string& aText);

/// What turns one manifest into another, as a JSON Patch (RFC 6902) over lists
/// keyed by name. Throws for texts that ParseManifest would refuse.
std::string DiffManifests(const std::string& aFrom, const std::string& aTo);

/// The canonical text of aFrom changed by aPatch.
std::optional<std::string> PatchManifest(const std::string& aFrom,
                                         const std::string& aPatch,
                                         last_reason& aWhy);

/// The change that a leader proposes in place of aChange: the patch when it is
/// shorter than the text. A text that is not well-formed stays as it is, to be
/// refused by the state machine.
struct apply_manifest;
struct fleet_state;
apply_manifest ShortenApply(const fleet_state& aState, apply_manifest aChange);

// ---------------------------------------------------------------- endpoints

/// A model resident on an endpoint, with its loaded adapters.
struct resident
{
  model_id model;
  std::string version;
  std::vector<adapter_id> adapters;

  bool operator==(const resident&) const = default;
};

/// The last order that an engine acted upon, as it reports it.
struct order_report
{
  order_id order;
  std::uint64_t fencing = 0;
  bool isDone = false; ///< false: refused, void
};

/// An endpoint as it announced itself. Soft state: never in the log.
struct endpoint_row
{
  endpoint_id id;
  std::string name;
  std::string address;           ///< IP:port
  std::uint64_t incarnation = 0; ///< new each time the endpoint starts
  std::uint64_t sequence = 0;    ///< rises with each report
  domain_id domain;
  std::uint64_t memoryBytes = 0; ///< zero for plain services
  std::uint64_t usedBytes = 0;
  std::uint32_t slots = 1;     ///< requests at once when warm
  std::uint32_t coldSlots = 1; ///< requests at once in cold start
  bool isCold = false;
  bool canResume = false;
  bool checksFencing = false;
  bool isLeaving = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<resident> residents;
  std::vector<model_id> inMemory; ///< of its machine: loads in a moment
  std::vector<model_id> onDisk;   ///< of its machine: loads without the store
  std::vector<std::string> services;
  std::vector<order_report> orders;
  steady_time lastSeen{};
};

/// Whether aNew was reported after aOld, by a later process or later in it.
bool IsNewer(const endpoint_row& aNew, const endpoint_row& aOld);

// ---------------------------------------------------------------- commands

/// Replaces the manifest if the current one has the expected revision.
/// Operators send the text; the leader puts a patch in its place when that is
/// shorter, since every host is sent the command.
struct apply_manifest
{
  std::uint64_t expectedRevision = 0;
  std::string text;         ///< empty when the patch is set
  std::string patch = {};   ///< on the manifest of the expected revision
  std::string version = {}; ///< with the patch: of the result
  key_hash digest = {};     ///< with the patch: of the result
};

struct issue_key
{
  key_hash key;
  workspace_id workspace;
};

/// A withdrawn key never works again.
struct withdraw_key
{
  key_hash key;
};

/// Takes a failure domain out of service or brings it back.
struct set_domain
{
  domain_id domain;
  bool isOut = false;
};

/// Lets an endpoint finish its work and gives it no new.
struct drain_endpoint
{
  endpoint_id endpoint;
  bool isDraining = true;
};

/// Names the control replica that grants leases in a failure domain.
struct name_delegate
{
  domain_id domain;
  replica_id replica;
};

/// Asks for the only right to run a non-idempotent request.
struct claim_request
{
  claim_id claim;
  workspace_id workspace;
  key_hash bodyDigest;
  std::uint64_t token = 0; ///< names the one attempt that may run
  std::chrono::milliseconds runLimit{ 0 };
};

/// Stores what the caller of a claimed request was answered.
struct record_outcome
{
  claim_id claim;
  std::uint64_t token = 0;
  int status = 0;
  std::string contentType;
  std::string body;
};

/// Gives a claim back: the request is known not to have run.
struct release_claim
{
  claim_id claim;
  std::uint64_t token = 0;
};

/// Says how many entry hosts there are. What is dealt to hosts in equal parts
/// goes by it.
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
/// takes time from here only, so that every replica decides alike.
struct fleet_command
{
  wall_time at{};
  fleet_change change;
};

/// True for changes that hosts must hear of (all but the claims).
bool IsConfiguration(const fleet_change& aChange);

enum class claim_answer : std::uint8_t
{
  eNone,
  eGranted,    ///< run it now, once
  eStored,     ///< it ran; the stored outcome follows
  eInProgress, ///< another attempt is running
  eMayHaveRun, ///< an attempt ended without a known outcome
  eOtherBody,  ///< the same claim was made for another request
};

/// What a command did, told to whoever proposed it.
struct command_result
{
  bool isDone = false;
  std::string code; ///< stable, machine-readable, e.g. "revision_moved"
  std::string text;
  std::uint64_t revision = 0; ///< configuration revision that has it
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
  bool isDeclared = false; ///< by the manifest, and gone with it
};

struct domain_state_row
{
  domain_id id;
  bool isOut = false;
  replica_id delegate;
  std::uint64_t epoch = 0; ///< rises with each change of delegate
};

struct drain_row
{
  endpoint_id id;
};

/// An applied version, kept so that a resent apply gets its first answer.
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

/// Everything that the log decides.
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

/// Applies one command. Deterministic: equal states stay equal.
command_result Apply(fleet_state& aState, const fleet_command& aCommand);

/// The workspace that a key works for, if it works.
std::optional<workspace_id> FindWorkspace(const fleet_state& aState,
                                          const key_hash& aKey);

/// The id of a route.
route_id RouteId(const std::string& aHost, const std::string& aPath);

/// The route for a host and path: an exact one, else the longest prefix that
/// begins the path; routes that name the host go before those for any host.
const route_row* FindRoute(const manifest& aManifest,
                           const std::string& aHost,
                           const std::string& aPath);

/// True while the failure domain has been taken out.
bool IsOut(const fleet_state& aState, domain_id aDomain);

} // namespace bulrush

#endif
