// HTTP/1.1 as the registry client needs it: a GET request and an incremental parser of responses (RFC 9112).
// A body may be chunked, have a Content-Length, or run to the end of the connection. Pure: no sockets.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::http {

// A GET request with its final empty line. `target` and `host` are written as they are.
std::string formatGet(std::string_view target, std::string_view host);

// Parses one response from bytes that arrive in pieces of any size. Interim responses (1xx) are skipped.
class Response {
 public:
  // Parses the next bytes and appends the part of the body that they hold. Returns false when they are not
  // HTTP as described above, a line exceeds 8 KiB, or bytes follow the end of the body; the connection is
  // then of no further use.
  bool feed(std::string_view bytes, std::string& body);
  int status() const { return status_; }  // 0 until the status line was parsed
  // After how long the peer wants to be called again; only as a number of seconds.
  std::optional<std::chrono::seconds> retryAfter() const { return retryAfter_; }
  bool complete() const { return state_ == State::Complete; }  // the whole body was parsed

 private:
  enum class State {
    StatusLine,
    HeaderLine,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailer,
    SizedBody,       // as long as Content-Length says
    BodyUntilClose,  // neither chunked nor sized: it ends with the connection
    Complete
  };
  // Each returns false where the line is malformed. A line comes without its end.
  bool parseLine(std::string_view line);
  bool parseStatusLine(std::string_view line);
  bool parseHeaderLine(std::string_view line);
  bool parseChunkSize(std::string_view line);
  void endHeaders();

  bool inBody() const;
  std::size_t takeBody(std::string_view bytes, std::string& body);  // returns how many bytes belong to it

  State state_ = State::StatusLine;
  std::string line_;  // the part of the current line that has arrived
  int status_ = 0;
  std::optional<std::chrono::seconds> retryAfter_;
  bool chunked_ = false;
  bool hasLength_ = false;     // there is a Content-Length
  std::size_t bytesLeft_ = 0;  // of this chunk, or of a body with a Content-Length
};

}  // namespace sablespur::http
