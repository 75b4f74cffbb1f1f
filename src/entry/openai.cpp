#include "entry/openai.hpp"

#include "entry/requests.hpp"
#include "settings/settings.hpp"
#include "json/json.hpp"

#include <charconv>
#include <limits>
#include <stdexcept>

namespace bulrush::entry {
namespace {

using nlohmann::json;

constexpr std::uint64_t kDefaultMaxTokens = 256;
constexpr std::uint64_t kMaxTokensLimit = 131'072;
constexpr std::uint64_t kMaxUsedTokens = 1'000'000'000'000;
constexpr int kUnauthorized = 401;

caller_error
BadRequest(std::string aText)
{
  return { 400, "bad_request", std::move(aText), false, std::nullopt };
}

bool
HasJsonType(const net::http_request& aRequest)
{
  const std::string* type = net::FindField(aRequest.fields, "Content-Type");
  return type != nullptr && type->starts_with("application/json");
}

// A token has at least one byte, so the number of bytes is an upper bound that
// needs no tokenizer. Ordinary text has about four bytes per token.
std::uint64_t
BoundPromptTokens(const std::string& aBody)
{
  constexpr std::uint64_t kMinBytesPerToken = 1;
  return aBody.size() / kMinBytesPerToken;
}

std::optional<std::uint64_t>
ReadMaxTokens(const json& aDocument, caller_error& aError)
{
  for (const char* key : { "max_completion_tokens", "max_tokens" }) {
    const auto field = aDocument.find(key);
    if (field == aDocument.end() || field->is_null()) {
      continue;
    }
    if (!field->is_number_unsigned() || *field < 1U ||
        *field > kMaxTokensLimit) {
      aError = BadRequest(std::string(key) +
                          ": expected a whole number from 1 to 131072");
      return std::nullopt;
    }
    return field->get<std::uint64_t>();
  }
  return kDefaultMaxTokens;
}

std::optional<json>
ParseObject(const std::string& aBody, caller_error& aError)
{
  last_reason reason;
  auto document = ParseJson(aBody, reason);
  if (!document) {
    aError = BadRequest("the body: " + reason.text);
    return std::nullopt;
  }
  if (!document->is_object()) {
    aError = BadRequest("the body is not a JSON object");
    return std::nullopt;
  }
  return document;
}

// Rejects negative numbers, which would convert to very large ones.
std::uint64_t
ReadCount(const json& aFrom, const char* aName)
{
  const json& value = aFrom.at(aName);
  if (!value.is_number_unsigned()) {
    throw std::invalid_argument(std::string(aName) +
                                ": expected a whole number");
  }
  return value.get<std::uint64_t>();
}

std::uint64_t
ReadCount(const json& aFrom, const char* aName, std::uint64_t aDefault)
{
  return aFrom.contains(aName) ? ReadCount(aFrom, aName) : aDefault;
}

std::uint32_t
ReadSmallCount(const json& aFrom, const char* aName, std::uint32_t aDefault)
{
  const std::uint64_t count = ReadCount(aFrom, aName, aDefault);
  if (count > std::numeric_limits<std::uint32_t>::max()) {
    throw std::invalid_argument(std::string(aName) + ": too large");
  }
  return static_cast<std::uint32_t>(count);
}

resident
ParseResident(const json& aFrom)
{
  resident row;
  row.model = IdOf<model_id>(aFrom.at("model").get<std::string>());
  row.version = aFrom.value("version", "");
  for (const json& adapter : aFrom.value("adapters", json::array())) {
    row.adapters.push_back(IdOf<adapter_id>(adapter.get<std::string>()));
  }
  return row;
}

endpoint_row
ParseReportObject(const json& aFrom)
{
  endpoint_row row;
  row.name = aFrom.at("endpoint").get<std::string>();
  row.id = IdOf<endpoint_id>(row.name);
  row.incarnation = ReadCount(aFrom, "incarnation");
  row.sequence = ReadCount(aFrom, "sequence");
  row.address = aFrom.at("address").get<std::string>();
  row.domain = IdOf<domain_id>(aFrom.at("failure_domain").get<std::string>());
  row.memoryBytes = ReadCount(aFrom, "memory_bytes", 0);
  row.usedBytes = ReadCount(aFrom, "used_bytes", 0);
  row.slots = ReadSmallCount(aFrom, "slots", 1);
  row.coldSlots = ReadSmallCount(aFrom, "cold_slots", 1);
  row.isCold = aFrom.value("cold", false);
  row.canResume = aFrom.value("resume", false);
  row.checksFencing = aFrom.value("checks_fencing", false);
  row.isLeaving = aFrom.value("leaving", false);
  row.running = ReadSmallCount(aFrom, "running", 0);
  row.queued = ReadSmallCount(aFrom, "queued", 0);
  for (const json& from : aFrom.value("residents", json::array())) {
    row.residents.push_back(ParseResident(from));
  }
  for (const json& service : aFrom.value("services", json::array())) {
    row.services.push_back(service.get<std::string>());
  }
  for (const json& from : aFrom.value("orders", json::array())) {
    const std::string number = from.at("order").get<std::string>();
    row.orders.push_back({ order_id{ std::stoull(number, nullptr, 16) },
                           ReadCount(from, "fencing", 0),
                           from.value("done", false) });
  }
  return row;
}

json
ModelEntry(const std::string& aName)
{
  return { { "id", aName }, { "object", "model" }, { "owned_by", "fleet" } };
}

} // namespace

std::string
FormatError(const caller_error& aError, const std::string& aRequestId)
{
  const json document = {
    { "error",
      { { "code", aError.code },
        { "message", aError.text },
        { "type", aError.code },
        { "ran", aError.mayHaveRun ? "may_have_run" : "not_run" },
        { "request_id", aRequestId } } }
  };
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
SendError(net::http_reply& aReply,
          const caller_error& aError,
          const std::string& aRequestId)
{
  std::vector<net::http_field> fields = {
    { "Content-Type", "application/json" },
    { "Bulrush-Request", aRequestId },
  };
  if (aError.retryAfter) {
    // The field holds whole seconds; 0 would invite an immediate retry.
    const auto seconds =
      std::max(std::chrono::seconds{ 1 },
               std::chrono::ceil<std::chrono::seconds>(*aError.retryAfter));
    fields.push_back({ "Retry-After", std::to_string(seconds.count()) });
  }
  aReply.Send(aError.status, fields, FormatError(aError, aRequestId));
}

namespace {

constexpr int kHexadecimal = 16;
constexpr attempt_id kInvalidAttempt{ ~std::uint64_t{ 0 } };

attempt_id
ParseAttempt(const std::string* aText)
{
  if (aText == nullptr) {
    return {};
  }
  attempt_id id;
  const char* end = aText->data() + aText->size();
  const auto read = std::from_chars(aText->data(), end, id.value, kHexadecimal);
  const bool isWhole = read.ec == std::errc{} && read.ptr == end;
  return isWhole && id ? id : kInvalidAttempt;
}

std::uint64_t
ParseNumber(const std::string* aText)
{
  std::uint64_t number = 0;
  if (aText != nullptr) {
    std::from_chars(aText->data(), aText->data() + aText->size(), number);
  }
  return number;
}

bool
IsCompletion(const std::string& aPath)
{
  return aPath == "/v1/completions" || aPath == "/v1/chat/completions";
}

part_id
PartOf(const json& aContent)
{
  return IdOf<part_id>(
    aContent.dump(-1, ' ', false, json::error_handler_t::replace));
}

// A chat repeats its earlier messages, and a caller that sends a request again
// its whole prompt. Of a long chat the newest messages count.
std::vector<part_id>
PartsOf(const json& aDocument)
{
  const auto messages = aDocument.find("messages");
  if (messages == aDocument.end() || !messages->is_array()) {
    const auto prompt = aDocument.find("prompt");
    return prompt == aDocument.end() ? std::vector<part_id>{}
                                     : std::vector{ PartOf(*prompt) };
  }
  std::vector<part_id> parts;
  const std::size_t count = std::min(messages->size(), quarantine::kMaxParts);
  for (std::size_t i = messages->size() - count; i < messages->size(); ++i) {
    parts.push_back(PartOf((*messages)[i]));
  }
  return parts;
}

std::optional<caller_call>
ReadCall(const net::http_request& aRequest, caller_error& aError)
{
  caller_call call;
  if (IsCompletion(aRequest.path)) {
    auto completion = ParseCompletion(aRequest, aError);
    if (!completion) {
      return std::nullopt;
    }
    call.isByModel = true;
    call.model = std::move(completion->modelName);
    call.isStreamed = completion->isStream;
    call.answerTokens = static_cast<std::int64_t>(completion->maxTokens);
    call.tokens =
      static_cast<std::int64_t>(completion->promptTokens) + call.answerTokens;
    call.body = std::move(completion->body);
    call.sharedParts = std::move(completion->parts);
  } else {
    call.body = aRequest.body;
  }
  caller_error keyError; // not fatal yet: open routes need no key
  if (const auto key = ParseBearer(aRequest, keyError)) {
    call.key = *key;
  } else if (keyError.status != kUnauthorized) {
    aError = std::move(keyError);
    return std::nullopt;
  }
  // Only these header fields are forwarded, so never the key.
  for (const char* name : { "Content-Type", "Accept", "traceparent" }) {
    if (const std::string* value = net::FindField(aRequest.fields, name)) {
      call.fields.push_back({ name, *value });
    }
  }
  return call;
}

void
WriteAttempt(const attempt_metadata& aAttempt,
             std::vector<net::http_field>& aTo)
{
  aTo.push_back({ "Bulrush-Attempt", FormatId(aAttempt.attempt.value) });
  if (aAttempt.resumeOffset > 0) {
    aTo.push_back({ "Bulrush-Resume", std::to_string(aAttempt.resumeOffset) });
  }
}

routing::answer_head
ReadAnswer(const attempt_metadata& /*aAttempt*/,
           int aStatus,
           const std::vector<net::http_field>& aFields)
{
  const std::string* notRun = net::FindField(aFields, "Bulrush-Not-Run");
  const std::string* leaving = net::FindField(aFields, "Bulrush-Leaving");
  routing::answer_head head;
  head.status = aStatus;
  head.echoed = ParseAttempt(net::FindField(aFields, "Bulrush-Attempt"));
  head.statesNotRun = notRun != nullptr && *notRun == "true";
  head.startOffset = ParseNumber(net::FindField(aFields, "Bulrush-Resume"));
  head.isLeaving = leaving != nullptr && *leaving == "true";
  head.retryAfter = net::ReadRetryAfter(aFields);
  return head;
}

std::vector<net::http_field>
AnswerFields(const std::vector<net::http_field>& aFields)
{
  const std::string* type = net::FindField(aFields, "Content-Type");
  return { { "Content-Type", type == nullptr ? "" : *type } };
}

void
BreakStream(net::http_reply& aReply,
            const caller_error& aError,
            const std::string& aRequestId)
{
  aReply.Write("event: error\ndata: " + FormatError(aError, aRequestId) +
               "\n\n");
  aReply.Abort();
}

} // namespace

front_end
OpenAiFrontEnd()
{
  front_end front;
  front.readCall = ReadCall;
  front.writeAttempt = WriteAttempt;
  front.readAnswer = ReadAnswer;
  front.readLoad = [](const std::vector<net::http_field>&) {
    return std::optional<routing::endpoint_load>();
  };
  front.answerFields = AnswerFields;
  front.sendError = SendError;
  front.breakStream = BreakStream;
  front.readUsage = ReadUsage;
  front.modelName = [](const std::string&, const std::string& aModel) {
    return aModel;
  };
  front.adapterName = [](const std::string&,
                         const std::string&,
                         const std::string& aAdapter) { return aAdapter; };
  return front;
}

// The body for the endpoint carries the max_tokens that is reserved, so that
// the engine cannot generate more than the workspace is charged for.
std::optional<completion_call>
ParseCompletion(const net::http_request& aRequest, caller_error& aError)
{
  if (!HasJsonType(aRequest)) {
    aError = { 415,
               "unsupported_media_type",
               "expected Content-Type: application/json",
               false,
               std::nullopt };
    return std::nullopt;
  }
  auto document = ParseObject(aRequest.body, aError);
  if (!document) {
    return std::nullopt;
  }
  const auto model = document->find("model");
  if (model == document->end() || !model->is_string()) {
    aError = BadRequest("model: expected a name");
    return std::nullopt;
  }
  const auto maxTokens = ReadMaxTokens(*document, aError);
  if (!maxTokens) {
    return std::nullopt;
  }
  const auto stream = document->find("stream");
  if (stream != document->end() && !stream->is_boolean()) {
    aError = BadRequest("stream: expected true or false");
    return std::nullopt;
  }
  completion_call call;
  call.modelName = model->get<std::string>();
  call.isStream = stream != document->end() && stream->get<bool>();
  call.promptTokens = BoundPromptTokens(aRequest.body);
  call.parts = PartsOf(*document);
  call.maxTokens = *maxTokens;
  (*document)["max_tokens"] = *maxTokens;
  document->erase("max_completion_tokens");
  call.body = document->dump();
  return call;
}

bool
CheckRequest(const net::http_request& aRequest,
             std::size_t aMaxBodyBytes,
             caller_error& aError)
{
  if (aRequest.body.size() > aMaxBodyBytes) {
    aError = { 413,
               "too_large",
               "the body is larger than " + std::to_string(aMaxBodyBytes) +
                 " bytes",
               false,
               std::nullopt };
    return false;
  }
  const bool isGetOrHead =
    aRequest.method == "GET" || aRequest.method == "HEAD";
  const bool isPost = aRequest.method == "POST";
  bool isAllowed = true;
  if (aRequest.path == "/v1/models" || aRequest.path == "/healthz" ||
      aRequest.path == "/readyz" || aRequest.path == "/metrics") {
    isAllowed = isGetOrHead;
  } else if (aRequest.path.starts_with("/v1/")) {
    isAllowed = isPost;
  }
  if (!isAllowed) {
    aError = { 405,
               "method_not_allowed",
               "this path is not served with the method " + aRequest.method,
               false,
               std::nullopt };
  }
  return isAllowed;
}

std::optional<std::int64_t>
ReadUsage(const std::string& aBody)
{
  last_reason ignored; // an answer need not be JSON
  const auto document = ParseJson(aBody, ignored);
  if (!document || !document->is_object()) {
    return std::nullopt;
  }
  const json usage = document->value("usage", json::object());
  field_reader reader(usage);
  const auto tokens =
    static_cast<std::int64_t>(reader.Whole("total_tokens", 0, kMaxUsedTokens));
  return reader.Fault() ? std::nullopt : std::optional(tokens);
}

std::optional<std::string>
ParseBearer(const net::http_request& aRequest, caller_error& aError)
{
  const caller_error unauthorized{
    401, "unauthorized", "expected Authorization: Bearer KEY", false, {}
  };
  for (const char* name : { "key=", "api_key=", "access_token=", "token=" }) {
    if (("&" + aRequest.query).find("&" + std::string(name)) !=
        std::string::npos) {
      aError = BadRequest("a key in the query string is refused");
      return std::nullopt;
    }
  }
  const std::string* field = net::FindField(aRequest.fields, "Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (field == nullptr || !field->starts_with(kScheme) ||
      field->size() == kScheme.size()) {
    aError = unauthorized;
    return std::nullopt;
  }
  return field->substr(kScheme.size());
}

std::optional<endpoint_row>
ParseEndpointReport(const std::string& aBody,
                    steady_time aNow,
                    last_reason& aReason)
{
  const std::string step = "read endpoint report";
  const auto document = ParseJson(aBody, aReason);
  if (!document) {
    return Fail(aReason, step, "", aReason.text);
  }
  try {
    endpoint_row row = ParseReportObject(*document);
    row.lastSeen = aNow;
    if (row.name.empty() || row.slots == 0) {
      return Fail(
        aReason, step, row.name, "expected a name and at least one slot");
    }
    // Requests are sent to this address, so it must be IP:PORT and not any text
    // that could alter the URL.
    if (!ParseAddress(row.address, aReason)) {
      return Fail(aReason, step, row.name, "address: expected " + aReason.text);
    }
    return IsInRange(row, aReason) ? std::optional(std::move(row))
                                   : std::nullopt;
  } catch (const std::exception& error) {
    return Fail(aReason, "read endpoint report", "", error.what());
  }
}

std::string
FormatModelList(const manifest& aManifest, const workspace_row& aWorkspace)
{
  const auto isAllowed = [&](model_id aModel) {
    return aWorkspace.models.empty() ||
           std::find(aWorkspace.models.begin(),
                     aWorkspace.models.end(),
                     aModel) != aWorkspace.models.end();
  };
  json list = json::array();
  for (const model_row& model : aManifest.models) {
    if (isAllowed(model.id)) {
      list.push_back(ModelEntry(model.name));
    }
  }
  for (const adapter_row& adapter : aManifest.adapters) {
    if (isAllowed(adapter.model)) {
      list.push_back(ModelEntry(adapter.name));
    }
  }
  return json{ { "object", "list" }, { "data", list } }.dump();
}

} // namespace bulrush::entry
