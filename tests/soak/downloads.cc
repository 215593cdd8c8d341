#include "tests/soak/downloads.h"

#include <fmt/format.h>

#include <utility>

#include "tests/soak/download_target.h"
#include "tests/soak/operator_configurations.h"

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

// Delay of the first download, by which the fleet is up.
constexpr Duration kFirst = std::chrono::seconds(7);
// About 9 MB/s in all, for three workers behind links of 1.25 MB/s.
constexpr Duration kShortestInterval = milliseconds(5);
constexpr Duration kLongestInterval = milliseconds(35);
constexpr uint64_t kSmallestBytes = 20000;
constexpr uint64_t kLargestBytes = 340000;
constexpr Duration kDeadline = kDownloadTimeout;
// A download without a response this long after its deadline counts as unanswered.
constexpr Duration kUnanswered = milliseconds(1500);
// One in this many downloads opens a connection of its own.
constexpr uint64_t kNonPersistentEvery = 3;
constexpr int kOk = 200;

}  // namespace

Downloads::Downloads(event::EventLoop& loop, Witness& witness,
                     const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed)
    : loop_(loop), witness_(witness), nodes_(nodes), random_(seed), timer_(loop, [this] {
        Send();
      }) {}

void Downloads::Start() { timer_.Start(kFirst); }

void Downloads::Send() {
  timer_.Start(random_.Between(kShortestInterval, kLongestInterval));
  open_.remove_if([](const OpenDownload& download) { return download.over; });
  const SoakNode& node = *nodes_[random_.Below(nodes_.size())];
  http::RequestHead head;
  Attempt attempt = MakeAttempt(node, &head);
  OpenDownload* const open = &open_.emplace_back();
  open->id = attempt.request.id;
  open->connection = TakeConnection(node);
  open->timer = std::make_unique<event::Timer>(loop_, [this, open] { GiveUp(open); });
  attempt.kept_connection = open->connection->requests() > 0;
  witness_.OnSent(std::move(attempt));
  open->timer->Start(kDeadline + kUnanswered);
  open->connection->Send(http::SerializeRequest(head, ""),
                         [this, &node, open](CallerConnection::End end, http::Response&& response) {
                           OnEnded(node, open, end, response);
                         });
}

std::unique_ptr<CallerConnection> Downloads::TakeConnection(const SoakNode& node) {
  auto& idle = idle_[&node];
  const bool persistent = random_.Below(kNonPersistentEvery) != 0;
  while (persistent && !idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->usable()) return connection;
  }
  return std::make_unique<CallerConnection>(loop_, node.outbound);
}

void Downloads::OnEnded(const SoakNode& node, OpenDownload* open, CallerConnection::End end,
                        const http::Response& response) {
  open->timer->Stop();
  witness_.OnEnded(open->id, end, response);
  if (response.status == kOk && end == CallerConnection::End::kAnswered) ++served_;
  open->over = true;
  if (open->connection->usable()) idle_[&node].push_back(std::move(open->connection));
}

void Downloads::GiveUp(OpenDownload* open) {
  witness_.OnNoAnswer(open->id);
  open->connection.reset();
  open->over = true;
}

Attempt Downloads::MakeAttempt(const SoakNode& node, http::RequestHead* head) {
  const uint64_t bytes = kSmallestBytes + random_.Below(kLargestBytes - kSmallestBytes);
  Attempt attempt;
  attempt.route = "pull";
  attempt.route_timeout = kDownloadTimeout;
  attempt.node = node.index;
  attempt.life = node.process->life();
  attempt.request.id = fmt::format("pull-{}", ++sent_);
  attempt.request.target = fmt::format("{}{}/{}", kDownloadPrefix, bytes, sent_);
  attempt.request.caller_service = node.service;
  attempt.request.repeatable = true;
  attempt.deadline = loop_.Now() + kDeadline;
  head->method = "GET";
  head->target = attempt.request.target;
  head->headers.Add("Host", "h.example");
  head->headers.Add("Attempt-Id", attempt.request.id);
  head->headers.Add("Deadline-Ms", std::to_string(ToMilliseconds(kDeadline)));
  return attempt;
}

}  // namespace runshelf::soak
