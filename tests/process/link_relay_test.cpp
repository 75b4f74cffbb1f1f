#include "support/link_relay.hpp"
#include "support/processes.hpp"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace bulrush::test {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kSource = "127.9.8.1";
constexpr const char* kTarget = "127.9.8.2";

std::filesystem::path
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "bulrush-relay-XXXXXX").string();
  return ::mkdtemp(name.data());
}

/// A connection from one machine to another through a relay.
struct link_relay_fixture
{
  const std::filesystem::path folder = MakeFolder();
  const std::uint16_t port = FreePort();
  link_relay relay{ folder / "table", port };
  asio::io_context context;
  tcp::acceptor acceptor{ context, { asio::ip::make_address(kTarget), port } };
  tcp::socket client{ context };
  tcp::socket server{ context };

  link_relay_fixture()
  {
    relay.AddTarget(kTarget);
    client.open(tcp::v4());
    client.bind({ asio::ip::make_address(kSource), 0 });
    client.connect({ asio::ip::make_address(kTarget), relay.Port() });
    acceptor.accept(server);
    Send("a");
    Receive();
  }
  ~link_relay_fixture() { std::filesystem::remove_all(folder); }
  link_relay_fixture(const link_relay_fixture&) = delete;
  link_relay_fixture& operator=(const link_relay_fixture&) = delete;

  void Cut()
  {
    relay.Cut(kSource, kTarget);
    relay.Cut(kTarget, kSource);
  }
  void Heal()
  {
    relay.Heal(kSource, kTarget);
    relay.Heal(kTarget, kSource);
  }
  void Send(const std::string& aBytes)
  {
    asio::write(client, asio::buffer(aBytes));
  }
  void Receive()
  {
    char byte = 0;
    asio::read(server, asio::buffer(&byte, 1));
  }
  static bool IsReset(tcp::socket& aSocket)
  {
    std::error_code error;
    char byte = 0;
    asio::read(aSocket, asio::buffer(&byte, 1), error);
    return error == asio::error::connection_reset;
  }
};

// Sent again after 0.2, 0.6, 1.4 s; the cut ends between the last two.
TEST_CASE_METHOD(link_relay_fixture,
                 "LinkRelay_WhenAPairIsHealed_DeliversAtTheNextRetransmission",
                 "[process][relay]")
{
  constexpr milliseconds kCutTime{ 800 };
  constexpr milliseconds kArrival{ 1'400 };
  relay.silentEnds = silent_ends::eKeep;
  Cut();
  const auto sentAt = std::chrono::steady_clock::now();
  Send("b");
  std::this_thread::sleep_for(kCutTime);
  CHECK(server.available() == 0);
  Heal();
  Receive();
  const auto took = std::chrono::steady_clock::now() - sentAt;
  CHECK(took >= kArrival);
  CHECK(took < 2 * kArrival);
}

TEST_CASE_METHOD(link_relay_fixture,
                 "LinkRelay_WhenBytesStayUnacknowledged_EndsTheSenderAlone",
                 "[process][relay]")
{
  Cut();
  Send("b");
  CHECK(IsReset(client));
  CHECK(server.available() == 0);
  Heal();
  CHECK(IsReset(server));
}

} // namespace
} // namespace bulrush::test
