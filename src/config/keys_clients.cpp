// The keys of [clients].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kClientsKeys[] = {
    {"clients", "come_again", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.retryAfterAllowed = as<bool>(v); },
     "Whether rejections state when to retry (field D, in ms)."},
    {"clients", "come_again_most", KeyKind::Duration, "1s", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.maxRetryAfter = duration(v); },
     "The longest retry delay that clients observe."},
    {"clients", "session_positions", KeyKind::Choice, "carried", kUnbounded, "carried remembered",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.sessionTokensCarried = text(v) == "carried";
     },
     "`carried`: session reads state the position that they have to see (`after=`); `remembered`: the proxy "
     "remembers which position it served to each session."},
    {"clients", "login", KeyKind::Words, "trust", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.logins = loginMethods(v); },
     "Login methods of clients, in order of preference: `scram`, `md5`, `cleartext`. The first one that both "
     "the client's protocol version and the user's line in the file support is used. Or `trust`: no "
     "password."},
    {"clients", "users", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.files.users = text(v); },
     "The file of users, with one line `NAME:SECRET` for each; `sablespur password NAME` generates a line. "
     "SIGHUP reloads the file."},
    {"clients", "extended_queries", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.extended = as<bool>(v); },
     "Whether Parse, Bind, Execute and the other messages of the extended query protocol are accepted. Each "
     "execution is forwarded as one simple query."},
    {"clients", "version_2", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.version2 = as<bool>(v); },
     "Whether clients with protocol 2.0 are accepted. They receive no SQLSTATE and nothing else that 2.0 "
     "cannot represent."},
    {"clients", "statement_errors", KeyKind::Choice, "told", kUnbounded, "told hidden",
     [](SettingsDraft& d, const KeyValue& v) { d.config.forwardStatementErrors = text(v) == "told"; },
     "What a client receives when a data server rejects its statement as invalid (classes 22 and 42): "
     "`told`: that error, in the client's protocol version; `hidden`: 40003."},
    {"clients", "first_query", KeyKind::Duration, "2s", Bounds{10 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.firstQueryTimeout = duration(v); },
     "Time limit for the login and the first query together. A client that exceeds it is disconnected."},
    {"clients", "half_message", KeyKind::Duration, "1500ms", Bounds{10 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.partialMessageTimeout = duration(v); },
     "Time limit for the rest of a message that has begun to arrive. A client that exceeds it is "
     "disconnected."},
    {"clients", "unread_answer", KeyKind::Duration, "10s", Bounds{100 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.unreadAnswerTimeout = duration(v); },
     "A client that has read nothing of its answer for this long is disconnected."},
};

}  // namespace

KeyRange clientsKeys() { return KeyRange(kClientsKeys); }

}  // namespace sablespur::key_tables
