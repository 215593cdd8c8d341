#include "source/http/server_connection.h"

#include <algorithm>
#include <utility>

namespace runshelf::http {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
// How long a connection stays half-closed after its last answer, so that the client can read it.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Limits on what is kept for a connection while an answer is in progress: bytes of requests and of
// answers that wait for their turn, and complete requests that have not begun.
constexpr size_t kMaxBufferedBytes = size_t{64} * 1024;
constexpr size_t kMaxWaitingRequests = 64;

}  // namespace

ServerConnection::ServerConnection(Server* server, std::unique_ptr<event::TcpStream> stream)
    : server_(server),
      resources_(server->resources_),
      stream_(std::move(stream)),
      timer_(server->loop_, [this] { OnTimeout(); }),
      reader_(resources_ == nullptr ? nullptr : resources_->memory()),
      use_since_(server->loop_.Now()) {}

void ServerConnection::Start() {
  stream_->set_observer(this);
  stream_->StartReading();
  timer_.Start(server_->limits_.idle_timeout);
  if (resources_ != nullptr) resources_->Add(this);
}

void ServerConnection::Unregister() {
  if (resources_ != nullptr) resources_->Remove(this);
  resources_ = nullptr;
}

void ServerConnection::Detach() {
  Unregister();
  server_ = nullptr;
  for (const ExchangePtr& exchange : exchanges_) exchange->on_sent_ = nullptr;
  exchanges_.clear();
  answers_.Clear();
  stream_.reset();
}

void ServerConnection::OnData(std::string_view data) {
  if (input_ended_) return;
  progress_.OnBytes(server_->loop_.Now(), data.size());
  reader_.Append(data);
  Advance();
}

ConnectionUse ServerConnection::use() const {
  if (lingering_) return ConnectionUse::kClosing;
  const bool has_requests = !exchanges_.empty() || !waiting_.empty() || advancing_;
  if (server_ == nullptr || has_requests) return ConnectionUse::kInUse;
  if (!used_) return ConnectionUse::kUnused;
  if (!server_->limits_.closes_idle || reader_.in_request()) return ConnectionUse::kInUse;
  return ConnectionUse::kIdle;
}

Instant ServerConnection::StalledSince(Instant now) {
  if (advancing_ || input_ended_ || !reading_ || !reader_.in_request()) return Instant::max();
  return progress_.StalledSince(now);
}

void ServerConnection::DropStalledRequest() {
  const auto self = shared_from_this();
  refusal_ = kRequestTimeout;
  EndInput();
  Advance();
}

void ServerConnection::Advance() {
  if (advancing_) return;
  const auto self = shared_from_this();
  advancing_ = true;
  while (IsOpen() && (BeginNext() || ReadNext())) {
  }
  advancing_ = false;
  if (!IsOpen()) return;
  UpdateReading();
  OfferContinue();
}

bool ServerConnection::BeginNext() {
  if (waiting_.empty()) {
    if (refusal_ != 0 && answers_.empty()) Refuse(refusal_);
    return false;
  }
  if (!MayBegin(waiting_.front())) return false;
  WaitingRequest next = std::move(waiting_.front());
  waiting_.erase(waiting_.begin());
  waiting_bytes_ -= next.read.bytes;
  Begin(std::move(next));
  return true;
}

bool ServerConnection::MayBegin(const WaitingRequest& next) const {
  if (answers_.empty()) return true;
  return server_->may_overlap_ && answers_.AcceptsAnother() &&
         server_->may_overlap_(next.read.request.head);
}

bool ServerConnection::ReadNext() {
  if (input_ended_ || !reader_.has_input() || !HasRoom()) return false;
  if (!reader_.in_request()) {
    timer_.Start(server_->limits_.request_timeout);
    progress_.Begin(server_->loop_.Now());
  }
  switch (reader_.ReadNext(server_->limits_.max_head_bytes, server_->limits_.max_body_bytes)) {
    case ReadStatus::kIncomplete:
      return false;
    case ReadStatus::kRefused:
      refusal_ = reader_.refusal();
      if (refusal_ == kServiceUnavailable && resources_ != nullptr) {
        resources_->Count(OverloadAction::kRequestRefused);
      }
      EndInput();
      return true;
    case ReadStatus::kRequest:
      break;
  }
  timer_.Stop();
  used_ = true;
  WaitingRequest next{reader_.TakeRequest(), server_->loop_.Now()};
  if (!next.read.keep_alive) EndInput();
  if (waiting_.empty() && MayBegin(next)) {
    Begin(std::move(next));
  } else {
    waiting_bytes_ += next.read.bytes;
    waiting_.push_back(std::move(next));
  }
  return true;
}

