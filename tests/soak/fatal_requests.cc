#include "tests/soak/fatal_requests.h"

#include <fmt/format.h>

#include <utility>

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

// Delay of the first request, by which the fleet is up.
constexpr Duration kFirst = std::chrono::seconds(7);
constexpr Duration kShortestInterval = milliseconds(50);
constexpr Duration kLongestInterval = milliseconds(900);
constexpr Duration kDeadline = milliseconds(2000);
// An idempotent route, a non-idempotent one, and one with shard keys.
constexpr const char* kRoutes[] = {"read", "send", "keyed"};
constexpr uint32_t kFatalKey = 51364;

}  // namespace

FatalRequests::FatalRequests(event::EventLoop& loop, Witness& witness,
                             const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed)
    : loop_(loop), witness_(witness), nodes_(nodes), random_(seed), timer_(loop, [this] {
        Send();
      }) {}

void FatalRequests::Start() { timer_.Start(kFirst); }

void FatalRequests::Send() {
  timer_.Start(random_.Between(kShortestInterval, kLongestInterval));
  open_.remove_if([](const OpenRequest& request) { return request.over; });
  const SoakNode& node = *nodes_[random_.Below(nodes_.size())];
  http::RequestHead head;
  Attempt attempt = MakeAttempt(node, &head);
  OpenRequest& open = open_.emplace_back();
  open.id = attempt.request.id;
  open.connection = std::make_unique<CallerConnection>(loop_, node.outbound);
  const std::string bytes = http::SerializeRequest(head, attempt.request.body);
  witness_.OnSent(std::move(attempt));
  open.connection->Send(bytes, [this, &open](CallerConnection::End end, http::Response&& response) {
    witness_.OnEnded(open.id, end, response);
    open.over = true;
  });
}

Attempt FatalRequests::MakeAttempt(const SoakNode& node, http::RequestHead* head) {
  Attempt attempt;
  attempt.route = kRoutes[random_.Below(std::size(kRoutes))];
  attempt.node = node.index;
  attempt.life = node.process->life();
  attempt.request.id = fmt::format("fatal-{}", ++sent_);
  attempt.request.target = "/" + attempt.route + "/fatal";
  attempt.request.caller_service = node.service;
  attempt.request.repeatable = attempt.route != "send";
  if (!attempt.request.repeatable) attempt.request.body = "always the same";
  attempt.deadline = loop_.Now() + kDeadline;
  attempt.keyed = attempt.route == "keyed";
  head->method = attempt.request.repeatable ? "GET" : "POST";
  head->target = attempt.request.target;
  head->headers.Add("Host", "h.example");
  head->headers.Add("Attempt-Id", attempt.request.id);
  head->headers.Add("Deadline-Ms", std::to_string(ToMilliseconds(kDeadline)));
  if (attempt.keyed) head->headers.Add("Shard-Key", std::to_string(kFatalKey));
  return attempt;
}

}  // namespace runshelf::soak
