#include "fleet/fleet.hpp"
#include "json/json.hpp"

#include <limits>
#include <set>

namespace bulrush {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr double kMaxTokens = 1e12;
constexpr std::uint64_t kMaxBytes = 1ULL << 50U;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxGraceSeconds = 604'800;
constexpr std::int64_t kMaxNumber = 1LL << 53U; // exact in JSON
constexpr std::int64_t kMaxRank = 1'000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr double kMaxWeight = 1e9;

// Reads a JSON object field by field. Collects faults instead of throwing, so
// that an operator sees all of them at once.
class object_reader
{
public:
  object_reader(const json& aObject,
                std::string aPath,
                std::vector<manifest_fault>& aFaults)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFaults(aFaults)
    , mIsObject(aObject.is_object())
  {
    if (!mIsObject) {
      Add("", "expected an object");
    }
  }

  void Add(const std::string& aKey, const std::string& aText)
  {
    mFaults.push_back({ aKey.empty() ? mPath : mPath + "/" + aKey, aText });
  }

  std::string Name(const char* aKey)
  {
    std::string name = Text(aKey, "");
    if (name.empty() || name.size() > kMaxNameBytes) {
      Add(aKey, "expected a name of 1 to 128 bytes");
    }
    return name;
  }

  std::string Text(const char* aKey, const std::string& aDefault)
  {
    const json* field = FindField(aKey);
    if (field == nullptr) {
      return aDefault;
    }
    if (!field->is_string()) {
      Add(aKey, "expected a string");
      return aDefault;
    }
    return field->get<std::string>();
  }

  bool Flag(const char* aKey, bool aDefault)
  {
    const json* field = FindField(aKey);
    if (field == nullptr) {
      return aDefault;
    }
    if (!field->is_boolean()) {
      Add(aKey, "expected true or false");
      return aDefault;
    }
    return field->get<bool>();
  }

  double Number(const char* aKey, double aDefault, double aMin, double aMax)
  {
    const json* field = FindField(aKey);
    if (field == nullptr) {
      return aDefault;
    }
    const double value = field->is_number()
                           ? field->get<double>()
                           : std::numeric_limits<double>::quiet_NaN();
    if (!(value >= aMin && value <= aMax)) {
      Add(aKey, "expected a number from " + Print(aMin) + " to " + Print(aMax));
      return aDefault;
    }
    return value;
  }

  std::int64_t Integer(const char* aKey,
                       std::int64_t aDefault,
                       std::int64_t aMin,
                       std::int64_t aMax)
  {
    const json* field = FindField(aKey);
    if (field == nullptr) {
      return aDefault;
    }
    if (!field->is_number_integer() || *field < aMin || *field > aMax) {
      Add(aKey,
          "expected a whole number from " + std::to_string(aMin) + " to " +
            std::to_string(aMax));
      return aDefault;
    }
    return field->get<std::int64_t>();
  }

  // The elements of a list; empty if the field is missing.
  const json& List(const char* aKey)
  {
    static const json kEmpty = json::array();
    const json* field = FindField(aKey);
    if (field == nullptr) {
      return kEmpty;
    }
    if (!field->is_array()) {
      Add(aKey, "expected a list");
      return kEmpty;
    }
    return *field;
  }

  const json* Object(const char* aKey) { return FindField(aKey); }

  // Otherwise a misspelt key would silently leave a setting at its default.
  void RefuseUnknownKeys()
  {
    if (!mIsObject) {
      return;
    }
    for (const auto& [key, value] : mObject.items()) {
      if (!mReadKeys.contains(key)) {
        Add(key, "unknown key");
      }
    }
  }

  const std::string& Path() const { return mPath; }

private:
  static std::string Print(double aValue) { return json(aValue).dump(); }

  const json* FindField(const char* aKey)
  {
    mReadKeys.insert(aKey);
    if (!mIsObject) {
      return nullptr;
    }
    const auto found = mObject.find(aKey);
    return found == mObject.end() ? nullptr : &*found;
  }

