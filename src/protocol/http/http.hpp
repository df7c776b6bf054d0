// HTTP/1.1 responses as discovery sends them: the head, then a body that is chunked, counted or runs to the
// end of the connection. Pure: bytes in, body out, wherever the bytes happen to be split.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sablespur::http {

std::string formatGet(std::string_view target, std::string_view host);

class Response {
 public:
  // Takes the next bytes and appends what they hold of the body. False: no HTTP that is understood here.
  bool feed(std::string_view bytes, std::string& body);
  int status() const { return status_; }                  // 0 before the head has come
  bool complete() const { return state_ == State::End; }  // the body is whole

 private:
  enum class State { Status, Header, Size, Chunk, ChunkEnd, Trailer, Counted, Rest, End };
  bool parseLine(std::string_view text);
  bool endHead();

  State state_ = State::Status;
  std::string line_;  // a line that has not ended yet
  int status_ = 0;
  bool chunked_ = false, hasLength_ = false;
  std::size_t bytesLeft_ = 0;  // bytes to come of this chunk or of the counted body
};

}  // namespace sablespur::http
