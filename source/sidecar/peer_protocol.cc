#include "source/sidecar/peer_protocol.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace runshelf::sidecar::peer_protocol {
namespace {

constexpr std::string_view kRequestId = "Runshelf-Request";
constexpr std::string_view kService = "Runshelf-Service";
constexpr std::string_view kWorker = "Runshelf-Worker";
constexpr std::string_view kCaller = "Runshelf-Caller";
constexpr std::string_view kClass = "Runshelf-Class";
constexpr std::string_view kQueue = "Runshelf-Queue";
constexpr std::string_view kWeight = "Runshelf-Weight";
constexpr std::string_view kDeadline = "Runshelf-Deadline-Ms";
constexpr std::string_view kAnswerBy = "Runshelf-Answer-By-Ms";
constexpr std::string_view kKey = "Runshelf-Key";
constexpr std::string_view kLargeAnswer = "Runshelf-Large-Answer";
constexpr std::string_view kTrial = "Runshelf-Trial";
constexpr std::string_view kExcusedEnds = "Runshelf-Excused-Ends";
constexpr std::string_view kLoad = "Runshelf-Load";
constexpr std::string_view kRefusedPercent = "Runshelf-Refused-Percent";
constexpr std::string_view kVerdict = "Runshelf-Verdict";
constexpr std::string_view kReason = "Runshelf-Reason";
constexpr std::string_view kReachedWorker = "Runshelf-Reached-Worker";
constexpr std::string_view kRetryAfter = "Runshelf-Retry-After-Ms";
constexpr std::string_view kStopTakes = "Runshelf-Stop-Takes-Ms";
constexpr std::string_view kStopEnds = "Runshelf-Stop-Ends-Ms";
constexpr std::string_view kStoreCall = "Runshelf-Store-Call";
constexpr std::string_view kChangeSet = "Runshelf-Change-Set";
constexpr std::string_view kSnapshotOf = "Runshelf-Snapshot-Of";
constexpr std::string_view kWorkerEnd = "Runshelf-Worker-End";
constexpr std::string_view kWriteEnd = "Runshelf-Write-End";
constexpr std::string_view kHandover = "Runshelf-Handover";
constexpr std::string_view kForZone = "Runshelf-For-Zone";
constexpr std::string_view kPassOnTo = "Runshelf-Pass-On-To";
constexpr std::string_view kFailedReaders = "Runshelf-Failed-Readers";
constexpr char kNameSeparator = ',';
// No more ends than this are recorded.
constexpr int64_t kMaxExcusedEnds = 5000;
constexpr int64_t kMaxPercent = 100;
constexpr int64_t kMaxMilliseconds = int64_t{3600} * 1000;

int64_t MillisecondsLeft(Duration left) { return std::max<int64_t>(0, ToMilliseconds(left)); }

std::optional<int64_t> ReadNumber(const http::Headers& headers, std::string_view name) {
  const std::string* value = headers.Find(name);
  return value == nullptr ? std::nullopt : http::ParseNumber(*value);
}

std::optional<Duration> ReadMilliseconds(const http::Headers& headers, std::string_view name) {
  const auto number = ReadNumber(headers, name);
  if (!number.has_value() || *number > kMaxMilliseconds) return std::nullopt;
  return std::chrono::milliseconds(*number);
}

std::string ReadText(const http::Headers& headers, std::string_view name) {
  const std::string* value = headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

std::optional<Verdict> ParseVerdict(std::string_view name) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (VerdictName(verdict) == name) return verdict;
  }
  return std::nullopt;
}

void AddNames(std::string_view header, const std::vector<std::string>& nodes,
              http::Headers* headers) {
  std::string names;
  for (const std::string& node : nodes) {
    const bool plain = std::all_of(node.begin(), node.end(), [](char character) {
      return character > ' ' && character <= '~' && character != kNameSeparator;
    });
    if (!plain || node.empty()) continue;
    if (!names.empty()) names += kNameSeparator;
    names += node;
  }
  if (!names.empty()) headers->Add(header, names);
}

