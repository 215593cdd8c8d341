// A server for tests that answers each request with bytes that never end.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::http {

// What is sent: `begin` once, then `repeated` until the other side closes the connection.
struct EndlessAnswer {
  std::string_view name;
  std::string begin;
  std::string repeated;
};

// Answers that go on without end, one for each place of an HTTP answer. `headers`: lines of the
// head, each with its line end.
inline std::list<EndlessAnswer> EndlessAnswers(const std::string& headers) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
  const std::string text(1000, 'x');
  const std::string chunk = "3e8\r\n" + text + "\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"noise", "", std::string(1000, '\xfe')},
      {"blank lines", "", std::string(500, '\n')},
      {"reason phrase", "HTTP/1.1 200 ", text},
      {"header value", head + "Long: ", text},
      {"header lines", head, "Name: " + text + "\r\n"},
      {"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + text + "\r\n\r\n"},
      {"empty interim answers", "", "HTTP/1.1 100 \r\n\r\n"},
      {"chunk extension", chunked + "3e8;a=", text},
      {"chunks", chunked, chunk},
      {"trailer", chunked + "0\r\n", "Name: " + text + "\r\n"},
      {"body until close", head + "Connection: close\r\n\r\n", text},
      {"body of a great length", head + "Content-Length: 1000000000000\r\n\r\n", text},
      {"after a whole answer", head + "Content-Length: 0\r\n\r\n", text},
  };
}

// Runs on the test's event loop.
class EndlessSender {
 public:
  explicit EndlessSender(event::EventLoop& loop)
      : listener_(loop, [this](std::unique_ptr<event::TcpStream> stream) {
          connections_.push_back(std::make_unique<Connection>(this, std::move(stream)));
        }) {
    listener_.Listen({"127.0.0.1", 0});
  }

  event::Endpoint endpoint() const { return {"127.0.0.1", listener_.bound_port()}; }
  void set_answer(const EndlessAnswer& answer) { answer_ = answer; }
  // Bytes handed to the operating system since the last call of Reset().
  size_t sent() const { return sent_; }
  size_t requests() const { return requests_; }
  void Reset() {
    sent_ = 0;
    requests_ = 0;
  }
  // Connections that the other side has not closed.
  size_t open() const {
    size_t count = 0;
    for (const auto& connection : connections_) count += connection->open() ? 1 : 0;
    return count;
  }

 private:
  static constexpr size_t kBytesPerWrite = size_t{64} * 1024;

  class Connection : public event::StreamObserver {
   public:
    Connection(EndlessSender* sender, std::unique_ptr<event::TcpStream> stream)
        : sender_(sender), stream_(std::move(stream)) {
      stream_->set_observer(this);
      stream_->StartReading();
    }

    bool open() const { return stream_ != nullptr; }

    void OnData(std::string_view) override {
      if (answering_) return;
      answering_ = true;
      ++sender_->requests_;
      Send(sender_->answer_.begin);
      SendMore();
    }
    void OnDrained() override { SendMore(); }
    void OnEnd(event::StreamEnd) override { stream_.reset(); }

   private:
    void Send(const std::string& bytes) {
      sender_->sent_ += bytes.size();
      stream_->Write(bytes);
    }

    void SendMore() {
      const std::string& repeated = sender_->answer_.repeated;
      if (!answering_ || repeated.empty()) return;
      std::string bytes;
      while (bytes.size() < kBytesPerWrite) bytes += repeated;
      // Ends when the operating system takes no more; OnDrained() goes on.
      while (stream_ != nullptr && stream_->unsent_bytes() == 0) Send(bytes);
    }

    EndlessSender* sender_;
    std::unique_ptr<event::TcpStream> stream_;
    bool answering_ = false;
  };

  event::TcpListener listener_;
  std::list<std::unique_ptr<Connection>> connections_;
  EndlessAnswer answer_;
  size_t sent_ = 0;
  size_t requests_ = 0;
};

}  // namespace runshelf::http
