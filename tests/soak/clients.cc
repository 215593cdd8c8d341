#include "tests/soak/clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

// Total for all nodes. Keeps about six requests in flight at each of six workers, so that a node
// rarely stops while idle.
constexpr size_t kClients = 96;
constexpr size_t kMinClientsPerNode = 3;
// One in this many clients opens a new connection for each request; the others reuse theirs.
constexpr size_t kNonPersistentEvery = 3;
// Pause between the end of a request and the next request of the same client.
constexpr Duration kShortestPause = milliseconds(20);
constexpr Duration kLongestPause = milliseconds(250);
// Pause after a failed connection attempt.
constexpr Duration kRetryPause = milliseconds(60);
constexpr Duration kDeadline = milliseconds(2000);
constexpr Duration kShortDeadline = milliseconds(500);
// One in this many requests has the short deadline; one in this many is abandoned by its client.
constexpr uint64_t kShortDeadlineEvery = 12;
constexpr uint64_t kLeaveEvery = 15;
// A request without a response after this time counts as unanswered.
constexpr Duration kUnanswered = milliseconds(3500);
// Half of the requests with keys go to this many adjacent keys.
constexpr uint32_t kBusyKeys = 64;
constexpr uint32_t kFirstBusyKey = 20000;

}  // namespace

// Sends requests to one node, one at a time.
class Clients::Client {
 public:
  Client(Clients* clients, const SoakNode& node, bool persistent)
      : clients_(clients),
        node_(node),
        persistent_(persistent),
        next_timer_(clients->loop_, [this] { Send(); }),
        end_timer_(clients->loop_, [this] { GiveUp(); }) {}

  void Start() { Pause(); }

 private:
  void Pause() { next_timer_.Start(clients_->random_.Between(kShortestPause, kLongestPause)); }

  void Send() {
    if (!persistent_ || connection_ == nullptr || !connection_->usable()) {
      connection_ = std::make_unique<CallerConnection>(clients_->loop_, node_.outbound);
    }
    http::RequestHead head;
    Attempt attempt = clients_->DrawAttempt(node_, &head);
    attempt.kept_connection = connection_->requests() > 0;
    id_ = attempt.request.id;
    const std::string bytes = http::SerializeRequest(head, attempt.request.body);
    clients_->witness_.OnSent(std::move(attempt));
    leaving_ = clients_->random_.Below(kLeaveEvery) == 0;
    end_timer_.Start(leaving_ ? clients_->random_.Between(milliseconds(20), milliseconds(400))
                              : kUnanswered);
    connection_->Send(bytes, [this](CallerConnection::End end, http::Response&& response) {
      end_timer_.Stop();
      clients_->witness_.OnEnded(id_, end, response);
      if (end == CallerConnection::End::kNotSent) {
        next_timer_.Start(kRetryPause);
      } else {
        Pause();
      }
    });
  }

  void GiveUp() {
    if (leaving_) {
      clients_->witness_.OnLeft(id_);
    } else {
      clients_->witness_.OnNoAnswer(id_);
    }
    connection_.reset();
    Pause();
  }

  Clients* clients_;
  const SoakNode& node_;
  bool persistent_;
  std::unique_ptr<CallerConnection> connection_;
  event::Timer next_timer_;
  event::Timer end_timer_;
  std::string id_;
  bool leaving_ = false;
};

Clients::Clients(event::EventLoop& loop, Witness& witness,
                 const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed)
    : loop_(loop),
      witness_(witness),
      nodes_(nodes),
      random_(seed),
      prefix_(fmt::format("{}-", seed)) {
  const size_t per_node = std::max(kMinClientsPerNode, kClients / nodes_.size());
  for (const auto& node : nodes_) {
    for (size_t count = 0; count < per_node; ++count) {
      clients_.push_back(std::make_unique<Client>(this, *node, count % kNonPersistentEvery != 0));
    }
  }
}

Clients::~Clients() = default;

void Clients::Start() {
  for (const auto& client : clients_) client->Start();
}

Attempt Clients::DrawAttempt(const SoakNode& node, http::RequestHead* head) {
  static const char* const kRoutes[] = {"read", "read",  "read",  "send",  "send",
                                        "send", "extra", "keyed", "keyed", "order"};
  Attempt attempt;
  attempt.route = kRoutes[random_.Below(std::size(kRoutes))];
  attempt.node = node.index;
  attempt.life = node.process->life();
  attempt.request.id = prefix_ + std::to_string(++attempts_);
  attempt.request.target = "/" + attempt.route + "/" + std::to_string(attempts_);
  attempt.request.caller_service = node.service;
  attempt.request.repeatable = attempt.route != "send" && attempt.route != "order";
  if (!attempt.request.repeatable) attempt.request.body = "body of " + attempt.request.id;
  const Duration time = random_.Below(kShortDeadlineEvery) == 0 ? kShortDeadline : kDeadline;
  attempt.deadline = loop_.Now() + time;
  head->method = attempt.request.repeatable ? "GET" : "POST";
  head->target = attempt.request.target;
  head->headers.Add("Host", "h.example");
  head->headers.Add("Attempt-Id", attempt.request.id);
  head->headers.Add("Deadline-Ms", std::to_string(ToMilliseconds(time)));
  attempt.keyed = attempt.route == "keyed" || attempt.route == "order";
  if (attempt.keyed) {
    const bool busy = random_.Below(2) == 0;
    const uint64_t key = busy ? kFirstBusyKey + random_.Below(kBusyKeys) : random_.Below(kKeyCount);
    head->headers.Add("Shard-Key", std::to_string(key));
  }
  return attempt;
}

}  // namespace runshelf::soak
