#ifndef BULRUSH_TESTS_SUPPORT_RAW_CONNECTION_HPP
#define BULRUSH_TESTS_SUPPORT_RAW_CONNECTION_HPP

#include "support/processes.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace bulrush::test {

/// A TCP connection that sends arbitrary bytes.
class raw_connection
{
public:
  /// @param aFrom own IP address; empty for any.
  explicit raw_connection(const std::string& aAddress,
                          const std::string& aFrom = "")
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const std::size_t colon = aAddress.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (!aFrom.empty()) {
      sockaddr_in own{};
      own.sin_family = AF_INET;
      ::inet_pton(AF_INET, aFrom.c_str(), &own.sin_addr);
      if (::bind(mSocket,
                 reinterpret_cast<const sockaddr*>(&own),
                 sizeof(own)) != 0) {
        return;
      }
    }
    const timeval timeout{ kTestTimeout.count(), 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    mIsConnected = ::connect(mSocket,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
  }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;
  ~raw_connection() { ::close(mSocket); }

  bool IsConnected() const { return mIsConnected; }

  void Send(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = ::send(
        mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(count);
    }
  }

  void CloseSending() const { ::shutdown(mSocket, SHUT_WR); }

  /// Bytes received until the peer closes; nullopt if it stays open.
  std::optional<std::string> ReadToEnd() const
  {
    std::string bytes;
    std::array<char, 4096> buffer{};
    while (true) {
      const ssize_t count = ::recv(mSocket, buffer.data(), buffer.size(), 0);
      if (count < 0 && errno != ECONNRESET) {
        return std::nullopt;
      }
      if (count <= 0) {
        return bytes;
      }
      bytes.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

  /// Bytes received until they end with aEnd, or the peer closes.
  std::string ReadUntil(const std::string& aEnd) const
  {
    std::string bytes;
    char next = 0;
    while (!bytes.ends_with(aEnd) && ::recv(mSocket, &next, 1, 0) == 1) {
      bytes += next;
    }
    return bytes;
  }

  /// The next aCount bytes; fewer if the peer closes before.
  std::string Read(std::size_t aCount) const
  {
    std::string bytes(aCount, '\0');
    std::size_t received = 0;
    while (received < aCount) {
      const ssize_t count =
        ::recv(mSocket, bytes.data() + received, aCount - received, 0);
      if (count <= 0) {
        break;
      }
      received += static_cast<std::size_t>(count);
    }
    bytes.resize(received);
    return bytes;
  }

  bool HasInput() const
  {
    char next = 0;
    return ::recv(mSocket, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
  }

  /// Whether the peer has closed or reset the connection, with nothing left to
  /// read.
  bool IsClosedByPeer() const
  {
    char next = 0;
    const ssize_t count = ::recv(mSocket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

private:
  int mSocket;
  bool mIsConnected = false;
};

} // namespace bulrush::test

#endif