void ServerConnection::Begin(WaitingRequest next) {
  auto exchange = std::make_shared<ServerExchange>(weak_from_this(), std::move(next.read.request),
                                                   next.received);
  if (answers_.empty()) {
    earlier_answer_unsent_ = stream_->unsent_bytes() > 0;
  } else {
    ++server_->overlap_counts_.requests;
  }
  exchange->number_ = answers_.Append();
  exchange->last_ = !next.read.keep_alive || server_->closing_;
  exchanges_.push_back(exchange);
  ++server_->open_exchanges_;
  if (exchange->last_) WithdrawBehind(*exchange);
  server_->handler_(exchange);
}

bool ServerConnection::HasRoom() const {
  if (answers_.empty()) return true;
  const size_t bytes = reader_.buffered_bytes() + waiting_bytes_ + answers_.held_bytes();
  return bytes <= kMaxBufferedBytes && waiting_.size() < kMaxWaitingRequests;
}

// The time for which reading stops does not count for the request timeout.
void ServerConnection::UpdateReading() {
  const bool read = input_ended_ || HasRoom();
  if (read == reading_ || stream_ == nullptr) return;
  reading_ = read;
  const bool in_request = reader_.in_request() && !input_ended_;
  if (reading_) {
    stream_->StartReading();
    if (in_request) timer_.Start(server_->limits_.request_timeout);
  } else {
    stream_->StopReading();
    if (in_request) timer_.Stop();
  }
}

void ServerConnection::OfferContinue() {
  if (input_ended_ || !reader_.expects_continue()) return;
  if (!answers_.empty()) {
    timer_.Stop();  // The client waits for the interim response.
    return;
  }
  reader_.ContinueSent();
  stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  timer_.Start(server_->limits_.request_timeout);
}

void ServerConnection::EndInput() {
  if (input_ended_) return;
  input_ended_ = true;
  timer_.Stop();
  reader_.Discard();
  UpdateReading();
}

void ServerConnection::Refuse(int status) {
  Headers headers = server_->refusal_headers_ ? server_->refusal_headers_(status) : Headers();
  headers.Add("Content-Length", "0");
  headers.Add("Connection", "close");
  stream_->Write(SerializeResponseHead(status, headers));
  CloseGracefully();
}

void ServerConnection::Write(const ServerExchange& exchange, std::string_view bytes) {
  if (stream_ == nullptr) return;
  if (answers_.HasTurn(exchange.number_)) {
    stream_->Write(bytes);
  } else {
    answers_.Hold(exchange.number_, bytes);
  }
}

bool ServerConnection::WaitsForTurn(const ServerExchange& exchange) const {
  return !exchanges_.empty() && exchange.number_ > exchanges_.front()->number_;
}

size_t ServerConnection::UnsentBytes(const ServerExchange& exchange) const {
  if (stream_ == nullptr) return 0;
  return stream_->unsent_bytes() + (WaitsForTurn(exchange) ? answers_.held_bytes() : 0);
}

void ServerConnection::OnAnswerComplete(ServerExchange* exchange) {
  if (!IsOpen()) return;
  const auto self = shared_from_this();
  if (!answers_.HasTurn(exchange->number_)) exchange->completed_at_ = server_->loop_.Now();
  SendAnswersInTurn();
  Advance();
}

