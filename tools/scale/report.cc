#include "tools/scale/report.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <fstream>
#include <thread>

namespace runshelf::scale {
namespace {

using Json = nlohmann::ordered_json;

// Digits enough for a figure that a fit was made of; more would be noise.
double Rounded(double value) {
  constexpr int kSignificantDigits = 5;
  if (value == 0 || !std::isfinite(value)) return 0;
  const double scale =
      std::pow(10, kSignificantDigits - 1 - std::floor(std::log10(std::abs(value))));
  return std::round(value * scale) / scale;
}

constexpr std::array<std::string_view, 12> kTableColumns = {"leader.wire_bytes_in",
                                                            "leader.wire_bytes_out",
                                                            "leader.cpu",
                                                            "leader.codec_cpu",
                                                            "leader.memory_bytes",
                                                            "voter.wire_bytes_in",
                                                            "voter.cpu",
                                                            "plain.wire_bytes_in",
                                                            "plain.wire_bytes_out",
                                                            "plain.cpu",
                                                            "plain.tick_cpu",
                                                            "plain.memory_bytes"};

Json ToJson(const LinearFit& line, double exponent) {
  return {{"slope", Rounded(line.slope)},
          {"intercept", Rounded(line.intercept)},
          {"r_squared", Rounded(line.r_squared)},
          {"max_residual", Rounded(line.max_residual)},
          {"exponent", Rounded(exponent)}};
}

double Find(const std::vector<NamedFigure>& figures, std::string_view name) {
  for (const NamedFigure& figure : figures) {
    if (figure.name == name) return figure.value;
  }
  return std::nan("");
}

}  // namespace

Json ToJson(const FleetConfig& config) {
  return {{"nodes", config.nodes},
          {"zones", config.zones},
          {"services", config.services},
          {"slots_per_service", config.slots_per_service},
          {"table_cells", config.table_cells},
          {"limited_cells", config.limited_cells},
          {"edits_per_second", config.edits_per_second},
          {"losses_per_hour", config.losses_per_hour},
          {"requests_per_second", config.requests_per_second},
          {"renewal_interval_us", config.renewal_interval.count()},
          {"grant_duration_us", config.grant_duration.count()},
          {"network_delay_us", config.network_delay.count()},
          {"list_lag_us", config.list_lag.count()},
          {"seed", config.seed}};
}

Json ToJson(const SweepResult& result) {
  Json json = {{"dimension", result.dimension}, {"base", ToJson(result.base)}};
  for (const SweepPoint& point : result.points) {
    Json figures = {{"size", Rounded(point.size)}, {"settled", point.figures.settled}};
    for (const NamedFigure& figure : NamedFigures(point.figures)) {
      figures[figure.name] = Rounded(figure.value);
    }
    for (const KindFigures& kind : point.figures.kinds) {
      figures["kinds"][kind.kind] = {{"messages", Rounded(kind.messages)},
                                     {"mean_payload_bytes", Rounded(kind.mean_payload)}};
    }
    json["points"].push_back(figures);
  }
  for (const NamedFit& fit : result.fits) {
    json["fits"][fit.figure] = ToJson(fit.line, fit.exponent);
  }
  return json;
}

Json ToJson(const LossFigures& figures) {
  return {{"loss", LossName(figures.loss)},
          {"renewal_interval_ms", figures.renewal_interval.count() / 1000},
          {"grant_duration_ms", figures.grant_duration.count() / 1000},
          {"nodes", figures.nodes},
          {"lost_nodes", figures.lost_nodes},
          {"lost_slots", figures.lost_slots},
          {"recovered", figures.recovered},
          {"leader_seconds", Rounded(figures.leader_seconds)},
          {"served_seconds", Rounded(figures.served_seconds)},
          {"messages_per_node", Rounded(figures.messages_per_node)},
          {"largest_wire_bytes_in", Rounded(figures.largest_wire_bytes_in)},
          {"largest_messages_in", Rounded(figures.largest_messages_in)},
          {"largest_cpu_seconds", Rounded(figures.largest_cpu_seconds)}};
}

Json ToJson(const ColdStartFigures& figures) {
  return {{"nodes", figures.nodes},
          {"settled", figures.settled},
          {"served_seconds", Rounded(figures.served_seconds)},
          {"messages_per_node", Rounded(figures.messages_per_node)},
          {"cpu_per_node", Rounded(figures.cpu_per_node)}};
}

Json ToJson(const EncodingFigures& figures) {
  return {{"kind", figures.kind},
          {"encoding", figures.encoding},
          {"samples", figures.samples},
          {"mean_bytes", Rounded(figures.mean_bytes)},
          {"encode_us", Rounded(figures.encode_microseconds)},
          {"decode_us", Rounded(figures.decode_microseconds)}};
}

Json ToJson(const AssignmentFigures& figures) {
  return {{"nodes", figures.nodes},
          {"slots", figures.slots},
          {"memory_bytes", figures.memory_bytes},
          {"encoded_bytes", figures.encoded_bytes},
          {"encode_ms", Rounded(figures.encode_milliseconds)},
          {"decode_ms", Rounded(figures.decode_milliseconds)},
          {"move_us", Rounded(figures.move_microseconds)},
          {"move_update_bytes", figures.move_update_bytes}};
}

Json ToJson(const TableFigures& figures) {
  return {{"cells", figures.cells},
          {"memory_bytes", figures.memory_bytes},
          {"complete_delta_bytes", figures.complete_delta_bytes},
          {"edit_delta_bytes", figures.edit_delta_bytes},
          {"edit_us", Rounded(figures.edit_microseconds)},
          {"lookup_ns", Rounded(figures.lookup_nanoseconds)}};
}

Json ToJson(const RequestFigures& figures) {
  return {{"targets", figures.targets},
          {"by_owner_us", Rounded(figures.by_owner_microseconds)},
          {"by_load_us", Rounded(figures.by_load_microseconds)},
          {"admission_us", Rounded(figures.admission_microseconds)}};
}

Json ToJson(const SubsetFigures& figures) {
  return {{"clients", figures.clients},
          {"servers", figures.servers},
          {"subset", figures.subset},
          {"random_imbalance", Rounded(figures.random_imbalance)},
          {"random_idle_servers", figures.random_idle_servers},
          {"deterministic_imbalance", Rounded(figures.deterministic_imbalance)}};
}

Json FitFields(const Json& rows, const std::string& size, const std::vector<std::string>& fields) {
  Json fits;
  for (const std::string& field : fields) {
    std::vector<Point> points;
    for (const Json& row : rows) {
      points.push_back({row.at(size).get<double>(), row.at(field).get<double>()});
    }
    fits[field] = ToJson(FitLine(points), FitExponent(points));
  }
  return fits;
}

std::string FormatLine(const std::string& part, const Json& object) {
  std::string line = part;
  for (const auto& [key, value] : object.items()) {
    const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    line += fmt::format(" {}={}", key, text);
  }
  return line + "\n";
}

std::string Format(const SweepResult& result) {
  std::string text = fmt::format("{:>20}", result.dimension);
  for (const std::string_view column : kTableColumns) text += fmt::format(" {:>21}", column);
  text += '\n';
  for (const SweepPoint& point : result.points) {
    text += fmt::format("{:>20.5g}", point.size);
    const std::vector<NamedFigure> figures = NamedFigures(point.figures);
    for (const std::string_view column : kTableColumns) {
      text += fmt::format(" {:>21.5g}", Find(figures, column));
    }
    text += point.figures.settled ? "\n" : "  NOT SETTLED\n";
  }
  for (const NamedFit& fit : result.fits) {
    text += fmt::format(
        "fit dimension={} figure={} slope={:.5g} intercept={:.5g} r_squared={:.4f} "
        "max_residual={:.4g} exponent={:.2f}\n",
        result.dimension, fit.figure, fit.line.slope, fit.line.intercept, fit.line.r_squared,
        fit.line.max_residual, fit.exponent);
  }
  return text;
}

Json DescribeMachine() {
  std::string processor = "unknown";
  std::ifstream cpuinfo("/proc/cpuinfo");
  for (std::string line; std::getline(cpuinfo, line);) {
    if (line.rfind("model name", 0) != 0) continue;
    processor = line.substr(line.find(':') + 2);
    break;
  }
  return {{"processor", processor},
          {"cores", std::thread::hardware_concurrency()},
          {"compiler", __VERSION__}};
}

}  // namespace runshelf::scale