  const json& mObject;
  std::string mPath;
  std::vector<manifest_fault>& mFaults;
  std::set<std::string> mReadKeys;
  bool mIsObject;
};

// Inserts a row; a second row with the same name is a fault.
template<class id_type, class row_type>
void
InsertUnique(table<id_type, row_type>& aTable,
             row_type aRow,
             object_reader& aReader)
{
  if (aTable.Find(aRow.id) != nullptr) {
    aReader.Add("", "declared twice");
    return;
  }
  aTable.Insert(std::move(aRow));
}

model_row
ReadModel(object_reader& aReader)
{
  model_row row;
  row.name = aReader.Name("name");
  row.id = IdOf<model_id>(row.name);
  row.version = aReader.Text("version", "1");
  row.bytes = static_cast<std::uint64_t>(
    aReader.Integer("bytes", 0, 1, static_cast<std::int64_t>(kMaxBytes)));
  if (row.bytes == 0) {
    aReader.Add("bytes", "is required");
  }
  row.deadline = std::chrono::milliseconds(
    aReader.Integer("deadline_ms", 30'000, 1, kMaxDeadlineMs));
  row.minCopies =
    static_cast<std::uint32_t>(aReader.Integer("min_copies", 1, 1, 1'000));
  row.isOpen = aReader.Flag("open", false);
  row.service = aReader.Text("service", "");
  return row;
}

adapter_row
ReadAdapter(object_reader& aReader, const manifest& aManifest)
{
  adapter_row row;
  row.name = aReader.Name("name");
  row.id = IdOf<adapter_id>(row.name);
  row.model = IdOf<model_id>(aReader.Name("model"));
  if (aManifest.models.Find(row.model) == nullptr) {
    aReader.Add("model", "no such model is declared");
  }
  if (aManifest.models.Find(IdOf<model_id>(row.name)) != nullptr) {
    aReader.Add("name", "a model has this name");
  }
  row.bytes = static_cast<std::uint64_t>(
    aReader.Integer("bytes", 0, 0, static_cast<std::int64_t>(kMaxBytes)));
  return row;
}

workspace_row
ReadWorkspace(object_reader& aReader, manifest& aManifest)
{
  workspace_row row;
  row.name = aReader.Name("name");
  row.id = IdOf<workspace_id>(row.name);
  row.weight = aReader.Number("weight", 1.0, 0.001, 1'000.0);
  row.tokensPerSecond = aReader.Number("tokens_per_s", 0.0, 0.001, kMaxTokens);
  row.burstTokens = aReader.Number("burst_tokens", 0.0, 1.0, kMaxTokens);
  row.countsRequests = aReader.Flag("counts_requests", false);
  row.defaultTokens = aReader.Number("plain_tokens", 1.0, 0.0, kMaxTokens);
  row.rank = static_cast<int>(aReader.Integer("rank", 0, 0, kMaxRank));
  if ((row.tokensPerSecond == 0.0) != (row.burstTokens == 0.0)) {
    aReader.Add("tokens_per_s", "expected together with burst_tokens");
  }
  for (const json& name : aReader.List("models")) {
    const auto id =
      IdOf<model_id>(name.is_string() ? name.get<std::string>() : "");
    if (aManifest.models.Find(id) == nullptr) {
      aReader.Add("models", "no such model is declared: " + name.dump());
    }
    row.models.push_back(id);
  }
  for (const json& hex : aReader.List("key_hashes")) {
    const auto hash =
      ParseHash(hex.is_string() ? hex.get<std::string>() : std::string());
    if (!hash) {
      aReader.Add("key_hashes", "expected SHA-256 as 64 lower-case hex digits");
      continue;
    }
    aManifest.keys.emplace_back(*hash, row.id);
  }
  return row;
}

domain_row
ReadDomain(object_reader& aReader)
{
  domain_row row;
  row.name = aReader.Name("name");
  row.id = IdOf<domain_id>(row.name);
  row.region = aReader.Text("region", "");
  return row;
}

std::chrono::milliseconds
ReadMilliseconds(object_reader& aReader,
                 const char* aKey,
                 std::int64_t aDefault,
                 std::int64_t aMin)
{
  return std::chrono::milliseconds(
    aReader.Integer(aKey, aDefault, aMin, kMaxDeadlineMs));
}

service_row
ReadService(object_reader& aReader)
{
  service_row row;
  row.name = aReader.Name("name");
  row.id = IdOf<service_id>(row.name);
  row.maxConnections = static_cast<std::uint32_t>(
    aReader.Integer("max_connections", 0, 0, kMaxCount));
  row.coldRequestsPerSecond =
    aReader.Number("cold_per_s", 0.0, 0.0, kMaxTokens);
  row.coldDuration = ReadMilliseconds(aReader, "cold_for_ms", 0, 0);
  row.isEngine = aReader.Flag("engine", false);
  row.memoryBytes = static_cast<std::uint64_t>(aReader.Integer(
    "memory_bytes", 0, 0, static_cast<std::int64_t>(kMaxBytes)));
  row.adapterCapacity = static_cast<std::uint32_t>(
    aReader.Integer("adapter_places", 0, 0, kMaxCount));
  row.cacheTokens = static_cast<std::uint64_t>(
    aReader.Integer("cache_tokens", 0, 0, kMaxCount));
  return row;
}

// Either "service", or "targets" with at least one weight above zero.
std::vector<route_target>
ReadTargets(object_reader& aReader, std::vector<manifest_fault>& aFaults)
{
  std::vector<route_target> targets;
  const json& list = aReader.List("targets");
  if (list.empty()) {
    targets.push_back({ aReader.Name("service"), 1.0 });
    return targets;
  }
  double sum = 0.0;
  for (const json& element : list) {
    object_reader reader(element, aReader.Path() + "/targets", aFaults);
    route_target target{ reader.Name("service"),
                         reader.Number("weight", 1.0, 0.0, kMaxWeight) };
    reader.RefuseUnknownKeys();
    sum += target.weight;
    targets.push_back(std::move(target));
  }
  if (sum <= 0.0) {
    aReader.Add("targets", "expected a weight above 0");
  }
  return targets;
}

void
CheckPath(object_reader& aReader, const route_row& aRow)
{
  if (!aRow.path.starts_with("/")) {
    aReader.Add("path", "expected a path that starts with /");
  } else if (aRow.host.empty() && aRow.path.starts_with("/v1/")) {
    aReader.Add("path", "expected a path that does not start with /v1/");
  } else if (aRow.isPrefix && !aRow.path.ends_with("/")) {
    aReader.Add("path", "expected a prefix that ends with /");
  }
}

route_row
ReadRoute(object_reader& aReader, std::vector<manifest_fault>& aFaults)
{
  route_row row;
  row.path = aReader.Name("path");
  row.host = aReader.Text("host", "");
  row.name = aReader.Text("name", row.host + row.path);
  row.id = RouteId(row.host, row.path);
  row.isPrefix = aReader.Flag("prefix", false);
  CheckPath(aReader, row);
  row.targets = ReadTargets(aReader, aFaults);
  row.deadline = ReadMilliseconds(aReader, "deadline_ms", 10'000, 1);
  row.target = ReadMilliseconds(aReader, "target_ms", 0, 0);
  row.targetGap = ReadMilliseconds(aReader, "target_gap_ms", 0, 0);
  row.tokens = aReader.Number("tokens", 1.0, 0.0, kMaxTokens);
  row.rank = static_cast<int>(aReader.Integer("rank", 0, 0, kMaxRank));
  row.maxAttempts = static_cast<std::uint32_t>(
    aReader.Integer("max_attempts", 0, 0, kMaxAttempts));
  row.isIdempotent = aReader.Flag("idempotent", true);
  row.isStreamed = aReader.Flag("stream", false);
  row.canResume = aReader.Flag("resumable", false);
  row.isOpen = aReader.Flag("open", false);
  return row;
}

void
ReadCallers(object_reader& aReader, caller_limits& aLimits)
{
  const auto size = [&](const char* aKey, std::size_t aDefault) {
    return static_cast<std::size_t>(
      aReader.Integer(aKey, static_cast<std::int64_t>(aDefault), 1, kMaxCount));
  };
  aLimits.maxHeaderBytes = size("max_header_bytes", aLimits.maxHeaderBytes);
  aLimits.maxBodyBytes = size("max_body_bytes", aLimits.maxBodyBytes);
  aLimits.headerTimeout = ReadMilliseconds(
    aReader, "header_timeout_ms", aLimits.headerTimeout.count(), 1);
  aLimits.idleTimeout = ReadMilliseconds(
    aReader, "idle_timeout_ms", aLimits.idleTimeout.count(), 1);
  aReader.RefuseUnknownKeys();
}

void
ReadStore(object_reader& aReader, store_limits& aStore)
{
  aStore.loadsPerSecond =
    aReader.Number("loads_per_s", aStore.loadsPerSecond, 0.01, 10'000.0);
  aStore.loadsAtFullSpeed = static_cast<std::uint32_t>(
    aReader.Integer("loads_at_full_speed", aStore.loadsAtFullSpeed, 1, 10'000));
  aStore.adapterLoadsAtFullSpeed = static_cast<std::uint32_t>(aReader.Integer(
    "adapter_loads_at_full_speed", aStore.adapterLoadsAtFullSpeed, 1, 100'000));
  aReader.RefuseUnknownKeys();
}

// Reads each element of a list with aRead and inserts the row.
template<class table_type, class read_function>
void
ReadList(object_reader& aRoot,
         const char* aKey,
         std::vector<manifest_fault>& aFaults,
         table_type& aTable,
         read_function aRead)
{
  std::size_t position = 0;
  for (const json& element : aRoot.List(aKey)) {
    object_reader reader(element,
                         "/" + std::string(aKey) + "/" +
                           std::to_string(position++),
                         aFaults);
    auto row = aRead(reader);
    reader.RefuseUnknownKeys();
    InsertUnique(aTable, std::move(row), reader);
  }
}

policy_goal
ReadGoal(object_reader& aRoot)
{
  const std::string goal = aRoot.Text("goal", "worst_workspace");
  if (goal == "attainment") {
    return policy_goal::eAttainment;
  }
  if (goal != "worst_workspace") {
    aRoot.Add("goal", "expected worst_workspace or attainment");
  }
  return policy_goal::eWorstWorkspace;
}

void
ReadAll(object_reader& aRoot,
        manifest& aManifest,
        std::vector<manifest_fault>& aFaults)
{
  aManifest.name = aRoot.Name("name");
  aManifest.version = aRoot.Name("version");
  aManifest.number =
    static_cast<std::uint64_t>(aRoot.Integer("number", 0, 0, kMaxNumber));
  aManifest.source = aRoot.Text("source", "");
  aManifest.goal = ReadGoal(aRoot);
  aManifest.cutOffGrace = std::chrono::seconds(
    aRoot.Integer("cut_off_grace_s", 3'600, 1, kMaxGraceSeconds));
  aManifest.claimWindow = std::chrono::seconds(
    aRoot.Integer("claim_window_s", 86'400, 60, kMaxGraceSeconds));
  if (const json* store = aRoot.Object("store")) {
    object_reader reader(*store, "/store", aFaults);
    ReadStore(reader, aManifest.store);
  }
  if (const json* callers = aRoot.Object("callers")) {
    object_reader reader(*callers, "/callers", aFaults);
    ReadCallers(reader, aManifest.callers);
  }
  ReadList(aRoot, "failure_domains", aFaults, aManifest.domains, ReadDomain);
  ReadList(aRoot, "services", aFaults, aManifest.services, ReadService);
  ReadList(aRoot, "models", aFaults, aManifest.models, ReadModel);
  ReadList(
    aRoot,
    "adapters",
    aFaults,
    aManifest.adapters,
    [&](object_reader& aReader) { return ReadAdapter(aReader, aManifest); });
  ReadList(
    aRoot,
    "workspaces",
    aFaults,
    aManifest.workspaces,
    [&](object_reader& aReader) { return ReadWorkspace(aReader, aManifest); });
  ReadList(
    aRoot, "routes", aFaults, aManifest.routes, [&](object_reader& aReader) {
      return ReadRoute(aReader, aFaults);
    });
  aRoot.RefuseUnknownKeys();
}

// With a key declared twice, the workspace of a request would depend on the
// order of the declarations.
void
RefuseSharedKeys(const manifest& aManifest,
                 std::vector<manifest_fault>& aFaults)
{
  std::set<key_hash> seen;
  for (const auto& [hash, workspace] : aManifest.keys) {
    if (!seen.insert(hash).second) {
      aFaults.push_back(
        { "/workspaces", "key hash declared twice: " + ToHex(hash) });
    }
  }
}

// A manifest that declares services must declare all of them: a route to an
// undeclared one would have no endpoints.
void
RefuseUnknownServices(const manifest& aManifest,
                      std::vector<manifest_fault>& aFaults)
{
  if (aManifest.services.Empty()) {
    return;
  }
  for (const route_row& route : aManifest.routes) {
    for (const route_target& target : route.targets) {
      if (!aManifest.services.Find(IdOf<service_id>(target.service))) {
        aFaults.push_back(
          { "/routes",
            route.name + ": no such service is declared: " + target.service });
      }
    }
  }
}

template<class table_type>
void
CompareNames(const char* aKind,
             const table_type& aFrom,
             const table_type& aTo,
             std::vector<std::string>& aLines)
{
  for (const auto& row : aTo) {
    if (aFrom.Find(row.id) == nullptr) {
      aLines.push_back(std::string("+ ") + aKind + " " + row.name);
    }
  }
  for (const auto& row : aFrom) {
    if (aTo.Find(row.id) == nullptr) {
      aLines.push_back(std::string("- ") + aKind + " " + row.name);
    }
  }
}

} // namespace

std::optional<manifest>
ParseManifest(std::string_view aText, std::vector<manifest_fault>& aFaults)
{
  const std::size_t faultsBefore = aFaults.size();
  last_reason reason;
  const auto document = ParseJson(aText, reason);
  if (!document) {
    aFaults.push_back({ "", reason.text });
    return std::nullopt;
  }
  manifest result;
  object_reader root(*document, "", aFaults);
  ReadAll(root, result, aFaults);
  RefuseSharedKeys(result, aFaults);
  RefuseUnknownServices(result, aFaults);
  if (result.domains.Empty()) {
    aFaults.push_back({ "/failure_domains", "expected at least one" });
  }
  if (aFaults.size() != faultsBefore) {
    return std::nullopt;
  }
  return result;
}

std::string
Describe(const std::vector<manifest_fault>& aFaults)
{
  std::string text;
  for (const manifest_fault& fault : aFaults) {
    text += (fault.path.empty() ? "/" : fault.path) + ": " + fault.text + "\n";
  }
  return text;
}

std::vector<std::string>
DescribeChanges(const manifest& aFrom, const manifest& aTo)
{
  std::vector<std::string> lines;
  CompareNames("model", aFrom.models, aTo.models, lines);
  CompareNames("adapter", aFrom.adapters, aTo.adapters, lines);
  CompareNames("workspace", aFrom.workspaces, aTo.workspaces, lines);
  CompareNames("failure domain", aFrom.domains, aTo.domains, lines);
  for (const model_row& model : aTo.models) {
    const model_row* old = aFrom.models.Find(model.id);
    if (old != nullptr && old->version != model.version) {
      lines.push_back("~ model " + model.name + " version " + old->version +
                      " -> " + model.version);
    }
  }
  for (const workspace_row& workspace : aTo.workspaces) {
    const workspace_row* old = aFrom.workspaces.Find(workspace.id);
    if (old != nullptr && (old->tokensPerSecond != workspace.tokensPerSecond ||
                           old->burstTokens != workspace.burstTokens)) {
      lines.push_back("~ workspace " + workspace.name + " rate or burst");
    }
  }
  return lines;
}

} // namespace bulrush
