#ifndef BULRUSH_NET_HTTP_STATUS_HPP
#define BULRUSH_NET_HTTP_STATUS_HPP

/// Status codes of HTTP answers.

namespace bulrush::net {

const char* ReasonPhrase(int aStatus);

/// Answers with this status have no body.
bool HasNoBody(int aStatus);

} // namespace bulrush::net

#endif
