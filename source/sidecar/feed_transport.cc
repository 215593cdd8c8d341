#include "source/sidecar/feed_transport.h"

#include <utility>

#include "source/sidecar/peer_protocol.h"

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
// A snapshot holds all items under a prefix.
constexpr size_t kMaxSnapshotBytes = size_t{32} * 1024 * 1024;
constexpr const char* kTarget = "/state";

http::RequestHead MessageHead() {
  http::RequestHead head;
  head.method = "POST";
  head.target = kTarget;
  return head;
}

http::CallSet::Callback AnswerTo(FeedTransport::Callback callback) {
  return [callback = std::move(callback)](std::optional<http::Response> response) {
    if (!response.has_value()) {
      callback(std::nullopt);
      return;
    }
    callback(FeedAnswer{response->status == kOk, std::move(response->body)});
  };
}

}  // namespace

NetworkFeedTransport::NetworkFeedTransport(event::EventLoop& loop, http::ConnectionPool& pool,
                                           std::string ip_address, uint16_t port)
    : ip_address_(std::move(ip_address)),
      port_(port),
      socket_(loop,
              [this](std::string_view data) {
                if (on_beacon_) on_beacon_(data);
              }),
      calls_(loop, pool) {}

bool NetworkFeedTransport::ListenForBeacons(std::function<void(std::string_view)> on_beacon) {
  on_beacon_ = std::move(on_beacon);
  return port_ != 0 && socket_.Bind({ip_address_, port_}) == 0;
}

void NetworkFeedTransport::SendBeacon(const std::string& ip_address, std::string_view beacon) {
  socket_.Send({ip_address, port_}, beacon);
}

void NetworkFeedTransport::SendChanges(const FeedReceiver& receiver, const std::string& changes,
                                       Duration timeout, Callback callback) {
  http::RequestHead head = MessageHead();
  peer_protocol::MarkChangeSet(&head.headers);
  if (receiver.reads_for_zone) peer_protocol::MarkForZone(&head.headers);
  peer_protocol::MarkPassOnTo(receiver.forward_to, &head.headers);
  peer_protocol::MarkFailedReaders(receiver.failed, &head.headers);
  calls_.Start(receiver.endpoint, http::SerializeRequest(head, changes),
               http::CallOptions(http::AnswerMatch::InOrder(), "changes"), timeout,
               AnswerTo(std::move(callback)));
}

void NetworkFeedTransport::FetchSnapshot(const event::Endpoint& source, const std::string& prefix,
                                         Duration timeout, Callback callback) {
  http::RequestHead head = MessageHead();
  peer_protocol::MarkSnapshotRequest(prefix, &head.headers);
  http::CallOptions options(http::AnswerMatch::InOrder(), "copy");
  options.wait_while_answer_arrives = true;
  options.max_body_bytes = kMaxSnapshotBytes;
  calls_.Start(source, http::SerializeRequest(head, ""), options, timeout,
               AnswerTo(std::move(callback)));
}

}  // namespace runshelf::sidecar
