#ifndef BULRUSH_TESTS_MODEL_FLEET_FIXTURE_HPP
#define BULRUSH_TESTS_MODEL_FLEET_FIXTURE_HPP

#include "support/model_callers.hpp"
#include "support/model_servers.hpp"
#include "support/processes.hpp"

#include <catch2/catch.hpp>

#include <random>

namespace bulrush::test {

/// Hosts and control processes of the platform's protocol, in three failure
/// domains, before model servers. A part of a prompt may crash these.
struct model_fleet_fixture
{
  static constexpr const char* kCrashingPart = "bad";
  static constexpr const char* kCommonPart = "c0de";
  const std::vector<std::string> kDomains{ "north", "south", "west" };
  fleet running{ Options() };
  asio::io_context context;
  std::unique_ptr<model_servers> servers;
  std::unique_ptr<model_callers> callers;
  random_engine random{ 20261205 };
  std::uint64_t lastOwnPart = 0x1000;

  model_fleet_fixture() { running.StartProcesses(); }

  fleet_options Options() const
  {
    using nlohmann::json;
    fleet_options options;
    options.domains = kDomains;
    options.entriesPerDomain = 2;
    options.hasControlHttp = true;
    options.entryArguments = { "--front-end",
                               "platform",
                               "--serve-without-lease" };
    options.controlArguments = { "--front-end", "platform" };
    json domains = json::array();
    for (const std::string& domain : kDomains) {
      domains.push_back({ { "name", domain } });
    }
    const json route = { { "path", "/drafts/" },  { "prefix", true },
                         { "service", "drafts" }, { "deadline_ms", 4'000 },
                         { "target_ms", 1'500 },  { "target_gap_ms", 200 },
                         { "max_attempts", 2 },   { "stream", true },
                         { "resumable", true },   { "open", true } };
    options.manifest = json{
      { "name", "test" },
      { "version", "1" },
      { "failure_domains", domains },
      { "routes", json::array({ route }) }
    }.dump();
    return options;
  }

  void AddServers(model_server_options aOptions)
  {
    aOptions.domains = kDomains;
    std::vector<std::string> controls;
    for (std::size_t i = 0; i < running.controls.size(); ++i) {
      controls.push_back(running.ControlHttpAddress(i));
    }
    servers = std::make_unique<model_servers>(context, controls, aOptions);
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < running.entries.size(); ++i) {
      hosts.push_back(running.EntryAddress(i));
    }
    callers = std::make_unique<model_callers>(context, hosts);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const steady_time end = net::Now() + kTestTimeout;
      while (callers->Finish(callers->Send(Prompt(false), i)).status != 200) {
        INFO(callers->Requests().back().status
             << callers->Requests().back().body << running.entries[i]->Log());
        REQUIRE(net::Now() < end);
        callers->Run(std::chrono::milliseconds{ 100 });
      }
    }
  }

  /// All share the first part; one of five others follows.
  std::string Prompt(bool aHasCrashingPart)
  {
    std::string prompt = std::string(kCommonPart) + ":50,5" +
                         std::to_string(random() % 5) + ":20,";
    prompt += aHasCrashingPart ? std::string(kCrashingPart) + ":10," : "";
    std::array<char, 20> own{};
    std::snprintf(own.data(),
                  own.size(),
                  "%llx",
                  static_cast<unsigned long long>(++lastOwnPart));
    return prompt + own.data() + ":20";
  }

  /// Sends aPerSecond requests to hosts drawn by lot for aTime.
  void SendFor(std::chrono::milliseconds aTime,
               double aPerSecond,
               double aCrashingShare)
  {
    const steady_time begin = net::Now();
    std::size_t sent = 0;
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    callers->Run(aTime, [&] {
      const std::chrono::duration<double> elapsed = net::Now() - begin;
      const auto due = static_cast<std::size_t>(elapsed.count() * aPerSecond);
      for (; sent < due; ++sent) {
        callers->Send(Prompt(draw(random) < aCrashingShare),
                      random() % running.entries.size(),
                      true);
      }
    });
  }

  static bool IsSound(const caller_request& aRequest)
  {
    return aRequest.prompt.find("," + std::string(kCrashingPart) + ":") ==
           std::string::npos;
  }

  /// Part of the sound requests that were answered in full at their first
  /// attempt.
  double ShareWhole(steady_time aFrom, steady_time aTo) const
  {
    double sent = 0;
    double whole = 0;
    for (const caller_request& request : callers->Requests()) {
      if (!IsSound(request) || request.isRepeat || request.sentAt < aFrom ||
          request.sentAt >= aTo) {
        continue;
      }
      sent += 1;
      whole += request.status == 200 && request.isComplete ? 1 : 0;
    }
    return sent == 0 ? 0 : whole / sent;
  }
};

} // namespace bulrush::test

#endif
