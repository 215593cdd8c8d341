#include "tools/platform_standin/watch_stream.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace runshelf::platform_standin {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventsPerBatch = 1000;
constexpr Duration kEndCheckInterval = std::chrono::milliseconds(100);

bool ClientHasLeft(Poco::Net::HTTPServerRequest& request) {
  auto* implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
  if (implementation == nullptr) return false;
  Poco::Net::StreamSocket& socket = implementation->socket();
  return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
}

void SendResult(std::ostream& stream, const json& result) {
  stream << json{{"result", result}}.dump() << '\n' << std::flush;
}

json Created(int64_t revision) { return {{"header", EncodeHeader(revision)}, {"created", true}}; }

json Compacted(int64_t revision, int64_t compacted_revision) {
  return {{"header", EncodeHeader(revision)},
          {"canceled", true},
          {"compact_revision", std::to_string(compacted_revision)}};
}

}  // namespace

void StreamWatch(PlatformState& state, const std::atomic<bool>& stopping, const WatchRequest& watch,
                 Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) {
  response.setChunkedTransferEncoding(true);
  response.setContentType("application/json");
  response.setKeepAlive(false);
  const int64_t revision = state.store.revision();
  int64_t next_revision = watch.start_revision > 0 ? watch.start_revision : revision + 1;
  std::ostream& stream = response.send();
  SendResult(stream, Created(revision));
  while (stream.good() && !stopping.load() && !state.faults.settings().outage &&
         !ClientHasLeft(request)) {
    const absl::StatusOr<EventBatch> batch = state.store.WaitForEvents(
        watch.range, next_revision, kMaxEventsPerBatch, kEndCheckInterval);
    if (!batch.ok()) {
      SendResult(stream, Compacted(state.store.revision(), state.store.compacted_revision()));
      return;
    }
    if (!batch->events.empty()) SendResult(stream, EncodeEvents(*batch));
    next_revision = std::max(next_revision, batch->revision + 1);
  }
}

}  // namespace runshelf::platform_standin
