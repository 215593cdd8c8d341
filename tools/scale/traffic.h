// What one node sends, receives and spends, by kind of message.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "runshelf/coordination/messages.h"

namespace runshelf::scale {

enum class MessageKind {
  kVoteRequest,
  kVoteResponse,
  kAppendRequest,
  kAppendResponse,
  kSnapshotRequest,
  kRenewalRequest,
  kRenewalReply,
  kRedirect,
  kRenewNow,
  kHello,
  kSealRequest,
  kSealReply,
  kGroupAnnouncement,
};
constexpr size_t kMessageKinds = 13;

MessageKind KindOf(const coordination::Envelope& envelope);
std::string_view KindName(MessageKind kind);

// Bytes of the IP and UDP headers that every datagram adds to its payload.
constexpr uint64_t kDatagramHeaderBytes = 28;

struct MessageCount {
  uint64_t messages = 0;
  uint64_t bytes = 0;  // Payload, without headers.

  void Add(uint64_t payload) {
    ++messages;
    bytes += payload;
  }
  void Add(const MessageCount& other) {
    messages += other.messages;
    bytes += other.bytes;
  }
  uint64_t WireBytes() const { return bytes + messages * kDatagramHeaderBytes; }
};

struct NodeTraffic {
  std::array<MessageCount, kMessageKinds> sent;
  std::array<MessageCount, kMessageKinds> received;
  // Processor time in seconds.
  double tick_cpu = 0;
  double receive_cpu = 0;
  double encode_cpu = 0;
  double decode_cpu = 0;

  MessageCount TotalSent() const;
  MessageCount TotalReceived() const;
  double TotalCpu() const { return tick_cpu + receive_cpu + encode_cpu + decode_cpu; }
  void Add(const NodeTraffic& other);
};

}  // namespace runshelf::scale
