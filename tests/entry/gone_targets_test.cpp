#include "entry/gone_targets.hpp"
#include "entry/requests.hpp"

#include <catch2/catch.hpp>

namespace bulrush::entry {
namespace {

struct gone_targets_fixture
{
  gone_targets gone;

  /// A manifest with these models, each with an adapter "MODEL-a", and one
  /// route to each of these services.
  static manifest Declare(const std::vector<std::string>& aModels,
                          const std::vector<std::string>& aServices)
  {
    manifest declared;
    for (const std::string& name : aModels) {
      model_row model;
      model.id = IdOf<model_id>(name);
      declared.models.Insert(model);
      adapter_row adapter;
      adapter.id = IdOf<adapter_id>(name + "-a");
      declared.adapters.Insert(adapter);
    }
    for (const std::string& name : aServices) {
      route_row route;
      route.id = IdOf<route_id>("/" + name);
      route.targets = { { name, 1.0 } };
      declared.routes.Insert(route);
    }
    return declared;
  }

  static routing::request_facts For(model_id aModel,
                                    const std::string& aAdapter = "")
  {
    routing::request_facts facts;
    facts.model = aModel;
    facts.adapter =
      aAdapter.empty() ? adapter_id{} : IdOf<adapter_id>(aAdapter);
    return facts;
  }

  bool IsModelGone(const std::string& aModel) const
  {
    return gone.IsGone(For(IdOf<model_id>(aModel)));
  }
  bool IsAdapterGone(const std::string& aModel,
                     const std::string& aAdapter) const
  {
    return gone.IsGone(For(IdOf<model_id>(aModel), aAdapter));
  }
  bool IsServiceGone(const std::string& aService) const
  {
    return gone.IsGone(For(ServiceId(aService)));
  }
};

TEST_CASE_METHOD(gone_targets_fixture,
                 "Targets_ThatANewManifestLacks_AreGone",
                 "[entry]")
{
  manifest newer = Declare({ "draft" }, { "desk" });
  newer.adapters.Clear();
  gone.Update(Declare({ "draft", "proof" }, { "desk", "files" }), newer);
  CHECK(IsModelGone("proof"));
  CHECK(IsServiceGone("files"));
  CHECK(IsAdapterGone("draft", "draft-a"));
  CHECK_FALSE(IsModelGone("draft"));
  CHECK_FALSE(IsServiceGone("desk"));
}

// This host's manifest may lag behind the one that the caller knows.
TEST_CASE_METHOD(gone_targets_fixture,
                 "Targets_ThatWereNeverDeclared_AreNotGone",
                 "[entry]")
{
  gone.Update(Declare({ "draft" }, {}), Declare({}, {}));
  CHECK_FALSE(IsModelGone("proof"));
  CHECK_FALSE(IsServiceGone("desk"));
}

TEST_CASE_METHOD(gone_targets_fixture,
                 "Targets_GoneSeveralManifestsAgo_StayGoneUntilDeclared",
                 "[entry]")
{
  const manifest full = Declare({ "draft" }, { "desk" });
  const manifest empty = Declare({}, {});
  gone.Update(full, empty);
  gone.Update(empty, empty);
  CHECK(IsModelGone("draft"));
  CHECK(IsServiceGone("desk"));
  gone.Update(empty, full);
  CHECK_FALSE(IsModelGone("draft"));
  CHECK_FALSE(IsServiceGone("desk"));
}

} // namespace
} // namespace bulrush::entry
