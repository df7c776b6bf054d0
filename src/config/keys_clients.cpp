// The keys of [clients].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kClientsKeys[] = {
    {"clients", "come_again", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.retryAfterAllowed = as<bool>(v); },
     "Whether refusals tell when to come back (field D, in ms)."},
    {"clients", "come_again_most", KeyKind::Duration, "1s", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.maxRetryAfter = duration(v); },
     "The longest wait that clients keep to."},
    {"clients", "session_positions", KeyKind::Choice, "carried", kUnbounded, "carried remembered",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.sessionTokensCarried = text(v) == "carried";
     },
     "Whether session reads bring the position that they have to see (`after=`), or the proxy remembers what "
     "it served each session."},
    {"clients", "login", KeyKind::Words, "trust", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.logins = loginMethods(v); },
     "How clients log in, the best way first: `scram`, `md5`, `cleartext`; the first that the client's "
     "version and the user's line in the file have. Or `trust`, without a password."},
    {"clients", "users", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.files.users = text(v); },
     "The file of users, a line `NAME:SECRET` each; `sablespur password NAME` makes one. SIGHUP reads it "
     "again."},
    {"clients", "extended_queries", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.extended = as<bool>(v); },
     "Whether Parse, Bind, Execute and the like are taken. Each execution goes on as one simple query."},
    {"clients", "version_2", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.version2 = as<bool>(v); },
     "Whether clients that speak protocol 2.0 are taken. They can't be told a SQLSTATE, nor what else 2.0 "
     "has no place for."},
    {"clients", "statement_errors", KeyKind::Choice, "told", kUnbounded, "told hidden",
     [](SettingsDraft& d, const KeyValue& v) { d.config.tellStatementErrors = text(v) == "told"; },
     "A statement that a data server turns away for what it says (classes 22 and 42): its error is passed on "
     "in the client's form, or the client gets 40003."},
    {"clients", "first_query", KeyKind::Duration, "2s", Bounds{10 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.firstQuery = duration(v); },
     "A client that has asked nothing by then is closed; its login is part of it."},
    {"clients", "half_message", KeyKind::Duration, "1500ms", Bounds{10 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.halfMessage = duration(v); },
     "A client that has begun a message and not sent the rest of it by then is closed."},
    {"clients", "unread_answer", KeyKind::Duration, "10s", Bounds{100 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.unreadAnswer = duration(v); },
     "A client that has taken nothing of its answer for so long is closed."},
};

}  // namespace

KeyRange clientsKeys() { return KeyRange(kClientsKeys); }

}  // namespace sablespur::key_tables
