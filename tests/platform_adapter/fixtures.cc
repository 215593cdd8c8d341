#include "tests/platform_adapter/fixtures.h"

#include <fmt/format.h>

#include <memory>

#include "source/event/event_loop.h"

namespace runshelf::platform_adapter {

std::vector<event::Endpoint> FreeEndpoints(const std::string& ip, size_t count) {
  event::EventLoop loop;
  std::vector<std::unique_ptr<event::TcpListener>> listeners;
  std::vector<event::Endpoint> endpoints;
  for (size_t index = 0; index < count; ++index) {
    listeners.push_back(std::make_unique<event::TcpListener>(loop, nullptr));
    listeners.back()->Listen({ip, 0});
    endpoints.push_back({ip, listeners.back()->bound_port()});
  }
  return endpoints;
}

std::string TestConfiguration(int version, const std::string& plain_service) {
  return fmt::format(
      R"({{"version":"r{}","routes":{{"columns":["name","host","path_prefix","kind","timeout_ms",)"
      R"("target_latency_ms","priority","service","max_attempts"],"rows":[)"
      R"(["read","h.example","/read/","idempotent",1500,1000,2,"{}",2],)"
      R"(["send","h.example","/send/","non_idempotent",1500,1000,1,"{}",2],)"
      R"(["pull","h.example","/pull/","download",20000,1000,2,"{}",2],)"
      R"(["keyed","h.example","/keyed/","idempotent",1500,1000,2,"keyed",2]]}},)"
      R"("services":{{"columns":["name","health_check_path","sharded"],)"
      R"("rows":[["plain","/health",null],["other","/health",null],["keyed","/health",true]]}},)"
      R"("limits":{{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000}}}})",
      version, plain_service, plain_service, plain_service);
}

}  // namespace runshelf::platform_adapter
