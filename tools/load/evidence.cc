#include "tools/load/evidence.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <utility>

namespace runshelf::load {
namespace {

absl::StatusOr<std::vector<std::string>> ReadLines(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return absl::NotFoundError(fmt::format("cannot read {}", file));
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(stream, line)) lines.push_back(line);
  return lines;
}

absl::Status LineError(const std::string& file, size_t index, const absl::Status& status) {
  const std::string detail(status.message());
  return absl::InvalidArgumentError(fmt::format("{}:{}: {}", file, index + 1, detail));
}

void AddEntry(server_standin::RecordEntry entry, Evidence& evidence) {
  if (auto* execution = std::get_if<Execution>(&entry)) {
    evidence.service_of_server[execution->server] = execution->service;
    evidence.executions.push_back(std::move(*execution));
  } else if (auto* grant = std::get_if<AcceptedGrant>(&entry)) {
    evidence.service_of_server[grant->server] = grant->service;
    evidence.grants.push_back(std::move(*grant));
  }
}

// Adds the period to the slot's tenures, joining it to the server's last one without a break.
void AddPeriod(std::vector<Tenure>& tenures, const std::string& server, Instant start,
               Instant end) {
  const auto own = std::find_if(tenures.rbegin(), tenures.rend(),
                                [&](const Tenure& tenure) { return tenure.server == server; });
  if (own != tenures.rend() && own->end >= start) {
    own->end = std::max(own->end, end);
  } else {
    tenures.push_back({server, start, end});
  }
}

// When the grant ended before its expiry because the process that held it was ended.
Instant EndOfProcess(const Evidence& evidence, const AcceptedGrant& grant) {
  Instant end = grant.expires_at;
  for (const EndedServer& ended : evidence.ended) {
    if (ended.server == grant.server && ended.at >= grant.at) end = std::min(end, ended.at);
  }
  return end;
}

}  // namespace

absl::Status ReadAttempts(const std::string& file, Evidence& evidence) {
  const auto lines = ReadLines(file);
  if (!lines.ok()) return lines.status();
  for (size_t index = 0; index < lines->size(); ++index) {
    auto attempt = ParseAttemptLine((*lines)[index]);
    if (!attempt.ok()) return LineError(file, index, attempt.status());
    evidence.attempts.push_back(*std::move(attempt));
  }
  return absl::OkStatus();
}

absl::Status ReadServerRecord(const std::string& file, Evidence& evidence) {
  const auto lines = ReadLines(file);
  if (!lines.ok()) return lines.status();
  for (size_t index = 0; index < lines->size(); ++index) {
    auto entry = server_standin::ParseRecordLine((*lines)[index]);
    if (entry.ok()) {
      AddEntry(*std::move(entry), evidence);
    } else if (index + 1 < lines->size()) {
      return LineError(file, index, entry.status());
    }
  }
  return absl::OkStatus();
}

void SortByTime(Evidence& evidence) {
  const auto by_time = [](const auto& left, const auto& right) { return left.at < right.at; };
  std::stable_sort(evidence.executions.begin(), evidence.executions.end(), by_time);
  std::stable_sort(evidence.grants.begin(), evidence.grants.end(), by_time);
}

std::string CallOfPath(const std::string& path) {
  constexpr std::string_view kParameter = "?call=";
  const size_t position = path.rfind(kParameter);
  return position == std::string::npos ? std::string() : path.substr(position + kParameter.size());
}

std::map<SlotId, std::vector<Tenure>> TenuresBySlot(const Evidence& evidence) {
  std::map<std::string, std::vector<const AcceptedGrant*>> grants_by_server;
  for (const AcceptedGrant& grant : evidence.grants) {
    grants_by_server[grant.server].push_back(&grant);
  }
  std::map<SlotId, std::vector<Tenure>> tenures;
  for (const auto& [server, grants] : grants_by_server) {
    for (size_t index = 0; index < grants.size(); ++index) {
      const AcceptedGrant& grant = *grants[index];
      Instant end = EndOfProcess(evidence, grant);
      if (index + 1 < grants.size()) end = std::min(end, grants[index + 1]->at);
      if (end <= grant.at) continue;
      for (const SlotNumber slot : FromRanges(grant.slots)) {
        AddPeriod(tenures[{grant.service, slot}], server, grant.at, end);
      }
    }
  }
  for (auto& [slot, list] : tenures) {
    std::stable_sort(list.begin(), list.end(), [](const Tenure& left, const Tenure& right) {
      return left.start < right.start;
    });
  }
  return tenures;
}

}  // namespace runshelf::load
