#include "discovery/registry/call.hpp"

#include <utility>

namespace sablespur {
namespace {

constexpr int kOk = 200;

}  // namespace

RegistryCall::RegistryCall(event_base* base, Owner& owner, std::uint64_t id, int socket,
                           const Address& address, std::uint64_t after)
    : owner_(owner),
      id_(id),
      address_(address),
      after_(after),
      socket_(socket),
      connection_(bufferevent_socket_new(base, socket, 0)) {}

// Closes the descriptor immediately instead of when libevent frees the connection: the watch
// reserves the freed descriptor for the next call.
RegistryCall::~RegistryCall() {
  bufferevent_setfd(connection_.get(), -1);
  connection_.reset();
  if (socket_ >= 0) evutil_closesocket(socket_);
}

void RegistryCall::start() {
  const std::string target = "/registry/instances?watch=1&after=" + std::to_string(after_);
  append(bufferevent_get_output(connection_.get()), http::formatGet(target, address_.text()));
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  if (socket_ < 0 ||
      bufferevent_socket_connect(connection_.get(), address_.data(), static_cast<int>(address_.size())) != 0)
    return end("no connection");
  bufferevent_setcb(
      connection_.get(), [](bufferevent*, void* self) { static_cast<RegistryCall*>(self)->read(); }, nullptr,
      [](bufferevent*, short what, void* self) {
        if (what & BEV_EVENT_CONNECTED) return static_cast<RegistryCall*>(self)->connected();
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<RegistryCall*>(self)->end("connection ended");
      },
      this);
}

void RegistryCall::end(std::string why) {
  Report report;
  report.ending = std::move(why);
  owner_.reported(*this, report);
}

void RegistryCall::connected() {
  Report report;
  report.isConnected = true;
  owner_.reported(*this, report);
}

void RegistryCall::read() {
  Report report;
  feed(report);
  owner_.reported(*this, report);
}

void RegistryCall::feed(Report& report) {
  evbuffer* const in = bufferevent_get_input(connection_.get());
  const bool hadBegun = response_.status() == kOk;
  std::string body;
  evbuffer_iovec part;
  while (evbuffer_peek(in, -1, nullptr, &part, 1) > 0) {
    if (!response_.feed({static_cast<const char*>(part.iov_base), part.iov_len}, body)) {
      report.ending = "malformed response";
      return;
    }
    bytes_ += part.iov_len;
    evbuffer_drain(in, part.iov_len);
  }
  report.isAnswered = response_.status() != 0;
  if (report.isAnswered && response_.status() != kOk) {
    report.ending = "status " + std::to_string(response_.status());
    report.retryAfter = response_.retryAfter();
    return;
  }
  report.listGrew = !hadBegun && response_.status() == kOk;
  parse(body, report);
  if (!report.ending && response_.complete()) report.ending = "watch ended";
}

// Whitespace alone does not count as progress of a list.
void RegistryCall::parse(const std::string& body, Report& report) {
  const std::size_t before = stream_.significantBytes();
  const std::size_t linesBefore = stream_.emptyLines();
  std::vector<std::string> texts;
  const bool isWellFormed = stream_.feed(body, texts);
  report.listGrew = report.listGrew || stream_.significantBytes() > before;
  report.hasEmptyLine = stream_.emptyLines() > linesBefore && !stream_.isInList();
  try {
    for (const std::string& text : texts) report.lists.push_back(parseEndpointList(text));
  } catch (const BadInput& error) {
    report.ending = error.what();
  }
  lists_ += report.lists.size();
  if (!report.ending && !isWellFormed) report.ending = "malformed or overlong list";
}

}  // namespace sablespur
