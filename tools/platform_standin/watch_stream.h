// The answer to a watch: one JSON object a line, until the client or the server leaves.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>

#include "tools/platform_standin/etcd_codec.h"
#include "tools/platform_standin/platform_server.h"

namespace runshelf::platform_standin {

// Streams the changes that `watch` asks for. Returns when the client has closed its connection, an
// outage begins, `stopping` is set, or the revisions asked for have been compacted.
void StreamWatch(PlatformState& state, const std::atomic<bool>& stopping, const WatchRequest& watch,
                 Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

}  // namespace runshelf::platform_standin
