#include "tests/soak/promise_judge.h"

#include <fmt/format.h>

#include <algorithm>

#include "tests/soak/download_target.h"

namespace runshelf::soak {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kAfterSuccess = 300;

// Statuses which guarantee that the request was not and will not be executed.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::string ExpectedAnswerBody(const std::string& worker, const std::string& id,
                               const std::string& body) {
  return worker + "|" + id + "|" + body;
}

void PromiseJudge::AddViolation(const std::string& promise, const std::string& what) {
  violations_.push_back(promise + ": " + what);
}

void PromiseJudge::OnSent(const SentRequest& request) { requests_[request.id].sent = request; }

void PromiseJudge::OnExecuted(const Execution& execution) {
  ++executions_;
  const auto found = requests_.find(execution.id);
  if (found == requests_.end()) {
    AddViolation("unasked", "no caller sent " + execution.id);
    return;
  }
  Request& request = found->second;
  if (execution.target != request.sent.target || execution.body != request.sent.body) {
    AddViolation("unasked", execution.id + " was changed on the way");
  }
  if (execution.caller_service != request.sent.caller_service) {
    AddViolation("unasked",
                 fmt::format("{} ran for caller service '{}', sent by '{}'", execution.id,
                             execution.caller_service, request.sent.caller_service));
  }
  request.workers.push_back(execution.worker);
  if (request.sent.repeatable) return;
  if (request.workers.size() > 1) AddViolation("twice", execution.id + " ran more than once");
  if (request.promised.has_value()) {
    AddViolation("refused", fmt::format("{} ran after {}", execution.id, *request.promised));
  }
}

void PromiseJudge::OnWorkerAnswered(const std::string& id, const std::string& worker, int status) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) found->second.statuses[worker] = status;
}

void PromiseJudge::OnAnswer(const ReceivedAnswer& answer) {
  const auto found = requests_.find(answer.id);
  if (found == requests_.end()) return;
  Request& request = found->second;
  CheckStamp(request, answer);
  if (PromisesNotRun(answer.status)) {
    request.promised = answer.status;
    if (!request.sent.repeatable && !request.workers.empty()) {
      AddViolation("refused",
                   fmt::format("{} had run and was answered {}", answer.id, answer.status));
    }
    return;
  }
  if (answer.status < kFirstSuccess || answer.status >= kAfterSuccess) return;
  const auto ran = std::find(request.workers.begin(), request.workers.end(), answer.worker_stamp);
  const bool whole =
      answer.body == ExpectedAnswerBody(answer.worker_stamp, answer.id, request.sent.body) +
                         DownloadPadding(request.sent.target);
  if (ran == request.workers.end() || !whole) {
    AddViolation("mixed", answer.id + " got an answer that no worker gave to it");
  }
}

// A response that carries a worker's stamp must match the status which that worker sent.
void PromiseJudge::CheckStamp(const Request& request, const ReceivedAnswer& answer) {
  if (answer.worker_stamp.empty()) return;
  const auto status = request.statuses.find(answer.worker_stamp);
  if (status != request.statuses.end() && status->second == answer.status) return;
  AddViolation("mixed", fmt::format("{} got {} in the name of {}, which did not answer so",
                                    answer.id, answer.status, answer.worker_stamp));
}

void PromiseJudge::OnNoAnswer(const std::string& id) {
  AddViolation("unanswered", id + " had no end long after its deadline");
}

void PromiseJudge::OnProcessEnded(const std::string& node, int exit) {
  AddViolation("ended", fmt::format("{} ended by itself with {}", node, exit));
}

}  // namespace runshelf::soak
