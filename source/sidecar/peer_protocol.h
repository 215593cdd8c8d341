// The HTTP headers of the protocol between nodes: forwarded requests, their answers, relayed store
// calls and state changes. Specified in docs/PROTOCOLS.md.
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

// Prefix of all headers of this protocol; clients cannot set them.
constexpr std::string_view kHeaderPrefix = "Runshelf-";

// Removes the protocol's headers from a client's request, or from an answer to a client.
void RemoveHeaders(http::Headers* headers);

// Adds the headers that describe the attempt to the receiving node. Deadlines are sent as the time
// remaining, since clocks of different machines cannot be compared.
void AddAttemptHeaders(const AttemptRequest& attempt, Instant now, http::Headers* headers);

// Reads and removes those headers; nullopt when a required one is missing or one is malformed.
// `request` becomes the request of the attempt.
std::optional<AttemptRequest> ReadAttempt(http::Request request, Instant now);

// The load of the answering node's worker. Values that are zero have no header of their own, so
// that nodes of earlier versions read the rest.
void AddLoad(const routing::TargetLoad& load, http::Headers* headers);
std::optional<routing::TargetLoad> ReadLoad(const http::Headers& headers);
// Announces that the answering node is stopping; adds nothing when it is not.
void AddStopNotice(const std::optional<StopNotice>& notice, http::Headers* headers);
std::optional<StopNotice> ReadStopNotice(const http::Headers& headers);
// The reason why the worker gave no answer.
http::Headers FailureHeaders(const AttemptFailure& failure);
std::optional<AttemptFailure> ReadFailure(const http::Headers& headers);

// Marks a store call that the receiving node should relay.
void MarkStoreCall(http::Headers* headers);
bool IsStoreCall(const http::Headers& headers);

// Marks a body with changes of the state, which the receiving node applies.
void MarkChangeSet(http::Headers* headers);
bool IsChangeSet(const http::Headers& headers);
// Marks a request for the receiving node's snapshot of a prefix.
void MarkSnapshotRequest(const std::string& prefix, http::Headers* headers);
// The prefix; nullopt when it is not a snapshot request.
std::optional<std::string> ReadSnapshotRequest(const http::Headers& headers);
// Marks a report of a worker's end that the sender cannot write to the store; see WorkerEnd.
// `write`: the receiving node should write it as soon as the store accepts it.
void MarkWorkerEnd(bool write, http::Headers* headers);
bool IsWorkerEnd(const http::Headers& headers);
bool IsWorkerEndToWrite(const http::Headers& headers);
// Marks a HandoverReport, which the receiving node should write to the shard map.
void MarkHandover(http::Headers* headers);
bool IsHandover(const http::Headers& headers);
// The receiving node should forward the changes to all other nodes of its zone.
void MarkForZone(http::Headers* headers);
bool IsForZone(const http::Headers& headers);
// The receiving node should forward the changes to these nodes. Nodes whose names cannot be encoded
// in a header are omitted; they catch up by themselves.
void MarkPassOnTo(const std::vector<std::string>& nodes, http::Headers* headers);
std::vector<std::string> ReadPassOnTo(const http::Headers& headers);
// Nodes that were asked to forward the changes before and did not acknowledge them.
void MarkFailedReaders(const std::vector<std::string>& nodes, http::Headers* headers);
std::vector<std::string> ReadFailedReaders(const http::Headers& headers);

}  // namespace runshelf::sidecar::peer_protocol
