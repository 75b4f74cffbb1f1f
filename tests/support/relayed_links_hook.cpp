/// Preloaded into a program under test. Leads its connections to link ports
/// through the relay, and those over a cut pair to a port that never answers.

#include "support/relay_table.hpp"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

namespace {

using bulrush::test::relay_table;

relay_table*
MapTable()
{
  const char* path = std::getenv(bulrush::test::kRelayTableVariable);
  const int file = path == nullptr ? -1 : ::open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) {
    return nullptr;
  }
  void* mapped = ::mmap(
    nullptr, sizeof(relay_table), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  return mapped == MAP_FAILED ? nullptr : static_cast<relay_table*>(mapped);
}

relay_table*
Table()
{
  static relay_table* const kTable = MapTable();
  return kTable;
}

in_addr
SourceAddress()
{
  in_addr address{};
  const char* text = std::getenv(bulrush::test::kRelaySourceVariable);
  ::inet_pton(AF_INET, text == nullptr ? "127.0.0.1" : text, &address);
  return address;
}

std::uint8_t
MachineOf(const in_addr& aAddress)
{
  return static_cast<std::uint8_t>(ntohl(aAddress.s_addr));
}

// The relay knows the source of a connection by its address.
void
BindToSource(int aSocket)
{
  constexpr int kOn = 1;
  ::setsockopt(aSocket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &kOn, sizeof(kOn));
  sockaddr_in source{};
  source.sin_family = AF_INET;
  source.sin_addr = SourceAddress();
  if (::bind(aSocket,
             reinterpret_cast<const sockaddr*>(&source),
             sizeof(source)) != 0) {
    std::abort(); // a link from another address could not be cut
  }
}

// A target that does not listen is left to the kernel, which refuses.
sockaddr_in
Redirect(int aSocket, sockaddr_in aAddress)
{
  relay_table& table = *Table();
  const std::uint8_t source = MachineOf(SourceAddress());
  const std::uint8_t target = MachineOf(aAddress.sin_addr);
  if (table.IsCut(source, target) || table.IsCut(target, source)) {
    aAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    aAddress.sin_port = htons(table.silentPort);
  } else if (table.isListening[target]) {
    BindToSource(aSocket);
    aAddress.sin_port = htons(table.relayPort);
  }
  return aAddress;
}

} // namespace

extern "C" int
connect(int aSocket, const sockaddr* aAddress, socklen_t aSize)
{
  using connect_function = int (*)(int, const sockaddr*, socklen_t);
  static const auto kNext =
    reinterpret_cast<connect_function>(::dlsym(RTLD_NEXT, "connect"));
  sockaddr_in address{};
  if (Table() != nullptr && aSize >= sizeof(address) &&
      aAddress->sa_family == AF_INET) {
    std::memcpy(&address, aAddress, sizeof(address));
    if (ntohs(address.sin_port) == Table()->linkPort) {
      address = Redirect(aSocket, address);
      return kNext(
        aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
  }
  return kNext(aSocket, aAddress, aSize);
}

extern "C" int
listen(int aSocket, int aBacklog)
{
  using listen_function = int (*)(int, int);
  static const auto kNext =
    reinterpret_cast<listen_function>(::dlsym(RTLD_NEXT, "listen"));
  const int result = kNext(aSocket, aBacklog);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (result == 0 && Table() != nullptr &&
      ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size) ==
        0 &&
      address.sin_family == AF_INET &&
      ntohs(address.sin_port) == Table()->linkPort) {
    Table()->isListening[MachineOf(address.sin_addr)] = true;
  }
  return result;
}
