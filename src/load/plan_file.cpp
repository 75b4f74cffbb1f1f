#include "load/load.hpp"
#include "json/json.hpp"

#include <cmath>

namespace bulrush::load {
namespace {

using nlohmann::json;

constexpr double kMaxDurationSeconds = 86'400;
constexpr double kMaxRequestsPerSecond = 100'000;
constexpr double kMaxFactor = 1'000;
constexpr double kMaxTokens = 1'000'000;
constexpr double kMaxAccelerators = 100'000;
constexpr double kMaxSkew = 10;

struct number_bounds
{
  double min;
  double max;
};

// Reads the members of one JSON object and collects their faults.
class object_reader
{
public:
  object_reader(const json& aObject,
                std::string aPath,
                std::vector<manifest_fault>& aFaults)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFaults(aFaults)
  {
    if (!mObject.is_object()) {
      AddFault("", "expected an object");
    }
  }

  double Number(const char* aName, double aDefault, number_bounds aBounds)
  {
    const json* const value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    const bool isValid = value->is_number() &&
                         value->get<double>() >= aBounds.min &&
                         value->get<double>() <= aBounds.max;
    if (!isValid) {
      AddFault(aName,
               "expected a number from " + json(aBounds.min).dump() + " to " +
                 json(aBounds.max).dump());
      return aDefault;
    }
    return value->get<double>();
  }

  offset Seconds(const char* aName, double aDefault)
  {
    return std::chrono::duration_cast<offset>(std::chrono::duration<double>(
      Number(aName, aDefault, { 0, kMaxDurationSeconds })));
  }

  std::string Text(const char* aName)
  {
    const json* const value = Find(aName);
    if (value == nullptr || !value->is_string()) {
      AddFault(aName, "expected a string");
      return {};
    }
    return *value;
  }

  /// Calls aRead with a reader for each element of an array. The member may be
  /// absent.
  void ForEach(const char* aName,
               const std::function<void(object_reader&)>& aRead)
  {
    const json* const value = Find(aName);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      AddFault(aName, "expected an array");
      return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      object_reader element(
        (*value)[i], PathOf(aName) + "/" + std::to_string(i), mFaults);
      aRead(element);
      element.RejectUnknownMembers();
    }
  }

  token_range Tokens(const char* aName, token_range aDefault)
  {
    const json* const value = Find(aName);
    if (value == nullptr) {
      return aDefault;
    }
    object_reader reader(*value, PathOf(aName), mFaults);
    const auto least = reader.Number("least", 1, { 1, kMaxTokens });
    const auto most = reader.Number("most", least, { least, kMaxTokens });
    reader.RejectUnknownMembers();
    return { static_cast<std::uint64_t>(least),
             static_cast<std::uint64_t>(most) };
  }

  bool Has(const char* aName) const
  {
    return mObject.is_object() && mObject.contains(aName);
  }

  void RejectUnknownMembers()
  {
    if (!mObject.is_object()) {
      return;
    }
    for (const auto& [name, value] : mObject.items()) {
      if (std::find(mKnownNames.begin(), mKnownNames.end(), name) ==
          mKnownNames.end()) {
        AddFault(name, "unknown member");
      }
    }
  }

  void AddFault(const std::string& aName, std::string aText)
  {
    mFaults.push_back({ PathOf(aName), std::move(aText) });
  }

private:
  const json* Find(const char* aName)
  {
    mKnownNames.emplace_back(aName);
    return Has(aName) ? &mObject.at(aName) : nullptr;
  }

  std::string PathOf(const std::string& aName) const
  {
    return aName.empty() ? mPath : mPath + "/" + aName;
  }

