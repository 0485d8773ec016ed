#include "fakenode.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <mutex>
#include <thread>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

std::string FakeRequest::header(std::string_view Name) const {
  for (const HttpField &Field : Fields_)
    if (beast::iequals(Field.Name_, {Name.data(), Name.size()}))
      return Field.Value_;
  return {};
}

class FakeNode::Impl {
public:
  explicit Impl(Handler OnRequest) : Handler_(std::move(OnRequest)) {
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~Impl() {
    Io_.stop();
    Thread_.join();
  }

  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (!Error)
        serve(Socket);
      accept();
    });
  }

  void serve(tcp::socket &Socket) {
    beast::flat_buffer Buffer;
    http::request<http::string_body> Message;
    error_code Error;
    http::read(Socket, Buffer, Message, Error);
    if (Error)
      return;
    FakeRequest Request{std::string(Message.method_string()),
                        std::string(Message.target()),
                        {},
                        Message.body()};
    for (const auto &Field : Message)
      Request.Fields_.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    {
      std::lock_guard Guard(Mutex_);
      Requests_.push_back(Request);
    }
    FakeReply Reply = Handler_(Request);
    if (!Reply.CloseWithoutReply_)
      write(Socket, Reply);
  }

  static void write(tcp::socket &Socket, const FakeReply &Reply) {
    std::string Text = "HTTP/1.1 " + std::to_string(Reply.Status_) + " X\r\n";
    if (!Reply.ResetAfterBody_)
      Text += "Content-Length: " + std::to_string(Reply.Body_.size()) + "\r\n";
    Text += "Connection: close\r\n\r\n" + Reply.Body_;
    error_code Ignored;
    asio::write(Socket, asio::buffer(Text), Ignored);
    if (Reply.ResetAfterBody_)
      Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  }

  Handler Handler_;
  asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_,
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::string Address_ =
      "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  mutable std::mutex Mutex_;
  std::vector<FakeRequest> Requests_;
  std::thread Thread_;
};

FakeNode::FakeNode(Handler OnRequest)
    : Impl_(std::make_unique<Impl>(std::move(OnRequest))) {}

FakeNode::~FakeNode() = default;

std::string FakeNode::address() const { return Impl_->Address_; }

std::vector<FakeRequest> FakeNode::requests() const {
  std::lock_guard Guard(Impl_->Mutex_);
  return Impl_->Requests_;
}

} // namespace coltsfoot
