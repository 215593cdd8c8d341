#include "tools/scale/structure_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <numeric>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/common/random.h"
#include "runshelf/ownership/assignment.h"
#include "runshelf/routing/request_router.h"
#include "runshelf/table/table_json.h"
#include "runshelf/table/table_mirror.h"
#include "tools/scale/cpu_clock.h"
#include "tools/scale/heap_usage.h"

namespace runshelf::scale {
namespace {

constexpr uint64_t kZones = 18;
constexpr Instant kStart = Instant(std::chrono::seconds(100));
constexpr uint64_t kLookups = 100'000;
constexpr uint64_t kRequests = 20'000;

std::string ServiceName(uint64_t number) { return fmt::format("service-{}", number); }

ownership::NodeRecord MakeRecord(uint64_t number, uint64_t services, uint64_t slots) {
  ownership::NodeRecord record;
  record.instance = {fmt::format("node-{:05}", number), 0x9E3779B97F4A7C15ULL * (number + 1)};
  record.zone = fmt::format("zone-{:02}", number % kZones);
  record.service = ServiceName(number % services);
  record.peer_address =
      fmt::format("10.{}.{}.{}:7101", number % kZones, number / 200, number % 200);
  record.forward_address =
      fmt::format("10.{}.{}.{}:7102", number % kZones, number / 200, number % 200);
  record.slot_count = static_cast<uint32_t>(slots);
  return record;
}

// Slots are dealt out one by one, as after many moves: runs of one owner are short.
ownership::AssignmentState MakeAssignment(uint64_t nodes, uint64_t services, uint64_t slots) {
  ownership::AssignmentState state;
  ownership::AssignmentCommand command;
  std::vector<std::vector<InstanceId>> owners(services);
  for (uint64_t i = 0; i < nodes; ++i) {
    command.registered.push_back(MakeRecord(i, services, slots));
    owners[i % services].push_back(command.registered.back().instance);
  }
  for (uint64_t service = 0; service < services; ++service) {
    for (uint64_t owner = 0; owner < owners[service].size(); ++owner) {
      std::vector<SlotNumber> owned;
      for (uint64_t slot = owner; slot < slots; slot += owners[service].size()) {
        owned.push_back(static_cast<SlotNumber>(slot));
      }
      if (owned.empty()) continue;
      command.moves.push_back({ServiceName(service), ToRanges(owned), {}, owners[service][owner]});
    }
  }
  state.Apply(1, command);
  return state;
}

table::CellChange MakeCell(uint64_t number, int64_t revision) {
  table::CellChange change;
  change.key = {ServiceName(number / 32), fmt::format("class-{}", number % 32)};
  change.value = table::CellValue{static_cast<int64_t>(1 + number % 100), 1000 + revision};
  change.mod_revision = revision;
  change.edit_id = fmt::format("{:032x}", revision);
  return change;
}

routing::RoutingSnapshot MakeRoutes(uint64_t targets) {
  routing::RoutingSnapshot snapshot;
  snapshot.version = 1;
  routing::ServiceRoutes& routes = snapshot.services[ServiceName(0)];
  routes.slot_count = static_cast<uint32_t>(16 * targets);
  for (uint64_t i = 0; i < targets; ++i) {
    const ownership::NodeRecord record = MakeRecord(i, 1, routes.slot_count);
    routes.targets.push_back({record.instance, record.zone, record.forward_address, false});
  }
  for (uint32_t slot = 0; slot < routes.slot_count; ++slot) {
    routes.slot_owners.push_back(static_cast<uint32_t>(slot % targets));
  }
  return snapshot;
}

double RouteMicroseconds(const routing::RoutingSnapshot& snapshot, bool by_owner) {
  const routing::RouterConfig config;
  routing::RouterState state{routing::RouterStateConfig{}};
  SeededRandom random(1);
  const auto route = [&](uint64_t number) {
    const Instant now = kStart + Duration(static_cast<int64_t>(number) * 10);
    routing::RequestInfo info;
    info.service = ServiceName(0);
    info.caller_class = "newsroom";
    if (by_owner) info.key = fmt::format("release-{}", number);
    info.deadline = now + std::chrono::seconds(2);
    routing::RequestRouter router(std::move(info), config, state, random);
    const routing::Step step = router.Start(now, snapshot);
    if (!std::holds_alternative<routing::ForwardStep>(step)) std::abort();
    router.OnAttemptResult(now + std::chrono::milliseconds(1), snapshot,
                           {routing::AttemptOutcome::kAnswered, Duration(0), std::nullopt});
  };
  route(0);  // Adopts the snapshot.
  double seconds = 0;
  MeasureCpu(seconds, [&] {
    for (uint64_t i = 1; i <= kRequests; ++i) route(i);
  });
  return seconds * 1e6 / kRequests;
}

double AdmissionMicroseconds() {
  admission::AdmissionQueue queue{admission::AdmissionConfig{}};
  double seconds = 0;
  MeasureCpu(seconds, [&] {
    for (uint64_t i = 1; i <= kRequests; ++i) {
      const Instant now = kStart + Duration(static_cast<int64_t>(i) * 100);
      queue.Offer(now, {i, "newsroom", 10, now + std::chrono::seconds(2)});
      queue.OnCompleted(now + Duration(50), i, admission::Completion::kServed, Duration(50));
    }
  });
  return seconds * 1e6 / kRequests;
}

double Imbalance(const std::vector<double>& load) {
  const double sum = std::accumulate(load.begin(), load.end(), 0.0);
  return *std::max_element(load.begin(), load.end()) * static_cast<double>(load.size()) / sum;
}

// The load of a client over the slice of the ring that begins at `offset`, in units of servers.
void AddSlice(double offset, double width, std::vector<double>& load) {
  const double end = offset + width;
  for (double position = offset; position < end;) {
    const double next = std::min(end, std::floor(position) + 1);
    const auto server = static_cast<size_t>(std::floor(position)) % load.size();
    load[server] += (next - position) / width;
    position = next;
  }
}

}  // namespace

AssignmentFigures MeasureAssignment(uint64_t nodes, uint64_t services, uint64_t slots_per_service) {
  AssignmentFigures figures;
  figures.nodes = nodes;
  figures.slots = services * slots_per_service;
  const std::string encoded = MakeAssignment(nodes, services, slots_per_service).Encode();
  figures.encoded_bytes = static_cast<double>(encoded.size());
  const int64_t before = HeapBytesInUse();
  double seconds = 0;
  auto state = MeasureCpu(seconds, [&] { return ownership::AssignmentState::Decode(encoded); });
  if (!state.ok()) std::abort();
  figures.memory_bytes = static_cast<double>(HeapBytesInUse() - before);
  figures.decode_milliseconds = seconds * 1e3;
  seconds = 0;
  MeasureCpu(seconds, [&] { return state->Encode(); });
  figures.encode_milliseconds = seconds * 1e3;

  ownership::AssignmentCommand move;
  const InstanceId from = state->services().begin()->second.owners.front();
  const InstanceId to = state->services().begin()->second.owners.back();
  move.moves.push_back({state->services().begin()->first, {{0, 0}}, from, to});
  seconds = 0;
  MeasureCpu(seconds, [&] { state->Apply(2, move); });
  figures.move_microseconds = seconds * 1e6;
  for (const ownership::AssignmentCommand& command : state->UpdateSince(1).commands) {
    figures.move_update_bytes += static_cast<double>(ownership::EncodeCommand(command).size());
  }
  return figures;
}

TableFigures MeasureTable(uint64_t cells) {
  TableFigures figures;
  figures.cells = cells;
  table::TableDelta delta;
  delta.complete = true;
  delta.to_revision = 1;
  for (uint64_t i = 0; i < cells; ++i) delta.changes.push_back(MakeCell(i, 1));
  const int64_t before = HeapBytesInUse();
  table::TableMirror mirror;
  if (!mirror.ApplyDelta(delta).ok()) std::abort();
  figures.memory_bytes = static_cast<double>(HeapBytesInUse() - before);
  const std::string complete = table::EncodeDelta(mirror.Current()->ToCompleteDelta());
  figures.complete_delta_bytes = static_cast<double>(complete.size());

  const table::TableDelta edit{1, 2, false, {MakeCell(0, 2)}};
  double seconds = 0;
  MeasureCpu(seconds, [&] {
    const std::string text = table::EncodeDelta(edit);
    figures.edit_delta_bytes = static_cast<double>(text.size());
    if (!mirror.ApplyDelta(*table::DecodeDelta(text)).ok()) std::abort();
  });
  figures.edit_microseconds = seconds * 1e6;

  const table::TableSnapshot current = mirror.Current();
  const table::CellKey key = MakeCell(cells / 2, 1).key;
  uint64_t found = 0;
  seconds = 0;
  MeasureCpu(seconds, [&] {
    for (uint64_t i = 0; i < kLookups; ++i) {
      found += current->Lookup(key.service, key.caller_class) != nullptr ? 1U : 0U;
    }
  });
  if (found != kLookups) std::abort();
  figures.lookup_nanoseconds = seconds * 1e9 / kLookups;
  return figures;
}

RequestFigures MeasureRequests(uint64_t targets) {
  RequestFigures figures;
  figures.targets = targets;
  const routing::RoutingSnapshot snapshot = MakeRoutes(targets);
  figures.by_owner_microseconds = RouteMicroseconds(snapshot, true);
  figures.by_load_microseconds = RouteMicroseconds(snapshot, false);
  figures.admission_microseconds = AdmissionMicroseconds();
  return figures;
}

SubsetFigures MeasureSubsets(uint64_t clients, uint64_t servers, uint64_t subset, uint64_t seed) {
  SubsetFigures figures;
  figures.clients = clients;
  figures.servers = servers;
  figures.subset = subset;
  SeededRandom random(seed);
  std::vector<size_t> order(servers);
  std::iota(order.begin(), order.end(), 0U);
  std::vector<double> random_load(servers, 0.0);
  std::vector<double> ring_load(servers, 0.0);
  const double width = static_cast<double>(subset);
  for (uint64_t client = 0; client < clients; ++client) {
    for (uint64_t i = 0; i < subset; ++i) {
      std::swap(order[i], order[i + random.Below(servers - i)]);
      random_load[order[i]] += 1 / width;
    }
    const double offset =
        static_cast<double>(client) * static_cast<double>(servers) / static_cast<double>(clients);
    AddSlice(offset, width, ring_load);
  }
  figures.random_imbalance = Imbalance(random_load);
  figures.deterministic_imbalance = Imbalance(ring_load);
  figures.random_idle_servers =
      static_cast<double>(std::count(random_load.begin(), random_load.end(), 0.0));
  return figures;
}

}  // namespace runshelf::scale