void ServerConnection::SendAnswersInTurn() {
  while (IsOpen() && !exchanges_.empty() && exchanges_.front()->finished_) {
    const ExchangePtr done = exchanges_.front();
    if (done->aborted_) {
      BreakOff();
      return;
    }
    exchanges_.erase(exchanges_.begin());
    --server_->open_exchanges_;
    const std::string held = answers_.EndTurn();
    if (done->completed_at_ != Instant{}) {
      done->held_for_ = server_->loop_.Now() - done->completed_at_;
      ++server_->overlap_counts_.held_answers;
      server_->overlap_counts_.held_time += done->held_for_;
    }
    if (done->closes()) {
      CloseGracefully();
    } else if (!exchanges_.empty()) {
      BeginTurn(held);
    }
    if (const auto on_sent = std::exchange(done->on_sent_, nullptr)) on_sent();
  }
  if (IsOpen() && exchanges_.empty() && !reader_.in_request()) {
    timer_.Start(server_->limits_.idle_timeout);
    use_since_ = server_->loop_.Now();
  }
}

void ServerConnection::BeginTurn(std::string_view held) {
  const ExchangePtr exchange = exchanges_.front();
  earlier_answer_unsent_ = stream_->unsent_bytes() > 0;
  if (exchange->aborted_) return;
  stream_->Write(held);
  if (!exchange->finished_ && stream_->unsent_bytes() == 0) OnDrained();
}

void ServerConnection::OnAborted(const ServerExchange& exchange) {
  const auto self = shared_from_this();
  WithdrawBehind(exchange);
  if (IsOpen() && answers_.HasTurn(exchange.number_)) BreakOff();
}

// Complete answers that the client has not read yet are still sent.
void ServerConnection::BreakOff() {
  if (!earlier_answer_unsent_) {
    Close();
    return;
  }
  exchanges_.clear();
  answers_.Clear();
  --server_->open_exchanges_;
  CloseGracefully();
}

void ServerConnection::WithdrawBehind(const ServerExchange& exchange) {
  if (server_ == nullptr) return;
  EndInput();
  refusal_ = 0;
  waiting_.clear();
  waiting_bytes_ = 0;
  answers_.DropBehind(exchange.number_);
  const auto behind =
      std::find_if(exchanges_.begin(), exchanges_.end(),
                   [&](const ExchangePtr& other) { return other->number_ > exchange.number_; });
  std::vector<ExchangePtr> withdrawn(behind, exchanges_.end());
  exchanges_.erase(behind, exchanges_.end());
  server_->open_exchanges_ -= withdrawn.size();
  Withdraw(std::move(withdrawn));
}

void ServerConnection::Withdraw(std::vector<ExchangePtr> exchanges) {
  for (const ExchangePtr& exchange : exchanges) exchange->on_sent_ = nullptr;
  std::erase_if(exchanges, [](const ExchangePtr& exchange) { return exchange->finished_; });
  for (const ExchangePtr& exchange : exchanges) {
    exchange->finished_ = true;
    exchange->withdrawn_ = true;
  }
  for (const ExchangePtr& exchange : exchanges) {
    if (const auto gone = std::exchange(exchange->on_client_gone_, nullptr)) gone();
  }
}

void ServerConnection::CloseGracefully() {
  lingering_ = true;
  use_since_ = server_->loop_.Now();
  EndInput();
  stream_->ShutdownWriting();
  timer_.Start(kLingerTime);
}

void ServerConnection::OnEnd(event::StreamEnd) { Close(); }

void ServerConnection::Close() {
  const auto self = shared_from_this();
  Unregister();
  reader_.Discard();
  timer_.Stop();
  stream_.reset();
  waiting_.clear();
  answers_.Clear();
  std::vector<ExchangePtr> exchanges = std::exchange(exchanges_, {});
  if (server_ != nullptr) server_->open_exchanges_ -= exchanges.size();
  Withdraw(std::move(exchanges));
  if (server_ != nullptr) server_->connections_.erase(self);
}

void ServerConnection::OnDrained() {
  earlier_answer_unsent_ = false;
  if (exchanges_.empty()) return;
  const ExchangePtr exchange = exchanges_.front();
  if (const auto on_drained = exchange->on_drained_) on_drained();
}

void ServerConnection::OnTimeout() {
  const auto self = shared_from_this();
  if (lingering_) {
    if (stream_ != nullptr && stream_->unsent_bytes() > 0) {
      timer_.Start(kLingerTime);
      return;
    }
    Close();
  } else if (reader_.in_request()) {
    refusal_ = kRequestTimeout;
    EndInput();
    Advance();
  } else if (exchanges_.empty()) {
    Close();
  }
}

}  // namespace runshelf::http
