#include "control/tables.hpp"

#include <catch2/catch.hpp>

namespace bulrush::control {
namespace {

/// A control process that knows two others of one failure domain.
struct status_fixture
{
  control_tables tables;
  steady_time now = steady_time{} + std::chrono::hours{ 1 };

  status_fixture()
  {
    tables.self.name = "control";
    tables.self.domain = "north";
    tables.log.leaderName = [this] { return tables.self.name; };
    domain_row domain;
    domain.id = IdOf<domain_id>("south");
    domain.name = "south";
    tables.fleet.declared.domains.Insert(domain);
  }

  void AddControl(const std::string& aName,
                  std::uint64_t aConfirmed,
                  std::chrono::seconds aAge)
  {
    control_row row;
    row.id = IdOf<replica_id>(aName);
    row.name = aName;
    row.domain = "south";
    row.confirmedRevision = aConfirmed;
    row.lastSeen = now - aAge;
    tables.controls.Insert(row);
  }

  wire::domain_status South() const
  {
    control_outbox out;
    HandleStatusCall(tables, {}, {}, now, out);
    const auto& reply = std::get<wire::status_reply>(out.messages.at(0).body);
    return reply.domains.at(0);
  }
};

// Guards against an operator that waits for what a process confirmed before it
// was replaced.
TEST_CASE_METHOD(status_fixture,
                 "DomainStatus_WithAControlProcessThatIsGone_IsTheNewest",
                 "[control]")
{
  AddControl("control-1", 7, std::chrono::seconds{ 1 });
  AddControl("control-2", 3, std::chrono::seconds{ 60 });
  CHECK(South().confirmedRevision == 7);
  CHECK(South().age == std::chrono::seconds{ 1 });
}

} // namespace
} // namespace bulrush::control
