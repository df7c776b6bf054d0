#include "backend/postgres/server_error.hpp"

#include <string_view>

namespace sablespur {
namespace {

constexpr std::string_view kQueryCancelled = "57014";
constexpr std::string_view kTooManyConnections = "53300";
constexpr std::string_view kReadOnlyTransaction = "25006";
constexpr std::string_view kSnapshotTooOld = "72000";
constexpr std::string_view kFeatureNotSupported = "0A000";
constexpr std::string_view kInternalError = "XX000";
constexpr std::string_view kProtocolViolation = "08P01";
constexpr std::string_view kSyntaxErrorClass = "42";
constexpr std::string_view kDataExceptionClass = "22";

AttemptResult resultOf(std::string_view code, ConnectionPhase phase) {
  if (code == kTooManyConnections) return AttemptResult::Rejected;
  if (phase == ConnectionPhase::Startup) return AttemptResult::ConnectFailed;
  if (code == kReadOnlyTransaction || code == kSnapshotTooOld) return AttemptResult::TooStale;
  return AttemptResult::Error;
}

}  // namespace

ServerError classifyServerError(const postgres::ErrorFields& error, ConnectionPhase phase) {
  const std::string_view errorClass = error.code.substr(0, 2);
  ServerError classified;
  classified.result = resultOf(error.code, phase);
  classified.invalidStatement = errorClass == kSyntaxErrorClass || errorClass == kDataExceptionClass ||
                                error.code == kProtocolViolation;
  classified.cancelled = error.code == kQueryCancelled;
  classified.fatal = error.severity == "FATAL";
  return classified;
}

bool rejectsProtocolVersion(const postgres::ErrorFields& error) { return error.code == kFeatureNotSupported; }

bool isInternalError(const postgres::ErrorFields& error) { return error.code == kInternalError; }

}  // namespace sablespur