std::vector<std::string> ReadNames(const http::Headers& headers, std::string_view header) {
  std::vector<std::string> nodes;
  const std::string* names = headers.Find(header);
  if (names == nullptr) return nodes;
  std::istringstream text(*names);
  for (std::string node; std::getline(text, node, kNameSeparator);) {
    if (!node.empty()) nodes.push_back(node);
  }
  return nodes;
}

}  // namespace

void RemoveHeaders(http::Headers* headers) {
  std::erase_if(headers->all(), [](const http::Header& header) {
    return header.name.size() >= kHeaderPrefix.size() &&
           http::EqualsIgnoreCase(std::string_view(header.name).substr(0, kHeaderPrefix.size()),
                                  kHeaderPrefix);
  });
}

void AddAttemptHeaders(const AttemptRequest& attempt, Instant now, http::Headers* headers) {
  headers->Add(kRequestId, attempt.request_id);
  headers->Add(kService, attempt.service);
  headers->Add(kWorker, attempt.worker_id);
  headers->Add(kCaller, attempt.caller_service);
  headers->Add(kClass, attempt.caller_class);
  headers->Add(kQueue, attempt.queue_class);
  headers->Add(kWeight, std::to_string(attempt.weight));
  headers->Add(kDeadline, std::to_string(MillisecondsLeft(attempt.deadline - now)));
  headers->Add(kAnswerBy, std::to_string(MillisecondsLeft(attempt.answer_by - now)));
  if (attempt.key.has_value()) headers->Add(kKey, std::to_string(*attempt.key));
  if (attempt.large_answer) headers->Add(kLargeAnswer, "1");
  if (attempt.trial) headers->Add(kTrial, "1");
  if (attempt.excused_ends > 0) headers->Add(kExcusedEnds, std::to_string(attempt.excused_ends));
}

std::optional<AttemptRequest> ReadAttempt(http::Request request, Instant now) {
  const http::Headers& headers = request.head.headers;
  const auto deadline = ReadMilliseconds(headers, kDeadline);
  const auto answer_by = ReadMilliseconds(headers, kAnswerBy);
  const auto weight = ReadNumber(headers, kWeight);
  if (!deadline || !answer_by || !weight || *weight > UINT32_MAX || !headers.Has(kService)) {
    return std::nullopt;
  }
  AttemptRequest attempt;
  attempt.request_id = ReadText(headers, kRequestId);
  attempt.service = ReadText(headers, kService);
  attempt.worker_id = ReadText(headers, kWorker);
  attempt.caller_service = ReadText(headers, kCaller);
  attempt.caller_class = ReadText(headers, kClass);
  attempt.queue_class = ReadText(headers, kQueue);
  attempt.weight = static_cast<uint32_t>(*weight);
  attempt.deadline = now + *deadline;
  attempt.answer_by = now + *answer_by;
  attempt.large_answer = headers.Has(kLargeAnswer);
  attempt.trial = headers.Has(kTrial);
  if (headers.Has(kExcusedEnds)) {
    const auto excused = ReadNumber(headers, kExcusedEnds);
    if (!excused.has_value() || *excused > kMaxExcusedEnds) return std::nullopt;
    attempt.excused_ends = static_cast<uint32_t>(*excused);
  }
  if (headers.Has(kKey)) {
    const auto key = ReadNumber(headers, kKey);
    if (!key.has_value() || *key > sharding::kMaxShardKey) return std::nullopt;
    attempt.key = static_cast<sharding::ShardKey>(*key);
  }
  RemoveHeaders(&request.head.headers);
  request.head.headers.RemoveConnectionHeaders();
  attempt.request = std::make_shared<const http::Request>(std::move(request));
  return attempt;
}

void AddLoad(const routing::TargetLoad& load, http::Headers* headers) {
  headers->Add(kLoad, load.ToString());
  if (load.refused_percent > 0) {
    headers->Add(kRefusedPercent, std::to_string(load.refused_percent));
  }
}

std::optional<routing::TargetLoad> ReadLoad(const http::Headers& headers) {
  const std::string* value = headers.Find(kLoad);
  auto load = value == nullptr ? std::nullopt : routing::TargetLoad::Parse(*value);
  if (!load.has_value()) return std::nullopt;
  const auto refused = ReadNumber(headers, kRefusedPercent);
  if (refused.has_value() && *refused <= kMaxPercent) {
    load->refused_percent = static_cast<uint32_t>(*refused);
  }
  return load;
}

