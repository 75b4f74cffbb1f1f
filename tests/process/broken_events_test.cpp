#include "process/model_fleet_fixture.hpp"

namespace bulrush::test {
namespace {

/// Servers whose streams end in a given way, and one caller.
struct broken_events_fixture : model_fleet_fixture
{
  broken_events_fixture()
  {
    model_server_options options;
    options.count = 3;
    AddServers(options);
  }

  const caller_request& Ask(stream_end aHow)
  {
    servers->EndStreams(aHow);
    return callers->Finish(callers->Send(Prompt(false), 0));
  }
};

TEST_CASE_METHOD(broken_events_fixture,
                 "Stream_ThatEndsInsideAnEvent_IsNotCompleteForItsCaller",
                 "[process][stream]")
{
  const stream_end how = GENERATE(stream_end::eUnframedInsideEvent,
                                  stream_end::eUnframedBeforeLine,
                                  stream_end::eChunkedInsideEvent);
  const caller_request& answered = Ask(how);
  INFO(static_cast<int>(how) << ' ' << answered.status << ' ' << answered.body);
  REQUIRE(answered.endedAt);
  CHECK_FALSE((answered.status == 200 && answered.isComplete));
  CHECK((answered.body.empty() || answered.status != 200 ||
         answered.body.ends_with("\n\n")));
}

TEST_CASE_METHOD(broken_events_fixture,
                 "Stream_ThatEndsAfterAnEvent_IsCompleteForItsCaller",
                 "[process][stream]")
{
  const caller_request& answered =
    Ask(GENERATE(stream_end::eWhole, stream_end::eUnframed));
  INFO(answered.status << ' ' << answered.body);
  CHECK(answered.status == 200);
  CHECK(answered.isComplete);
  CHECK(answered.body.find("token8\n\n") != std::string::npos);
}

} // namespace
} // namespace bulrush::test
