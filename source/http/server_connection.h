// One accepted connection of a Server.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "source/http/answer_sequence.h"
#include "source/http/receive_progress.h"
#include "source/http/request_reader.h"
#include "source/http/server.h"

namespace runshelf::http {

// What a connection is used for, from the least to the greatest harm of closing it.
enum class ConnectionUse {
  kClosing,  // The last answer was sent, or a refusal.
  kUnused,   // Not one complete request has arrived yet.
  kIdle,     // Between requests, where its server allows that it is closed.
  kInUse,
};

// Reads requests ahead of the answers, begins those that may overlap, and sends the answers in the
// order of the requests. Owned by the server and, while a callback runs, by that callback.
class ServerConnection : public event::StreamObserver,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server* server, std::unique_ptr<event::TcpStream> stream);
  void Start();
  // Drops the reference to the server, which is being destroyed.
  void Detach();

  // Bytes written that the operating system has not taken yet.
  size_t unsent_bytes() const { return stream_ == nullptr ? 0 : stream_->unsent_bytes(); }

  ConnectionUse use() const;
  // Since when the connection is used in this way.
  Instant use_since() const { return use_since_; }
  // Closes the connection, which is not in use or was just accepted.
  void CloseForAnother() { Close(); }
  // See ReceiveProgress; Instant::max() if no request is being received.
  Instant StalledSince(Instant now);
  // Bytes of memory of what was received and is not passed on.
  size_t charged_bytes() const { return reader_.charged_bytes(); }
  // Refuses the incomplete request and frees its memory.
  void DropStalledRequest();

  void OnData(std::string_view data) override;
  void OnEnd(event::StreamEnd end) override;
  void OnDrained() override;

 private:
  friend class ServerExchange;

  // A complete request that has not begun.
  struct WaitingRequest {
    ReadRequest read;
    Instant received;
  };

  // Called by the exchanges.
  void Write(const ServerExchange& exchange, std::string_view bytes);
  void OnAnswerComplete(ServerExchange* exchange);
  void OnAborted(const ServerExchange& exchange);
  // Ends the requests behind this one, which count as not read.
  void WithdrawBehind(const ServerExchange& exchange);
  bool WaitsForTurn(const ServerExchange& exchange) const;
  size_t UnsentBytes(const ServerExchange& exchange) const;

  bool IsOpen() const { return server_ != nullptr && stream_ != nullptr && !lingering_; }
  // Reads and begins requests until more input or an answer is needed.
  void Advance();
  // These return whether there may be more to do.
  bool BeginNext();
  bool ReadNext();
  bool MayBegin(const WaitingRequest& next) const;
  void Begin(WaitingRequest next);
  // Whether more may be read ahead of the answers in progress.
  bool HasRoom() const;
  void UpdateReading();
  // Sends "100 Continue" once all earlier answers are complete.
  void OfferContinue();
  // Discards all input from now on.
  void EndInput();
  void Refuse(int status);

  // Sends the answers whose turn it is.
  void SendAnswersInTurn();
  void BeginTurn(std::string_view held);
  // Closes the connection at an answer that was aborted.
  void BreakOff();
  void CloseGracefully();
  void Close();
  void Unregister();
  static void Withdraw(std::vector<ExchangePtr> exchanges);
  void OnTimeout();

  Server* server_;
  ServerResources* resources_;
  std::unique_ptr<event::TcpStream> stream_;
  event::Timer timer_;
  RequestReader reader_;
  ReceiveProgress progress_;
  std::vector<WaitingRequest> waiting_;
  size_t waiting_bytes_ = 0;
  std::vector<ExchangePtr> exchanges_;  // In progress or held, as in `answers_`.
  AnswerSequence answers_;
  int refusal_ = 0;  // Status to send after all answers; zero: none.
  bool reading_ = true;
  bool input_ended_ = false;
  bool advancing_ = false;
  bool earlier_answer_unsent_ = false;  // The stream buffers bytes of an answer before the first.
  Instant use_since_;                   // See use_since().
  bool used_ = false;                   // A complete request has arrived.
  bool lingering_ = false;  // After the last answer: discards input until the client closes.
};

}  // namespace runshelf::http
