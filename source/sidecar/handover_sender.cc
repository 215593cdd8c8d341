#include "source/sidecar/handover_sender.h"

#include <utility>

#include "source/sidecar/peer_protocol.h"

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
// Several times what the writer needs to gather handovers and to write them. No worker holds the
// keys in the meantime.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);
// How long handovers are written here after the writer did not answer.
constexpr Duration kAvoidWriter = std::chrono::seconds(5);

}  // namespace

HandoverSender::HandoverSender(event::EventLoop& loop, http::ConnectionPool& pool,
                               const PeerDirectory& peers, HandoverWriter& own_writer,
                               std::string own_node, std::string service)
    : loop_(loop),
      calls_(loop, pool),
      peers_(peers),
      own_writer_(own_writer),
      own_node_(std::move(own_node)),
      service_(std::move(service)) {}

const Peer* HandoverSender::Writer() const {
  for (const auto& [node, peer] : peers_.peers()) {
    if (peer.record.service != service_ || !peer.listed) continue;
    if (peer.record.accepting()) return &peer;
  }
  return nullptr;
}

bool HandoverSender::Send(const HandoverReport& report, const HandoverWriter::Callback& callback) {
  const Peer* writer = Writer();
  if (writer == nullptr || loop_.Now() < avoided_until_) return false;
  if (writer->record.node == own_node_) {
    own_writer_.Add(report, callback);
    return true;
  }
  http::RequestHead head;
  head.method = "POST";
  head.target = "/handover";
  peer_protocol::MarkHandover(&head.headers);
  calls_.Start(writer->record.inbound, http::SerializeRequest(head, report.Serialize()),
               http::CallOptions(http::AnswerMatch::InOrder(), "handover"), kAnswerTimeout,
               [this, callback](const std::optional<http::Response>& response) {
                 if (!response.has_value()) avoided_until_ = loop_.Now() + kAvoidWriter;
                 callback(response.has_value() && response->status == kOk);
               });
  return true;
}

}  // namespace runshelf::sidecar
