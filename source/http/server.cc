#include "source/http/server.h"

#include <utility>

#include "source/http/server_connection.h"

namespace runshelf::http {
namespace {

constexpr size_t kChunkHeadBytes = 20;

std::string ChunkHead(size_t size) {
  char text[kChunkHeadBytes];
  const int length = snprintf(text, sizeof text, "%zx\r\n", size);
  return {text, static_cast<size_t>(length)};
}

}  // namespace

ServerExchange::ServerExchange(std::weak_ptr<ServerConnection> connection, Request request,
                               Instant received)
    : connection_(std::move(connection)),
      request_(std::move(request)),
      received_(received),
      head_request_(request_.head.method == "HEAD") {}

bool ServerExchange::open() const { return !finished_ && !connection_.expired(); }

bool ServerExchange::client_gone() const {
  if (withdrawn_) return true;
  const auto connection = connection_.lock();
  return connection == nullptr || connection->stream_ == nullptr ||
         connection->stream_->PeerDisconnected();
}

void ServerExchange::AllowOverlap() {
  if (const auto connection = connection_.lock()) connection->answers_.AllowOverlap(number_);
}

bool ServerExchange::waits_for_turn() const {
  const auto connection = connection_.lock();
  return !finished_ && connection != nullptr && connection->WaitsForTurn(*this);
}

void ServerExchange::WriteHead(ServerConnection& connection, int status, Headers headers,
                               std::string_view body) {
  started_ = true;
  if (closes()) headers.Add("Connection", "close");
  std::string bytes = SerializeResponseHead(status, headers);
  if (!head_request_) bytes.append(body);
  connection.Write(*this, bytes);
  if (closes()) connection.WithdrawBehind(*this);
}

void ServerExchange::Respond(int status, const Headers& headers, std::string_view body) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || started_) return;
  finished_ = true;
  Headers framed = headers;
  framed.Add("Content-Length", std::to_string(body.size()));
  WriteHead(*connection, status, std::move(framed), body);
  connection->OnAnswerComplete(this);
}

void ServerExchange::Start(int status, const Headers& headers,
                           std::optional<uint64_t> content_length) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || started_) return;
  Headers framed = headers;
  chunked_ = !content_length.has_value();
  if (chunked_) {
    framed.Add("Transfer-Encoding", "chunked");
  } else {
    framed.Add("Content-Length", std::to_string(*content_length));
  }
  WriteHead(*connection, status, std::move(framed), "");
}

void ServerExchange::WriteBody(std::string_view data) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || data.empty()) return;
  if (head_request_) return;
  if (!chunked_) {
    connection->Write(*this, data);
    return;
  }
  std::string chunk = ChunkHead(data.size());
  chunk.append(data).append("\r\n");
  connection->Write(*this, chunk);
}

void ServerExchange::Finish() {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  finished_ = true;
  if (chunked_ && !head_request_) connection->Write(*this, "0\r\n\r\n");
  connection->OnAnswerComplete(this);
}

void ServerExchange::Abort() {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  finished_ = true;
  aborted_ = true;
  connection->OnAborted(*this);
}

size_t ServerExchange::unsent_bytes() const {
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->UnsentBytes(*this);
}

Server::Server(event::EventLoop& loop, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {}

Server::~Server() {
  for (const auto& connection : connections_) connection->Detach();
}

int Server::Listen(const event::Endpoint& endpoint) {
  listener_ =
      std::make_unique<event::TcpListener>(loop_, [this](std::unique_ptr<event::TcpStream> stream) {
        auto connection = std::make_shared<ServerConnection>(this, std::move(stream));
        connections_.insert(connection);
        connection->Start();
      });
  return listener_->Listen(endpoint);
}

UnsentAnswers Server::unsent_answers() const {
  UnsentAnswers unsent;
  for (const auto& connection : connections_) {
    const size_t bytes = connection->unsent_bytes();
    if (bytes == 0) continue;
    ++unsent.connections;
    unsent.bytes += bytes;
  }
  return unsent;
}

uint16_t Server::bound_port() const { return listener_ == nullptr ? 0 : listener_->bound_port(); }

void Server::StopListening() { listener_.reset(); }

}  // namespace runshelf::http
