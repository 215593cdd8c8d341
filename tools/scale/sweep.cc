#include "tools/scale/sweep.h"

namespace runshelf::scale {
namespace {

constexpr double kBaseRenewalRate = 1 / 0.150;

}  // namespace

std::vector<Sweep> DefaultSweeps() {
  return {
      {"nodes", {8, 16, 32, 64, 128, 256}},
      {"slots_per_service", {64, 256, 1024, 4096}},
      {"services", {1, 2, 4, 8, 16}},
      {"table_cells", {16, 64, 256, 1024}},
      {"limited_cells", {0, 4, 16, 64}},
      {"edits_per_second", {0, 1, 2, 4, 8}},
      {"losses_per_hour", {0, 120, 240, 480, 960}, 6},
      {"renewals_per_second",
       {kBaseRenewalRate / 8, kBaseRenewalRate / 4, kBaseRenewalRate / 2, kBaseRenewalRate}},
  };
}

bool SetDimension(FleetConfig& config, const std::string& dimension, double size) {
  const auto count = static_cast<size_t>(size);
  if (dimension == "nodes") {
    config.nodes = count;
  } else if (dimension == "slots_per_service") {
    config.slots_per_service = static_cast<uint32_t>(size);
  } else if (dimension == "services") {
    config.services = count;
  } else if (dimension == "table_cells") {
    config.table_cells = count;
  } else if (dimension == "limited_cells") {
    config.limited_cells = count;
  } else if (dimension == "edits_per_second") {
    config.edits_per_second = size;
  } else if (dimension == "losses_per_hour") {
    config.losses_per_hour = size;
  } else if (dimension == "renewals_per_second") {
    // A grant outlives six renewals, as with the default settings.
    config.renewal_interval = Duration(static_cast<int64_t>(1e6 / size));
    config.grant_duration = 6 * config.renewal_interval;
  } else {
    return false;
  }
  return true;
}

std::vector<NamedFigure> NamedFigures(const FleetFigures& figures) {
  std::vector<NamedFigure> named;
  for (size_t role = 0; role < kRoles; ++role) {
    const RoleFigures& of_role = figures.roles.at(role);
    if (of_role.nodes == 0) continue;
    const std::string prefix = std::string(RoleName(static_cast<Role>(role))) + ".";
    named.push_back({prefix + "messages_in", of_role.messages_in});
    named.push_back({prefix + "messages_out", of_role.messages_out});
    named.push_back({prefix + "wire_bytes_in", of_role.wire_bytes_in});
    named.push_back({prefix + "wire_bytes_out", of_role.wire_bytes_out});
    named.push_back({prefix + "cpu", of_role.cpu});
    named.push_back({prefix + "tick_cpu", of_role.tick_cpu});
    named.push_back({prefix + "receive_cpu", of_role.receive_cpu});
    named.push_back({prefix + "codec_cpu", of_role.codec_cpu});
    named.push_back({prefix + "memory_bytes", of_role.memory_bytes});
  }
  named.push_back({"platform_reads", figures.platform_reads});
  named.push_back({"platform_writes", figures.platform_writes});
  named.push_back({"list_reads", figures.list_reads});
  named.push_back({"settle_seconds", figures.settle_seconds});
  named.push_back({"table_spread_seconds", figures.table_spread_seconds});
  return named;
}

SweepResult RunSweep(const FleetConfig& base, const Sweep& sweep, Duration window) {
  SweepResult result{sweep.dimension, base, {}, {}};
  for (const double size : sweep.sizes) {
    FleetConfig config = base;
    if (!SetDimension(config, sweep.dimension, size)) return result;
    result.points.push_back({size, MeasureFleet(config, sweep.windows * window)});
  }
  if (result.points.empty()) return result;
  const std::vector<NamedFigure> first = NamedFigures(result.points.front().figures);
  for (const NamedFigure& figure : first) {
    std::vector<Point> line;
    for (const SweepPoint& point : result.points) {
      for (const NamedFigure& value : NamedFigures(point.figures)) {
        if (value.name == figure.name) line.push_back({point.size, value.value});
      }
    }
    result.fits.push_back({figure.name, FitLine(line), FitExponent(line)});
  }
  return result;
}

}  // namespace runshelf::scale
