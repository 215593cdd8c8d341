#include "tests/overload/crowd.h"

#include <algorithm>
#include <utility>

namespace runshelf::overload {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

class Crowd::Client : public event::StreamObserver {
 public:
  Client(event::EventLoop& loop, const event::Endpoint& server, const RudeRequest& request)
      : request_(request), stream_(event::TcpStream::Connect(loop, server, this)) {}

  bool open() const { return stream_ != nullptr; }
  bool over() const { return !open() || status_ != 0 || (sent_ && stream_->unsent_bytes() == 0); }
  int status() const { return status_; }

  void OnConnected() override {
    stream_->Write(request_.head);
    if (!request_.awaits_continue) SendMore();
  }

  void OnData(std::string_view data) override {
    received_ += data;
    if (received_.rfind(kContinue, 0) == 0) {
      received_.erase(0, kContinue.size());
      SendMore();
    }
    if (status_ == 0 && received_.size() >= 12) status_ = std::stoi(received_.substr(9, 3));
  }

  void OnDrained() override {
    if (!request_.awaits_continue || body_sent_ > 0) SendMore();
  }
  void OnEnd(event::StreamEnd) override { stream_.reset(); }

 private:
  void SendMore() {
    while (stream_ != nullptr && stream_->unsent_bytes() == 0 && !sent_) {
      const size_t count = std::min(request_.piece.size(), request_.body_bytes - body_sent_);
      body_sent_ += count;
      sent_ = body_sent_ == request_.body_bytes;
      stream_->Write(std::string_view(request_.piece).substr(0, count));
    }
  }

  const RudeRequest& request_;
  std::unique_ptr<event::TcpStream> stream_;
  std::string received_;
  size_t body_sent_ = 0;
  int status_ = 0;
  bool sent_ = false;
};

Crowd::Crowd(event::EventLoop& loop, const event::Endpoint& server, size_t clients,
             RudeRequest request)
    : request_(std::move(request)) {
  for (size_t count = 0; count < clients; ++count) {
    clients_.push_back(std::make_unique<Client>(loop, server, request_));
  }
}

Crowd::~Crowd() = default;

bool Crowd::sent() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return client->over(); });
}

size_t Crowd::open() const {
  return static_cast<size_t>(std::count_if(clients_.begin(), clients_.end(),
                                           [](const auto& client) { return client->open(); }));
}

size_t Crowd::answers(int status) const {
  return static_cast<size_t>(
      std::count_if(clients_.begin(), clients_.end(),
                    [status](const auto& client) { return client->status() == status; }));
}

}  // namespace runshelf::overload
