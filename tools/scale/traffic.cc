#include "tools/scale/traffic.h"

#include <numeric>

namespace runshelf::scale {
namespace {

constexpr std::array<std::string_view, kMessageKinds> kNames = {
    "vote_request",    "vote_response", "append_request",    "append_response", "snapshot_request",
    "renewal_request", "renewal_reply", "redirect",          "renew_now",       "hello",
    "seal_request",    "seal_reply",    "group_announcement"};

static_assert(std::variant_size_v<consensus::Message> +
                  std::variant_size_v<coordination::MessageBody> - 1 ==
              kMessageKinds);

MessageCount Sum(const std::array<MessageCount, kMessageKinds>& counts) {
  MessageCount sum;
  for (const MessageCount& count : counts) sum.Add(count);
  return sum;
}

}  // namespace

MessageKind KindOf(const coordination::Envelope& envelope) {
  if (const auto* message = std::get_if<consensus::Message>(&envelope.body)) {
    return static_cast<MessageKind>(message->index());
  }
  // Messages between replicas are the first alternative of the body and the first kinds.
  return static_cast<MessageKind>(envelope.body.index() - 1 +
                                  std::variant_size_v<consensus::Message>);
}

std::string_view KindName(MessageKind kind) { return kNames.at(static_cast<size_t>(kind)); }

MessageCount NodeTraffic::TotalSent() const { return Sum(sent); }

MessageCount NodeTraffic::TotalReceived() const { return Sum(received); }

void NodeTraffic::Add(const NodeTraffic& other) {
  for (size_t kind = 0; kind < kMessageKinds; ++kind) {
    sent.at(kind).Add(other.sent.at(kind));
    received.at(kind).Add(other.received.at(kind));
  }
  tick_cpu += other.tick_cpu;
  receive_cpu += other.receive_cpu;
  encode_cpu += other.encode_cpu;
  decode_cpu += other.decode_cpu;
}

}  // namespace runshelf::scale
