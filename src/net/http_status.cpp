#include "net/http_status.hpp"

#include <unordered_map>

namespace bulrush::net {

const char*
ReasonPhrase(int aStatus)
{
  static const std::unordered_map<int, const char*> kReasonPhrases = {
    { 200, "OK" },
    { 202, "Accepted" },
    { 204, "No Content" },
    { 304, "Not Modified" },
    { 307, "Temporary Redirect" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 413, "Content Too Large" },
    { 415, "Unsupported Media Type" },
    { 421, "Misdirected Request" },
    { 422, "Unprocessable Content" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 500, "Internal Server Error" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  const auto found = kReasonPhrases.find(aStatus);
  return found == kReasonPhrases.end() ? "Status" : found->second;
}

bool
HasNoBody(int aStatus)
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

} // namespace bulrush::net
