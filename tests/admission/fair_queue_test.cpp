#include "admission/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

namespace bulrush::admission {
namespace {

using namespace std::chrono_literals;

constexpr steady_time kStart{ 1h };
const workspace_id kSmall{ 1 };
const workspace_id kFlooding{ 2 };

class queue_fixture
{
public:
  queue_tables queue;
  std::uint64_t last = 0;
  std::map<request_id, queued_row> all;

  request_id Add(workspace_id aWorkspace,
                 std::int64_t aTokens,
                 std::chrono::nanoseconds aDeadline = 1h,
                 std::chrono::nanoseconds aService = 0ns)
  {
    queued_row row;
    row.id = request_id{ ++last };
    row.workspace = aWorkspace;
    row.tokens = aTokens;
    row.arrivedAt = kStart;
    row.deadline = kStart + aDeadline;
    row.serviceTime = aService;
    all[row.id] = row;
    Enqueue(queue, row);
    return row.id;
  }
  queue_outbox Run(std::size_t aMaySend, steady_time aNow = kStart)
  {
    queue.maySend = aMaySend;
    queue_outbox out;
    RunTick(kQueueSystems, queue, aNow, out);
    return out;
  }
  std::int64_t TokensOf(workspace_id aWorkspace, const queue_outbox& aOut)
  {
    std::int64_t tokens = 0;
    for (const request_id id : aOut.send) {
      tokens += all[id].workspace == aWorkspace ? all[id].tokens : 0;
    }
    return tokens;
  }
};

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WhenOneWorkspaceFloods_ServesTheOtherItsFairShare",
                 "[admission]")
{
  for (int i = 0; i < 900; ++i) {
    Add(kFlooding, 100);
  }
  for (int i = 0; i < 50; ++i) {
    Add(kSmall, 100);
  }
  const queue_outbox out = Run(100);
  CHECK(TokensOf(kSmall, out) == 5'000);
  CHECK(TokensOf(kFlooding, out) == 5'000);
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WithFifoOrder_StarvesTheSmallWorkspace",
                 "[admission]")
{
  queue.pick = PickFirst;
  for (int i = 0; i < 900; ++i) {
    Add(kFlooding, 100);
  }
  Add(kSmall, 100);
  CHECK(TokensOf(kSmall, Run(100)) == 0);
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WhenALaneWasIdle_GivesNoCreditForIt",
                 "[admission]")
{
  for (int i = 0; i < 300; ++i) {
    Add(kFlooding, 100);
  }
  Run(200);
  for (int i = 0; i < 200; ++i) {
    Add(kSmall, 100);
  }
  const queue_outbox out = Run(100);
  CHECK(TokensOf(kFlooding, out) >= 4'900);
  CHECK(TokensOf(kSmall, out) >= 4'900);
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WithinOneWorkspace_SendsTheEarliestDeadlineFirst",
                 "[admission]")
{
  const auto late = Add(kSmall, 10, 9s);
  const auto early = Add(kSmall, 10, 3s);
  const auto middle = Add(kSmall, 10, 6s);
  CHECK(Run(3).send == std::vector{ early, middle, late });
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WhenADeadlineCannotBeMet_ShedsBeforeTheDeadline",
                 "[admission]")
{
  const auto late = Add(kSmall, 10, 2s, 3s);
  const auto inTime = Add(kSmall, 10, 9s, 3s);
  const queue_outbox out = Run(0);
  REQUIRE(out.shed.size() == 1);
  CHECK(out.shed[0].id == late);
  CHECK(out.shed[0].lateBy == 1s);
  CHECK(out.wake.at == kStart + 6s);
  CHECK(Run(1).send == std::vector{ inTime });
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WhenACallerDisconnects_NeverSendsItsRequest",
                 "[admission]")
{
  const auto removed = Add(kSmall, 10);
  const auto kept = Add(kSmall, 10);
  CHECK(Cancel(queue, removed));
  CHECK_FALSE(Cancel(queue, removed));
  CHECK(Run(5).send == std::vector{ kept });
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_WithAnyMixOfWorkspaces_KeepsServiceNearTheWeights",
                 "[admission][fuzz]")
{
  rc::prop(
    "service over weight of backlogged lanes differs by one request", [] {
      queue_fixture world;
      const auto lanes = *rc::gen::inRange<std::uint64_t>(2, 6);
      std::vector<double> weights(lanes + 1, 1);
      constexpr std::int64_t kLargest = 500;
      for (std::uint64_t lane = 1; lane <= lanes; ++lane) {
        weights[lane] = *rc::gen::inRange(1, 5);
        SetWeight(world.queue, workspace_id{ lane }, weights[lane]);
        for (int i = 0; i < 400; ++i) {
          const auto tokens = *rc::gen::inRange<std::int64_t>(1, kLargest);
          world.Add(workspace_id{ lane }, tokens);
        }
      }
      const queue_outbox out =
        world.Run(*rc::gen::inRange<std::size_t>(1, 300));
      for (std::uint64_t a = 1; a <= lanes; ++a) {
        for (std::uint64_t b = 1; b <= lanes; ++b) {
          const auto first =
            static_cast<double>(world.TokensOf(workspace_id{ a }, out));
          const auto second =
            static_cast<double>(world.TokensOf(workspace_id{ b }, out));
          RC_ASSERT(first / weights[a] <=
                    second / weights[b] + kLargest / weights[a]);
        }
      }
    });
}

TEST_CASE_METHOD(queue_fixture,
                 "Queue_UnderAnySequence_SendsOrShedsEachRequestOnce",
                 "[admission][fuzz]")
{
  rc::prop("each request leaves once, none is sent late", [] {
    queue_fixture world;
    if (*rc::gen::arbitrary<bool>()) {
      world.queue.pick = PickFirst;
    }
    std::map<request_id, int> left;
    std::size_t cancelled = 0;
    steady_time now = kStart;
    for (int step = 0; step < 30; ++step) {
      now += std::chrono::milliseconds{ *rc::gen::inRange(0, 300) };
      const auto added = *rc::gen::inRange(0, 20);
      for (int i = 0; i < added; ++i) {
        world.Add(workspace_id{ *rc::gen::inRange<std::uint64_t>(1, 4) },
                  *rc::gen::inRange<std::int64_t>(1, 100),
                  now - kStart +
                    std::chrono::milliseconds{ *rc::gen::inRange(1, 2000) },
                  std::chrono::milliseconds{ *rc::gen::inRange(0, 500) });
      }
      const request_id some{ *rc::gen::inRange<std::uint64_t>(1,
                                                              world.last + 2) };
      if (Cancel(world.queue, some)) {
        ++left[some];
        ++cancelled;
      }
      const auto out = world.Run(*rc::gen::inRange<std::size_t>(0, 15), now);
      for (const request_id id : out.send) {
        ++left[id];
        const queued_row& row = world.all[id];
        RC_ASSERT(now + row.serviceTime <= row.deadline);
      }
      for (const shed_request& shed : out.shed) {
        ++left[shed.id];
        const queued_row& row = world.all[shed.id];
        RC_ASSERT(now + row.serviceTime > row.deadline);
      }
    }
    const auto out = world.Run(10'000, now);
    for (const request_id id : out.send) {
      ++left[id];
    }
    for (const shed_request& shed : out.shed) {
      ++left[shed.id];
    }
    RC_ASSERT(left.size() == world.last);
    for (const auto& [id, times] : left) {
      RC_ASSERT(times == 1);
    }
    RC_ASSERT(world.queue.requests.Empty());
  });
}

} // namespace
} // namespace bulrush::admission
