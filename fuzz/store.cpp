// Reads logs and records of the store, as they may be found on disk after corruption.
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "durability/inspect.hpp"
#include "durability/record.hpp"
#include "fuzz/target.hpp"

using namespace sablespur::durability;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const LogKind kind : {LogKind::Batches, LogKind::Manifest}) {
    const LogInspection i = inspectLog(text, kind);
    if (i.wholeBytes > size || (i.laterRecordAt && (!i.incompleteTail || *i.laterRecordAt <= i.wholeBytes ||
                                                    *i.laterRecordAt >= size)))
      std::abort();
    // After the incomplete tail is truncated, the log must be complete and hold the same records.
    const LogInspection truncated = inspectLog(text.substr(0, i.wholeBytes), kind);
    if (truncated.incompleteTail || truncated.records != i.records || truncated.commit != i.commit)
      std::abort();
  }
  try {
    const KeyRecord r = decodeKey(text);
    if (encode(decodeKey(encode(r))) != encode(r)) std::abort();
    toJson(r);
  } catch (const std::runtime_error&) {
  }
  for (const auto decode :
       {+[](std::string_view s) { decodeSession(s); }, +[](std::string_view s) { decodeEpoch(s); },
        +[](std::string_view s) { decodeClock(s); }, +[](std::string_view s) { decodeTotals(s); }})
    try {
      decode(text);
    } catch (const std::runtime_error&) {
    }
  return 0;
}
