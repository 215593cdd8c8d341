// What nodes say to each other over HTTP: forwarded requests, their answers, calls to the store
// that one passes on for another. Spelled out in docs/PROTOCOLS.md.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/routing/target_load.h"
#include "source/http/message.h"
#include "source/sidecar/attempt.h"
#include "source/sidecar/stop_notice.h"

namespace runshelf::sidecar::peer_protocol {

// All headers of this protocol begin so; clients cannot set them.
constexpr std::string_view kHeaderPrefix = "Runshelf-";

// Removes the protocol's headers, from what clients send and from answers for them.
void RemoveHeaders(http::Headers* headers);

// Adds what the receiving node needs to know; the deadlines travel as what is left of them.
void AddAttemptHeaders(const AttemptRequest& attempt, Instant now, http::Headers* headers);

// Reads and removes those headers; nullopt when one is missing or broken. `request` becomes the
// request of the attempt.
std::optional<AttemptRequest> ReadAttempt(http::Request request, Instant now);

// The answer of the worker, or why there is none.
void AddLoad(const routing::TargetLoad& load, http::Headers* headers);
std::optional<routing::TargetLoad> ReadLoad(const http::Headers& headers);
// The answering node is told to stop; nothing is added for one that is not.
void AddStopNotice(const std::optional<StopNotice>& notice, http::Headers* headers);
std::optional<StopNotice> ReadStopNotice(const http::Headers& headers);
http::Headers FailureHeaders(const AttemptFailure& failure);
std::optional<AttemptFailure> ReadFailure(const http::Headers& headers);

// A call to the store that the receiving node is to pass on.
void MarkStoreCall(http::Headers* headers);
bool IsStoreCall(const http::Headers& headers);

// Changes of the state in the store, which the receiving node takes over.
void MarkChangeSet(http::Headers* headers);
bool IsChangeSet(const http::Headers& headers);
// A request for the copy of a prefix that the receiving node has.
void MarkSnapshotRequest(const std::string& prefix, http::Headers* headers);
// The prefix; nullopt: it is no such request.
std::optional<std::string> ReadSnapshotRequest(const http::Headers& headers);
// The end of a worker, which the sender cannot write to the store; see WorkerEnd. `write`: the
// receiving node is to write it once the store takes it.
void MarkWorkerEnd(bool write, http::Headers* headers);
bool IsWorkerEnd(const http::Headers& headers);
bool IsWorkerEndToWrite(const http::Headers& headers);
// The receiving node is to pass them on to all others of its zone.
void MarkForZone(http::Headers* headers);
bool IsForZone(const http::Headers& headers);
// The receiving node is to pass them on to these. Nodes whose names cannot stand in a header are
// left out; they catch up by themselves.
void MarkPassOnTo(const std::vector<std::string>& nodes, http::Headers* headers);
std::vector<std::string> ReadPassOnTo(const http::Headers& headers);
// Nodes that were asked before and did not acknowledge the changes.
void MarkFailedReaders(const std::vector<std::string>& nodes, http::Headers* headers);
std::vector<std::string> ReadFailedReaders(const http::Headers& headers);

}  // namespace runshelf::sidecar::peer_protocol