  const json& mObject;
  std::string mPath;
  std::vector<manifest_fault>& mFaults;
  std::vector<std::string> mKnownNames;
};

std::vector<surge>
ReadSurges(object_reader& aReader)
{
  std::vector<surge> surges;
  aReader.ForEach("surges", [&surges](object_reader& aSurge) {
    surge row;
    row.from = aSurge.Seconds("from_s", 0);
    row.to = aSurge.Seconds("to_s", 0);
    row.factor = aSurge.Number("factor", 1, { 0, kMaxFactor });
    if (row.to <= row.from) {
      aSurge.AddFault("to_s", "expected a time after from_s");
    }
    surges.push_back(row);
  });
  return surges;
}

void
ReadWorkspaces(object_reader& aReader, load_plan& aPlan)
{
  aReader.ForEach("workspaces", [&aPlan](object_reader& aElement) {
    load_workspace row;
    row.name = aElement.Text("name");
    row.id = IdOf<workspace_id>(row.name);
    row.requestsPerSecond =
      aElement.Number("requests_per_s", 1, { 0, kMaxRequestsPerSecond });
    row.surges = ReadSurges(aElement);
    if (aPlan.declared.workspaces.Find(row.id) == nullptr) {
      aElement.AddFault("name", "no workspace of the manifest");
    }
    aPlan.workspaces.Insert(std::move(row));
  });
  if (aPlan.workspaces.Empty()) {
    aReader.AddFault("workspaces", "expected at least one");
  }
}

std::optional<load_target>
FindTarget(const manifest& aManifest, const std::string& aName)
{
  load_target row;
  row.name = aName;
  row.id = IdOf<target_id>(aName);
  if (const auto* adapter = aManifest.adapters.Find(IdOf<adapter_id>(aName))) {
    if (const auto* base = aManifest.models.Find(adapter->model)) {
      row.deadline = base->deadline;
    }
    return row;
  }
  if (const auto* model = aManifest.models.Find(IdOf<model_id>(aName))) {
    row.deadline = model->deadline;
    return row;
  }
  for (const route_row& route : aManifest.routes) {
    if (route.path == aName) {
      row.isRoute = true;
      row.isIdempotent = route.isIdempotent;
      row.deadline = route.deadline;
      row.routeTokens = route.tokens;
      return row;
    }
  }
  return std::nullopt;
}

void
ReadTargets(object_reader& aReader, load_plan& aPlan)
{
  aReader.ForEach("targets", [&aPlan](object_reader& aElement) {
    const std::string name = aElement.Text("name");
    auto row = FindTarget(aPlan.declared, name);
    const double share = aElement.Number("share", 1, { 0, kMaxFactor });
    auto surges = ReadSurges(aElement);
    if (!row) {
      aElement.AddFault("name", "no model, adapter or route of the manifest");
      return;
    }
    row->share = share;
    row->surges = std::move(surges);
    aPlan.targets.Insert(std::move(*row));
  });
}

// Divides aTotalShare by Zipf's law, in the order of the manifest, among the
// models and adapters that the load file does not name. Demand for many models
// is skewed in this way.
void
AddSkewedTargets(load_plan& aPlan, double aSkew, double aTotalShare)
{
  std::vector<load_target> added;
  const auto add = [&](const std::string& aName) {
    auto row = FindTarget(aPlan.declared, aName);
    if (row && aPlan.targets.Find(row->id) == nullptr) {
      added.push_back(std::move(*row));
    }
  };
  for (const model_row& model : aPlan.declared.models) {
    add(model.name);
  }
  for (const adapter_row& adapter : aPlan.declared.adapters) {
    add(adapter.name);
  }
  double sum = 0;
  for (std::size_t i = 0; i < added.size(); ++i) {
    added[i].share = std::pow(static_cast<double>(i + 1), -aSkew);
    sum += added[i].share;
  }
  for (load_target& row : added) {
    row.share *= aTotalShare / sum;
    aPlan.targets.Insert(std::move(row));
  }
}

void
ReadAbsences(object_reader& aReader, load_plan& aPlan)
{
  aReader.ForEach("absences", [&aPlan](object_reader& aElement) {
    domain_absence row;
    row.domain = aElement.Text("domain");
    row.from = aElement.Seconds("from_s", 0);
    row.to = aElement.Seconds("to_s", 0);
    if (aPlan.declared.domains.Find(IdOf<domain_id>(row.domain)) == nullptr) {
      aElement.AddFault("domain", "no failure domain of the manifest");
    }
    if (row.to <= row.from) {
      aElement.AddFault("to_s", "expected a time after from_s");
    }
    aPlan.absences.push_back(std::move(row));
  });
}

void
ReadScalars(object_reader& aReader, load_plan& aPlan)
{
  aPlan.name = aReader.Text("name");
  aPlan.seed =
    static_cast<std::uint64_t>(aReader.Number("seed", 1, { 0, 1e15 }));
  aPlan.duration = aReader.Seconds("duration_s", 10);
  aPlan.warmUp = aReader.Seconds("warm_up_s", 0);
  aPlan.meanBatch = aReader.Number("mean_batch", 1, { 1, kMaxFactor });
  aPlan.streamShare = aReader.Number("stream_share", 1, { 0, 1 });
  aPlan.accelerators = static_cast<std::uint32_t>(
    aReader.Number("accelerators", 1, { 1, kMaxAccelerators }));
  aPlan.promptTokens = aReader.Tokens("prompt_tokens", { 16, 64 });
  aPlan.outputTokens = aReader.Tokens("output_tokens", { 4, 16 });
  if (aPlan.duration <= aPlan.warmUp) {
    aReader.AddFault("duration_s", "expected more than warm_up_s");
  }
}

} // namespace

std::optional<load_plan>
ParseLoadPlan(std::string_view aText,
              const manifest& aManifest,
              std::vector<manifest_fault>& aFaults)
{
  const std::size_t faultsBefore = aFaults.size();
  last_reason ignored;
  const auto document = ParseJson(aText, ignored);
  if (!document) {
    aFaults.push_back({ "", "expected JSON" });
    return std::nullopt;
  }
  load_plan plan;
  plan.declared = aManifest;
  object_reader reader(*document, "", aFaults);
  ReadScalars(reader, plan);
  ReadWorkspaces(reader, plan);
  ReadTargets(reader, plan);
  ReadAbsences(reader, plan);
  const double skew = reader.Number("skew", 1, { 0, kMaxSkew });
  const double skewedShare =
    reader.Number("skewed_share", plan.targets.Empty() ? 1 : 0, { 0, 1e6 });
  reader.RejectUnknownMembers();
  if (skewedShare > 0) {
    AddSkewedTargets(plan, skew, skewedShare);
  }
  if (plan.targets.Empty()) {
    reader.AddFault("targets", "expected at least one");
  }
  if (aFaults.size() != faultsBefore) {
    return std::nullopt;
  }
  return plan;
}

} // namespace bulrush::load
