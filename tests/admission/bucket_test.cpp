#include "admission/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace bulrush::admission {
namespace {

using namespace std::chrono_literals;

constexpr steady_time kStart{ 1h };

class bucket_fixture
{
public:
  token_bucket bucket = Make({ 1000, 5000 });

  static token_bucket Make(const share& aShare)
  {
    token_bucket created;
    created.filledAt = kStart;
    Resize(created, aShare, kStart);
    return created;
  }
};

TEST_CASE_METHOD(bucket_fixture,
                 "Bucket_WhenCreated_IsEmptyAndFillsAtItsRate",
                 "[admission]")
{
  CHECK_FALSE(TryConsume(bucket, 1, kStart));
  CHECK_FALSE(TryConsume(bucket, 1001, kStart + 1s));
  CHECK(TryConsume(bucket, 1000, kStart + 1s));
}

TEST_CASE_METHOD(bucket_fixture,
                 "Bucket_WhenUnused_FillsToItsSizeAndNoFurther",
                 "[admission]")
{
  Refill(bucket, kStart + 1h);
  CHECK(bucket.level == 5000);
  CHECK_FALSE(TryConsume(bucket, 5001, kStart + 1h));
}

TEST_CASE_METHOD(bucket_fixture,
                 "Bucket_WhenRefilledOften_LosesNothingToRounding",
                 "[admission]")
{
  token_bucket slow = Make({ 3, 1000 });
  for (auto at = kStart; at <= kStart + 100s; at += 7ms) {
    Refill(slow, at);
  }
  // Each call may be late by a nanosecond, never early.
  CHECK(slow.level == 299);
  Refill(slow, kStart + 100s + 1ms);
  CHECK(slow.level == 300);
}

TEST_CASE_METHOD(bucket_fixture,
                 "Bucket_WhenMadeSmaller_ReturnsTheUnitsThatNoLongerFit",
                 "[admission]")
{
  CHECK(Resize(bucket, { 1000, 2000 }, kStart + 4s) == 2000);
  CHECK(bucket.level == 2000);
}

TEST_CASE_METHOD(bucket_fixture,
                 "Refund_WhenTheBucketWasFullSince_ReturnsNothing",
                 "[admission]")
{
  REQUIRE(TryConsume(bucket, 5000, kStart + 5s));
  const std::uint64_t changeCount = bucket.changeCount;
  REQUIRE(TryConsume(bucket, 5000, kStart + 10s));
  // It was full at 10 s: unused tokens of the first take would have overflowed.
  CHECK(Refund(bucket, 5000, changeCount, kStart + 10s) == 0);
}

TEST_CASE_METHOD(bucket_fixture,
                 "Refund_WhenTheBucketHadHeadroomEverSince_ReturnsAll",
                 "[admission]")
{
  REQUIRE(TryConsume(bucket, 4000, kStart + 5s));
  const std::uint64_t changeCount = bucket.changeCount;
  CHECK(Refund(bucket, 3000, changeCount, kStart + 6s) == 3000);
  CHECK(bucket.level == 5000);
  CHECK(Refund(bucket, 3000, changeCount, kStart + 6s) == 0);
}

TEST_CASE_METHOD(bucket_fixture,
                 "TimeUntil_WhenTheBucketIsTooSmall_IsNever",
                 "[admission]")
{
  CHECK(TimeUntil(bucket, 2500, kStart) == 2500ms);
  CHECK(TimeUntil(bucket, 5001, kStart) == std::nullopt);
}

/// One TryConsume call of the property below, with the units used in the end.
struct take
{
  steady_time at;
  std::int64_t used;
};

// The oracle checks every interval separately.
std::int64_t
WorstExcess(const share& aShare, const std::vector<take>& aTakes)
{
  std::int64_t worst = 0;
  for (std::size_t first = 0; first < aTakes.size(); ++first) {
    std::int64_t used = 0;
    for (std::size_t last = first; last < aTakes.size(); ++last) {
      used += aTakes[last].used;
      const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
        aTakes[last].at - aTakes[first].at);
      const std::int64_t inflow = aShare.rate * millis.count() / 1000;
      worst = std::max(worst, used - inflow - aShare.size);
    }
  }
  return worst;
}

TEST_CASE_METHOD(bucket_fixture,
                 "Refund_InAnyOrder_NeverLetsAnIntervalExceedTheShare",
                 "[admission][fuzz]")
{
  rc::prop("no interval uses more than size + rate * time", [] {
    const share limit{ *rc::gen::inRange(1, 2000) * 1000L,
                       *rc::gen::inRange(1, 9000) * 1L };
    token_bucket tested = Make(limit);
    std::vector<take> takes;
    std::vector<std::pair<std::size_t, std::uint64_t>> open;
    steady_time now = kStart;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds{ *rc::gen::inRange(0, 30) };
      const bool takesNext = *rc::gen::arbitrary<bool>();
      if (takesNext) {
        const std::int64_t units = *rc::gen::inRange<std::int64_t>(1, 3000);
        if (TryConsume(tested, units, now)) {
          open.emplace_back(takes.size(), tested.changeCount);
          takes.push_back({ now, units });
        }
      } else if (!open.empty()) {
        const auto which = *rc::gen::inRange<std::size_t>(0, open.size());
        const auto [index, changeCount] = open[which];
        const auto used =
          *rc::gen::inRange<std::int64_t>(0, takes[index].used + 1);
        Refund(tested, takes[index].used - used, changeCount, now);
        takes[index].used = used;
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
      }
    }
    RC_ASSERT(WorstExcess(limit, takes) == 0);
  });
}

} // namespace
} // namespace bulrush::admission
