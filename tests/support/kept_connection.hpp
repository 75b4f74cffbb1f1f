#ifndef BULRUSH_TESTS_SUPPORT_KEPT_CONNECTION_HPP
#define BULRUSH_TESTS_SUPPORT_KEPT_CONNECTION_HPP

/// A caller's HTTP/1.1 connection that is kept between requests. Sends each
/// request once, unlike libcurl, which repeats some after a lost connection.

#include "support/raw_connection.hpp"

#include <nlohmann/json.hpp>

namespace bulrush::test {

/// What a caller saw of an answer.
struct caller_answer
{
  int status = 0;          ///< zero if no whole head came
  bool isComplete = false; ///< the message ended as HTTP says
  bool isLast = false;     ///< the answer says that the connection closes
  std::string body;
};

class kept_connection
{
public:
  explicit kept_connection(const std::string& aAddress)
    : mAddress(aAddress)
    , mConnection(aAddress)
  {
  }

  /// False once a request would certainly be lost.
  bool IsUsable() const
  {
    return mConnection.IsConnected() && !mIsSpent &&
           !mConnection.IsClosedByPeer();
  }

  caller_answer Post(const std::string& aPath,
                     const std::vector<std::string>& aFields,
                     const std::string& aBody)
  {
    std::string text = "POST " + aPath + " HTTP/1.1\r\nHost: " + mAddress +
                       "\r\nContent-Type: application/json\r\n";
    for (const std::string& field : aFields) {
      text += field + "\r\n";
    }
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    mConnection.Send(text + aBody);
    caller_answer answer = Read();
    mIsSpent = answer.isLast || !answer.isComplete;
    return answer;
  }

private:
  caller_answer Read() const
  {
    caller_answer answer;
    std::string head = mConnection.ReadUntil("\r\n\r\n");
    if (!head.ends_with("\r\n\r\n")) {
      return answer;
    }
    std::transform(head.begin(), head.end(), head.begin(), [](char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
    constexpr std::size_t kStatusAt = 9; // after "HTTP/1.1 "
    answer.status = std::stoi(head.substr(kStatusAt));
    answer.isLast = head.find("\r\nconnection: close") != std::string::npos;
    constexpr std::string_view kLength = "\r\ncontent-length: ";
    const std::size_t length = head.find(kLength);
    if (length != std::string::npos) {
      const std::size_t size = std::stoul(head.substr(length + kLength.size()));
      answer.body = mConnection.Read(size);
      answer.isComplete = answer.body.size() == size;
    } else {
      ReadChunks(answer);
    }
    return answer;
  }

  void ReadChunks(caller_answer& aAnswer) const
  {
    constexpr int kHexadecimal = 16;
    constexpr std::size_t kLineEnd = 2;
    while (true) {
      const std::string line = mConnection.ReadUntil("\r\n");
      if (line.size() <= kLineEnd || !line.ends_with("\r\n")) {
        return;
      }
      const std::size_t size = std::stoul(line, nullptr, kHexadecimal);
      const std::string chunk = mConnection.Read(size + kLineEnd);
      if (chunk.size() < size + kLineEnd) {
        aAnswer.body += chunk.substr(0, size);
        return;
      }
      aAnswer.body += chunk.substr(0, size);
      if (size == 0) {
        aAnswer.isComplete = true;
        return;
      }
    }
  }

  std::string mAddress;
  raw_connection mConnection;
  bool mIsSpent = false;
};

} // namespace bulrush::test

#endif