void AddStopNotice(const std::optional<StopNotice>& notice, http::Headers* headers) {
  if (!notice.has_value()) return;
  headers->Add(kStopTakes, std::to_string(MillisecondsLeft(notice->takes_requests)));
  headers->Add(kStopEnds, std::to_string(MillisecondsLeft(notice->ends)));
}

std::optional<StopNotice> ReadStopNotice(const http::Headers& headers) {
  const auto takes = ReadMilliseconds(headers, kStopTakes);
  const auto ends = ReadMilliseconds(headers, kStopEnds);
  if (!takes.has_value() || !ends.has_value()) return std::nullopt;
  return StopNotice{*takes, *ends};
}

http::Headers FailureHeaders(const AttemptFailure& failure) {
  http::Headers headers;
  headers.Add(kVerdict, VerdictName(failure.verdict));
  headers.Add(kReason, FailureReasonName(failure.reason));
  if (failure.reached_worker) headers.Add(kReachedWorker, "1");
  if (failure.retry_after > Duration(0)) {
    headers.Add(kRetryAfter, std::to_string(MillisecondsLeft(failure.retry_after)));
  }
  return headers;
}

std::optional<AttemptFailure> ReadFailure(const http::Headers& headers) {
  const auto verdict = ParseVerdict(ReadText(headers, kVerdict));
  if (!verdict.has_value()) return std::nullopt;
  AttemptFailure failure;
  failure.verdict = *verdict;
  failure.reason = ParseFailureReason(ReadText(headers, kReason)).value_or(FailureReason::kBroken);
  failure.reached_worker = headers.Has(kReachedWorker);
  failure.retry_after = ReadMilliseconds(headers, kRetryAfter).value_or(Duration(0));
  return failure;
}

void MarkStoreCall(http::Headers* headers) { headers->Add(kStoreCall, "1"); }

bool IsStoreCall(const http::Headers& headers) { return headers.Has(kStoreCall); }

void MarkChangeSet(http::Headers* headers) { headers->Add(kChangeSet, "1"); }

bool IsChangeSet(const http::Headers& headers) { return headers.Has(kChangeSet); }

void MarkSnapshotRequest(const std::string& prefix, http::Headers* headers) {
  headers->Add(kSnapshotOf, prefix);
}

std::optional<std::string> ReadSnapshotRequest(const http::Headers& headers) {
  const std::string* prefix = headers.Find(kSnapshotOf);
  return prefix == nullptr ? std::nullopt : std::optional<std::string>(*prefix);
}

void MarkWorkerEnd(bool write, http::Headers* headers) {
  headers->Add(kWorkerEnd, "1");
  if (write) headers->Add(kWriteEnd, "1");
}

bool IsWorkerEnd(const http::Headers& headers) { return headers.Has(kWorkerEnd); }

bool IsWorkerEndToWrite(const http::Headers& headers) { return headers.Has(kWriteEnd); }

void MarkHandover(http::Headers* headers) { headers->Add(kHandover, "1"); }

bool IsHandover(const http::Headers& headers) { return headers.Has(kHandover); }

void MarkForZone(http::Headers* headers) { headers->Add(kForZone, "1"); }

bool IsForZone(const http::Headers& headers) { return headers.Has(kForZone); }

void MarkPassOnTo(const std::vector<std::string>& nodes, http::Headers* headers) {
  AddNames(kPassOnTo, nodes, headers);
}

std::vector<std::string> ReadPassOnTo(const http::Headers& headers) {
  return ReadNames(headers, kPassOnTo);
}

void MarkFailedReaders(const std::vector<std::string>& nodes, http::Headers* headers) {
  AddNames(kFailedReaders, nodes, headers);
}

std::vector<std::string> ReadFailedReaders(const http::Headers& headers) {
  return ReadNames(headers, kFailedReaders);
}

}  // namespace runshelf::sidecar::peer_protocol
