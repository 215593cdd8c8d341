#include "tools/platform_standin/etcd_api.h"

#include <array>
#include <chrono>
#include <string>

#include "tools/platform_standin/etcd_codec.h"
#include "tools/platform_standin/json_fields.h"

namespace runshelf::platform_standin {
namespace {

using nlohmann::json;
using Handler = absl::StatusOr<json> (*)(SynchronizedStore&, const json&);

struct Route {
  const char* path;
  CallKind kind;
  Handler handler;
};

absl::StatusOr<json> HandleRange(SynchronizedStore& store, const json& request) {
  const absl::StatusOr<KeyRange> range = DecodeRange(request);
  if (!range.ok()) return range.status();
  return EncodeRange(store.Range(*range));
}

absl::StatusOr<json> HandleTransaction(SynchronizedStore& store, const json& request) {
  const absl::StatusOr<Transaction> transaction = DecodeTransaction(request);
  if (!transaction.ok()) return transaction.status();
  const absl::StatusOr<TransactionResult> result = store.Commit(*transaction);
  if (!result.ok()) return result.status();
  return EncodeTransaction(*result);
}

absl::StatusOr<json> HandleCompaction(SynchronizedStore& store, const json& request) {
  const absl::StatusOr<int64_t> revision = DecodeCompaction(request);
  if (!revision.ok()) return revision.status();
  if (absl::Status status = store.Compact(*revision); !status.ok()) return status;
  return json{{"header", EncodeHeader(store.revision())}};
}

absl::StatusOr<json> HandleLeaseGrant(SynchronizedStore& store, const json& request) {
  const absl::StatusOr<LeaseGrantRequest> grant = DecodeLeaseGrant(request);
  if (!grant.ok()) return grant.status();
  const absl::StatusOr<int64_t> lease =
      store.GrantLease(std::chrono::seconds(grant->time_to_live_s));
  if (!lease.ok()) return lease.status();
  return json{{"header", EncodeHeader(store.revision())},
              {"ID", std::to_string(*lease)},
              {"TTL", std::to_string(grant->time_to_live_s)}};
}

// As in etcd, an unknown lease is no error: its answer has no TTL.
absl::StatusOr<json> HandleLeaseKeepAlive(SynchronizedStore& store, const json& request) {
  const absl::StatusOr<int64_t> lease = DecodeLeaseId(request);
  if (!lease.ok()) return lease.status();
  json result{{"header", EncodeHeader(store.revision())}, {"ID", std::to_string(*lease)}};
  const absl::StatusOr<Duration> time_to_live = store.KeepLeaseAlive(*lease);
  if (time_to_live.ok()) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(*time_to_live);
    result["TTL"] = std::to_string(seconds.count());
  }
  return json{{"result", std::move(result)}};
}

absl::StatusOr<json> HandleLeaseRevoke(SynchronizedStore& store, const json& request) {
  const absl::StatusOr<int64_t> lease = DecodeLeaseId(request);
  if (!lease.ok()) return lease.status();
  if (absl::Status status = store.RevokeLease(*lease); !status.ok()) return status;
  return json{{"header", EncodeHeader(store.revision())}};
}

constexpr std::array kRoutes = {
    Route{"/v3/kv/range", CallKind::kRead, HandleRange},
    Route{"/v3/kv/txn", CallKind::kWrite, HandleTransaction},
    Route{"/v3/kv/compaction", CallKind::kWrite, HandleCompaction},
    Route{"/v3/lease/grant", CallKind::kWrite, HandleLeaseGrant},
    Route{"/v3/lease/keepalive", CallKind::kWrite, HandleLeaseKeepAlive},
    Route{"/v3/lease/revoke", CallKind::kWrite, HandleLeaseRevoke},
};

int HttpStatusOf(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kNotFound:
    case absl::StatusCode::kUnimplemented:
      return 404;
    case absl::StatusCode::kResourceExhausted:
      return 429;
    case absl::StatusCode::kUnavailable:
      return 503;
    default:
      return 400;
  }
}

}  // namespace

CallKind KindOfCall(const std::string& path) {
  for (const Route& route : kRoutes) {
    if (path == route.path) return route.kind;
  }
  return CallKind::kRead;
}

ApiAnswer ErrorAnswer(const absl::Status& status) {
  // The codes of absl::Status are those of gRPC.
  const std::string message(status.message().data(), status.message().size());
  const int code = static_cast<int>(status.code());
  return {HttpStatusOf(status), {{"error", message}, {"message", message}, {"code", code}}};
}

ApiAnswer HandleCall(SynchronizedStore& store, const std::string& path, const std::string& body) {
  for (const Route& route : kRoutes) {
    if (path != route.path) continue;
    const absl::StatusOr<json> request = ParseObject(body);
    if (!request.ok()) return ErrorAnswer(request.status());
    absl::StatusOr<json> answer = route.handler(store, *request);
    if (!answer.ok()) return ErrorAnswer(answer.status());
    return {200, *std::move(answer)};
  }
  return ErrorAnswer(absl::UnimplementedError("no such call"));
}

}  // namespace runshelf::platform_standin
