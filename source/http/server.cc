#include "source/http/server.h"

#include <utility>

#include "source/http/server_connection.h"

namespace runshelf::http {
namespace {

// How long a connection stays half-closed after its last answer, so that the client can read it.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Bytes of pipelined requests that are buffered while one is served; beyond it reading stops.
constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;
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
  const auto connection = connection_.lock();
  return connection == nullptr || connection->stream_ == nullptr ||
         connection->stream_->PeerDisconnected();
}

void ServerExchange::Respond(int status, const Headers& headers, std::string_view body) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || started_) return;
  started_ = true;
  finished_ = true;
  Headers framed = headers;
  framed.Add("Content-Length", std::to_string(body.size()));
  if (close_after_ || !connection->keep_alive_) framed.Add("Connection", "close");
  std::string bytes = SerializeResponseHead(status, framed);
  if (!head_request_) bytes.append(body);
  connection->Write(bytes);
  connection->OnAnswerComplete();
}

void ServerExchange::Start(int status, const Headers& headers,
                           std::optional<uint64_t> content_length) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || started_) return;
  started_ = true;
  Headers framed = headers;
  chunked_ = !content_length.has_value();
  if (chunked_) {
    framed.Add("Transfer-Encoding", "chunked");
  } else {
    framed.Add("Content-Length", std::to_string(*content_length));
  }
  if (close_after_ || !connection->keep_alive_) framed.Add("Connection", "close");
  connection->Write(SerializeResponseHead(status, framed));
}

void ServerExchange::WriteBody(std::string_view data) {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_ || data.empty()) return;
  if (head_request_) return;
  if (!chunked_) {
    connection->Write(data);
    return;
  }
  std::string chunk = ChunkHead(data.size());
  chunk.append(data).append("\r\n");
  connection->Write(chunk);
}

void ServerExchange::Finish() {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  finished_ = true;
  if (chunked_ && !head_request_) connection->Write("0\r\n\r\n");
  connection->OnAnswerComplete();
}

void ServerExchange::Abort() {
  auto connection = connection_.lock();
  if (connection == nullptr || finished_) return;
  finished_ = true;
  connection->Close();
}

size_t ServerExchange::unsent_bytes() const {
  const auto connection = connection_.lock();
  return connection == nullptr || connection->stream_ == nullptr
             ? 0
             : connection->stream_->unsent_bytes();
}

ServerConnection::ServerConnection(Server* server, std::unique_ptr<event::TcpStream> stream)
    : server_(server),
      stream_(std::move(stream)),
      parser_(ParserKind::kRequest, this),
      timer_(server->loop_, [this] { OnTimeout(); }) {}

void ServerConnection::Start() {
  stream_->set_observer(this);
  stream_->StartReading();
  timer_.Start(server_->limits_.idle_timeout);
}

void ServerConnection::Detach() {
  server_ = nullptr;
  exchange_.reset();
  stream_.reset();
}

void ServerConnection::OnData(std::string_view data) {
  const auto self = shared_from_this();
  if (lingering_) return;
  input_.append(data);
  if (exchange_ != nullptr && input_.size() > kMaxPipelinedBytes) stream_->StopReading();
  Consume();
}

void ServerConnection::Consume() {
  if (consuming_) return;
  consuming_ = true;
  while (server_ != nullptr && stream_ != nullptr && !lingering_ && exchange_ == nullptr &&
         !input_.empty()) {
    if (!parser_.in_message()) {
      parser_.set_max_head_bytes(server_->limits_.max_head_bytes);
      timer_.Start(server_->limits_.request_timeout);
    }
    const ParseResult result = parser_.Feed(input_);
    input_.erase(0, result.consumed);
    if (result.status == ParseStatus::kHeadTooLarge) {
      RefuseRequest(431);
    } else if (result.status == ParseStatus::kMalformed) {
      RefuseRequest(400);
    } else if (body_too_large_) {
      RefuseRequest(413);
    } else if (request_complete_) {
      DispatchRequest();
    }
  }
  consuming_ = false;
}

void ServerConnection::OnRequestHead(RequestHead&& head) {
  request_.head = std::move(head);
  request_.body.clear();
  const std::string* expect = request_.head.headers.Find("expect");
  if (expect != nullptr && EqualsIgnoreCase(*expect, "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::OnBody(std::string_view data) {
  if (request_.body.size() + data.size() > server_->limits_.max_body_bytes) {
    body_too_large_ = true;
    return;
  }
  request_.body.append(data);
}

void ServerConnection::OnMessageComplete(bool keep_alive) {
  request_complete_ = true;
  keep_alive_ = keep_alive;
}

void ServerConnection::DispatchRequest() {
  request_complete_ = false;
  timer_.Stop();
  if (server_->closing_) keep_alive_ = false;
  exchange_ =
      std::make_shared<ServerExchange>(weak_from_this(), std::move(request_), server_->loop_.Now());
  request_ = Request();
  ++server_->open_exchanges_;
  const ExchangePtr exchange = exchange_;
  server_->handler_(exchange);
}

void ServerConnection::RefuseRequest(int status) {
  Headers headers;
  headers.Add("Content-Length", "0");
  headers.Add("Connection", "close");
  Write(SerializeResponseHead(status, headers));
  CloseGracefully();
}

void ServerConnection::OnAnswerComplete() {
  const auto self = shared_from_this();
  const bool close = !keep_alive_ || (exchange_ != nullptr && exchange_->close_after_);
  if (exchange_ != nullptr) {
    exchange_.reset();
    if (server_ != nullptr) --server_->open_exchanges_;
  }
  if (server_ == nullptr || stream_ == nullptr) return;
  if (close) {
    CloseGracefully();
    return;
  }
  timer_.Start(server_->limits_.idle_timeout);
  stream_->StartReading();
  Consume();
}

void ServerConnection::CloseGracefully() {
  lingering_ = true;
  input_.clear();
  stream_->ShutdownWriting();
  stream_->StartReading();
  timer_.Start(kLingerTime);
}

void ServerConnection::OnEnd(event::StreamEnd) { Close(); }

void ServerConnection::Close() {
  const auto self = shared_from_this();
  timer_.Stop();
  stream_.reset();
  if (exchange_ != nullptr) {
    const ExchangePtr exchange = std::move(exchange_);
    exchange_.reset();
    if (server_ != nullptr) --server_->open_exchanges_;
    const bool cut_short = !exchange->finished_;
    exchange->finished_ = true;
    if (cut_short && exchange->on_client_gone_) exchange->on_client_gone_();
  }
  if (server_ != nullptr) server_->connections_.erase(self);
}

void ServerConnection::OnDrained() {
  if (exchange_ != nullptr && exchange_->on_drained_) {
    const ExchangePtr exchange = exchange_;
    exchange->on_drained_();
  }
}

void ServerConnection::OnTimeout() {
  const auto self = shared_from_this();
  if (lingering_) {
    if (stream_ != nullptr && stream_->unsent_bytes() > 0) {
      timer_.Start(kLingerTime);
      return;
    }
    Close();
  } else if (parser_.in_message()) {
    RefuseRequest(408);
  } else {
    Close();
  }
}

void ServerConnection::Write(std::string_view bytes) {
  if (stream_ != nullptr) stream_->Write(bytes);
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

uint16_t Server::bound_port() const { return listener_ == nullptr ? 0 : listener_->bound_port(); }

void Server::StopListening() { listener_.reset(); }

}  // namespace runshelf::http
