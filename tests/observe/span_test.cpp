#include "observe/observe.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <fstream>

namespace bulrush {
namespace {

using namespace std::chrono_literals;

constexpr const char* kHeader =
  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

struct span_fixture
{
  last_reason reason;
  random_engine random{ 1 };
  std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                 ("bulrush-span-" + std::to_string(::getpid()));
  span_source source{ "bulrush-entry", "entry-1", "north" };

  span_fixture() { std::filesystem::create_directories(folder); }
  ~span_fixture() { std::filesystem::remove_all(folder); }

  span_row MakeSpan()
  {
    span_row row;
    row.context = NewTrace(random);
    row.parent = NewTrace(random).span;
    row.name = "attempt";
    row.kind = span_kind::eClient;
    row.start = wall_time(1764837000s);
    row.end = row.start + 42ms;
    row.attributes = { { "endpoint", "draft-3" } };
    return row;
  }

  static std::vector<std::string> LinesOf(const std::filesystem::path& aFile)
  {
    std::ifstream stream(aFile);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(line);
    }
    return lines;
  }
};

TEST_CASE_METHOD(span_fixture,
                 "Traceparent_WhenWellFormed_RoundTrips",
                 "[observe]")
{
  const auto context = ParseTraceparent(kHeader, reason);
  REQUIRE(context.has_value());
  CHECK(context->sampled);
  CHECK(FormatTraceparent(*context) == kHeader);
}

TEST_CASE_METHOD(span_fixture,
                 "Traceparent_WhenMalformed_IsRefused",
                 "[observe]")
{
  const std::string good = kHeader;
  const std::vector<std::string> bad = {
    "",
    good.substr(1),
    good + "-00",
    "ff" + good.substr(2),
    "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
    "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
    "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
    "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
  };
  for (const std::string& header : bad) {
    INFO(header);
    CHECK_FALSE(ParseTraceparent(header, reason).has_value());
  }
  // A later version may be longer.
  CHECK(ParseTraceparent("01" + good.substr(2) + "-x", reason).has_value());
}

TEST_CASE_METHOD(span_fixture,
                 "ChildOf_AHop_KeepsTheTraceAndChangesTheSpan",
                 "[observe]")
{
  const trace_context parent = NewTrace(random);
  const trace_context child = ChildOf(parent, random);
  CHECK(child.trace == parent.trace);
  CHECK(child.span != parent.span);
  CHECK(child.span != span_id{});
}

TEST_CASE_METHOD(span_fixture,
                 "FormatSpan_OfAHop_IsOneLineThatParseSpanReadsBack",
                 "[observe]")
{
  span_row row = MakeSpan();
  row.failure = "read answer (draft-3): connection reset";
  const std::string line = FormatSpan(row, source);
  CHECK(line.find('\n') == std::string::npos);
  const auto parsed = ParseSpan(line, reason);
  REQUIRE(parsed.has_value());
  CHECK(parsed->source.service == "bulrush-entry");
  CHECK(parsed->source.host == "entry-1");
  CHECK(parsed->source.domain == "north");
  CHECK(parsed->span.context.trace == row.context.trace);
  CHECK(parsed->span.context.span == row.context.span);
  CHECK(parsed->span.parent == row.parent);
  CHECK(parsed->span.kind == span_kind::eClient);
  CHECK(parsed->span.start == row.start);
  CHECK(parsed->span.end == row.end);
  CHECK(parsed->span.failure == row.failure);
  REQUIRE(parsed->span.attributes.size() == 1);
  CHECK(parsed->span.attributes[0].value == "draft-3");
}

TEST_CASE_METHOD(span_fixture,
                 "FormatSpan_OfAHop_FollowsTheOtlpJsonEncoding",
                 "[observe]")
{
  const span_row row = MakeSpan();
  const auto line = nlohmann::json::parse(FormatSpan(row, source));
  const auto& span = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  CHECK(span["traceId"].get<std::string>().size() == 32);
  CHECK(span["spanId"].get<std::string>().size() == 16);
  CHECK(span["startTimeUnixNano"] == "1764837000000000000");
  CHECK(span["endTimeUnixNano"] == "1764837000042000000");
  CHECK(span["kind"] == 3);
  CHECK_FALSE(span.contains("status"));
}

TEST_CASE_METHOD(span_fixture,
                 "FormatSpan_WhenAnAttributeHoldsAKey_RemovesIt",
                 "[observe]")
{
  span_row row = MakeSpan();
  row.attributes = { { "http.request.header.Authorization", "sk-1" },
                     { "X-Api-Key", "sk-2" },
                     { "note", "sent Bearer sk-3" } };
  row.failure = "refused Bearer sk-4";
  const std::string line = FormatSpan(row, source);
  CHECK(line.find("sk-") == std::string::npos);
  CHECK(line.find("[removed]") != std::string::npos);
}

TEST_CASE_METHOD(span_fixture,
                 "FormatSpan_WhenAnAttributeIsInvalidUtf8_ReplacesTheBytes",
                 "[observe]")
{
  span_row row = MakeSpan();
  row.attributes = { { "path", "/\xff\xfe" } };
  CHECK(ParseSpan(FormatSpan(row, source), reason).has_value());
}

TEST_CASE_METHOD(span_fixture,
                 "ParseSpan_OfAMalformedDocument_ReportsTheError",
                 "[observe]")
{
  CHECK_FALSE(ParseSpan("{\"resourceSpans\":[]}", reason).has_value());
  CHECK_FALSE(ParseSpan("{", reason).has_value());
  CHECK(reason.step == "read span");
  CHECK_FALSE(reason.text.empty());
}

TEST_CASE_METHOD(span_fixture,
                 "FileSpanWriter_WhenTwoWritersShareAFile_KeepsAllLines",
                 "[observe]")
{
  const auto file = folder / "spans.jsonl";
  const auto first = FileSpanWriter(file, source, 1 << 20, reason);
  const auto second = FileSpanWriter(file, source, 1 << 20, reason);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  (*first)(MakeSpan());
  (*second)(MakeSpan());
  (*first)(MakeSpan());
  const auto lines = LinesOf(file);
  REQUIRE(lines.size() == 3);
  for (const std::string& line : lines) {
    CHECK(ParseSpan(line, reason).has_value());
  }
}

TEST_CASE_METHOD(span_fixture,
                 "FileSpanWriter_WhenTheFileIsFull_RotatesIt",
                 "[observe]")
{
  const auto file = folder / "spans.jsonl";
  const std::uint64_t oneSpan = FormatSpan(MakeSpan(), source).size();
  const auto first = FileSpanWriter(file, source, 2 * oneSpan, reason);
  const auto second = FileSpanWriter(file, source, 2 * oneSpan, reason);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  (*first)(MakeSpan());
  (*first)(MakeSpan());
  (*first)(MakeSpan());
  // The second writer still has the full file open and must not rename the new
  // file over it.
  (*second)(MakeSpan());
  CHECK(LinesOf(folder / "spans.jsonl.1").size() == 2);
  CHECK(LinesOf(file).size() == 2);
}

TEST_CASE_METHOD(span_fixture,
                 "FileSpanWriter_WhenTheFolderIsMissing_ReportsTheFileName",
                 "[observe]")
{
  const auto file = folder / "none" / "spans.jsonl";
  CHECK_FALSE(FileSpanWriter(file, source, 1 << 20, reason).has_value());
  CHECK(reason.peer == file.string());
}

} // namespace
} // namespace bulrush
