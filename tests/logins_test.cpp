// Password logins of clients and to data servers, and cancels that reach a data server.
// scenario.hpp documents the scenario language.
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "auth/login.hpp"
#include "auth/users.hpp"
#include "config/config.hpp"
#include "scenario.hpp"

namespace sablespur::test {
namespace {

// A temporary file of passwords or verifiers, removed by the destructor.
class SecretFile {
 public:
  explicit SecretFile(const std::string& text, mode_t mode = 0600) {
    char path[] = "/tmp/sablespur-secret-XXXXXX";
    close(mkstemp(path));
    path_ = path;
    write(text);
    chmod(path, mode);
  }
  ~SecretFile() { unlink(path_.c_str()); }
  SecretFile(const SecretFile&) = delete;
  void write(const std::string& text) const { std::ofstream(path_) << text; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string userLine(const std::string& user, const std::string& password, bool md5 = false) {
  return user + ":" +
         (md5 ? auth::md5Stored(user, password)
              : auth::makeVerifier(password, "0123456789abcdef", 4096).text()) +
         "\n";
}
Setting iniSetting(const std::string& dataServers, const std::string& clients) {
  Setting s;
  s.ini = true;
  s.dataServers = dataServers;
  s.clients = clients;
  return s;
}
constexpr const char* kServedReadSteps = R"(
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    o1 gets row v
)";

// ---- clients ------------------------------------------------------------------------------------------
TEST(Logins, EachProtocolVersionUsesAMethodItSupports) {
  const SecretFile users(userLine("desk", "pencil") + userLine("desk", "pencil", true) +
                         userLine("till", "pencil"));
  Scenario t(iniSetting("", "login = scram, md5, cleartext\nusers = " + users.path() + "\n"));
  t.run(std::string("o1 speaks 2.0 user=desk password=pencil") + kServedReadSteps + R"(
    o2 speaks 3.0 user=desk password=pencil
    o2 gets seen RRRRSSSSSSKZ
    o3 speaks 3.2 user=till password=pencil
    o3 gets seen RRRRSSSSSSKZ
    o4 speaks 2.0 user=till password=pencil
    o4 gets seen RRKZ
    o5 speaks 3.0 user=desk password=pencils
    o5 gets error 28P01 password authentication failed for user "desk"
    o5 gets closed
    o6 speaks 2.0 user=desk password=pencils
    o6 gets error FATAL:  password authentication failed for user "desk"
    o6 gets closed
    o7 speaks 3.0 user=nobody password=pencil
    o7 gets seen RRE
    o7 gets closed
    o8 speaks 2.0 user=till password=pencils
    o8 gets error password authentication failed
  )");
}
TEST(Logins, NoQueryIsAcceptedBeforeAuthentication) {
  const SecretFile users(userLine("desk", "pencil"));
  Scenario t(iniSetting("", "login = scram\nusers = " + users.path() + "\n"));
  t.run(R"(
    o1 speaks 2.0 user=desk password=pencil
    o1 gets error no way to log in that this client and this user have in common
    o1 gets closed
    c2 send bytes 0 0 0 13 0 3 0 0 75 73 65 72 0 64 65 73 6b 0 0
    c2 send bytes 51 0 0 0 6 3b 0
    c2 expect error 08P01
    c2 expect closed
  )");
}
TEST(Logins, SighupReloadsUsersAndKeepsThemIfTheFileIsInvalid) {
  const SecretFile users(userLine("desk", "pencil"));
  Scenario t(iniSetting("", "login = scram\nusers = " + users.path() + "\n"));
  t.run(R"(
    o1 speaks 3.0 user=desk password=pencil
    o1 gets in
  )");
  users.write("desk:no secret\n");
  t.run(R"(
    proxy reload same
    proxy expect log event=config_rejected
    o2 speaks 3.0 user=desk password=pencil
    o2 gets in
  )");
  users.write(userLine("desk", "chalk"));
  t.run(R"(
    proxy reload same
    proxy expect log event=config_reloaded
    o3 speaks 3.0 user=desk password=chalk
    o3 gets in
    o4 speaks 3.0 user=desk password=pencil
    o4 gets error 28P01
  )");
}
TEST(Logins, SecretsAppearInNoErrorMessage) {
  std::vector<auth::Users::Fault> faults;
  auth::Users::parse("desk:md5geheim\n\n#x\n:y\ndesk:" + auth::md5Stored("desk", "a") +
                         "\ndesk:" + auth::md5Stored("desk", "b"),
                     faults);
  ASSERT_EQ(faults.size(), 3u);
  EXPECT_EQ(faults[0].line, 1);
  EXPECT_EQ(faults[1].line, 4);
  EXPECT_EQ(faults[2].problem, "'desk' has such a secret already");
  for (const auto& f : faults) EXPECT_EQ(f.problem.find("geheim"), std::string::npos);
}
// An unknown user sees the same exchange as a known user with a wrong password, so that user names
// cannot be probed.
TEST(Logins, AnUnknownUserIsIndistinguishableFromAKnownOne) {
  std::vector<auth::Users::Fault> faults;
  const auth::Users users = auth::Users::parse(userLine("desk", "pencil"), faults);
  const std::string secret(32, 's');
  const auto first = [&](const std::string& name) {
    auth::ServerAuthenticator h(users, name, {auth::Method::Scram}, true, secret, "nonce", "salt");
    EXPECT_EQ(h.method(), auth::Method::Scram);
    EXPECT_EQ(h.receive("n,,n=,r=clientnonce"), auth::AuthenticationStep::Continue);
    return h.response();
  };
  EXPECT_EQ(first("nobody").size(), first("desk").size());
  EXPECT_EQ(first("nobody"), first("nobody"));
  EXPECT_NE(first("nobody"), first("noone"));
}

// ---- settings -----------------------------------------------------------------------------------------
TEST(Logins, InvalidSettingsAreReported) {
  const auto fault = [](const std::string& dataServers, const std::string& clients) {
    try {
      parseSettings(settingsFile(iniSetting(dataServers, clients), 1, {2}), "x.ini");
      return std::string("none");
    } catch (const BadSettings& e) {
      return std::string(e.what());
    }
  };
  const auto expectContains = [](const std::string& text, const std::string& part) {
    EXPECT_NE(text.find(part), std::string::npos) << text;
  };
  const SecretFile open("inner\n", 0644), users("desk:x\n");
  EXPECT_EQ(fault("", ""), "none");
  expectContains(fault("", "login = scram\n"), "[clients] users: logins with a password need it");
  expectContains(fault("", "login = scram\nusers = /nowhere\n"),
                 "[clients] users: '/nowhere' cannot be read or is empty");
  expectContains(fault("", "login = scram\nusers = " + open.path() + "\n"),
                 "may be read by others; chmod 600 it");
  expectContains(fault("", "login = scram\nusers = " + users.path() + "\n"),
                 ":1: the secret of 'desk' is neither");
  expectContains(fault("", "login = trust, md5\n"), "[clients] login: trust stands beside");
  expectContains(fault("", "login = kerberos\n"),
                 "[clients] login: 'kerberos' names what is no way to log in");
  expectContains(fault("login = trust\n", ""), "[data_servers] login: trust needs no word");
  expectContains(fault("password_file = " + open.path() + "\n", ""), "[data_servers] password_file: ");
}

// ---- data servers -------------------------------------------------------------------------------------
TEST(Logins, TheProxyLogsInByMethodsThatTheClientLacks) {
  const SecretFile password("inner\n");
  for (const std::string method : {"trust", "cleartext", "md5", "scram"}) {
    SCOPED_TRACE(method);
    Scenario t(iniSetting("login = scram, md5, cleartext\npassword_file = " + password.path() + "\n", ""));
    t.run("s2 asks " + method + R"(
      s2 close idle
      s2 wait idle 2
      s2 close idle
      s2 wait idle 2
      o1 speaks 2.0)" +
          kServedReadSteps);
  }
}
// The proxy rejects each of these logins and sends the request to the other server.
TEST(Logins, AServerWithAnUnacceptableLoginIsNotUsed) {
  const SecretFile password("inner\n");
  for (const auto& [method, why] :
       {std::pair<std::string, std::string>{"signature", "the server's signature is wrong"},
        {"nonce", "a nonce that is not ours"},
        {"iterations", "an iteration count out of range"},
        {"skip", "it lets us in without having proved itself"},
        {"kerberos", "it wants a login that is not spoken here: 7"},
        {"cleartext", "it wants the password in cleartext"}}) {
    SCOPED_TRACE(method);
    Scenario t(iniSetting("password_file = " + password.path() + "\n", ""));
    t.run("s2 asks " + method + R"(
      s2 close idle
      proxy expect log )" +
          why + R"(
      o1 speaks 3.0
      o1 gets in
      o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s1 expect query id=1
      s1 send row v
      o1 gets row v
    )");
  }
}
TEST(Logins, AWrongOrMissingPasswordIsLogged) {
  const SecretFile password("outer\n");
  Scenario t(iniSetting("password_file = " + password.path() + "\n", ""));
  t.run(R"(
    s2 asks scram
    s2 close idle
    s2 wait idle 0
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    o1 gets row v
  )");
  Scenario none(iniSetting("", ""));
  none.run(R"(
    s2 asks md5
    s2 close idle
    proxy expect log it wants a password, and there is none in the settings
  )");
}

// ---- cancels at the data server -----------------------------------------------------------------------
Setting cancelSetting(const std::string& more = "") { return iniSetting("give_up = cancel\n" + more, ""); }

TEST(Cancels, ReachTheServerAndTheConnectionIsReused) {
  Scenario t(cancelSetting("give_up_wait = 5s\n"));
  t.run(R"(
    o1 speaks 2.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    o1 cancels
    o1 gets error canceling statement due to user request
    s2 expect cancel
    s2 send error 57014
    o1 asks SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect kept id=2
    s2 send row v
    o1 gets row v
  )");
}
// The server's answer crosses the cancel: it is discarded, and the next request on the connection
// gets its own answer.
TEST(Cancels, ThatCrossTheAnswerProduceOneFinalAnswer) {
  Scenario t(cancelSetting("give_up_wait = 5s\n"));
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    o1 cancels
    s2 send row late
    o1 gets error 57014
    s2 expect cancel
    o1 asks SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row v
    o1 gets row v
  )");
}
// The answer has arrived, but the server is still processing the CancelRequest, which could cancel
// the next query on the same connection.
TEST(Cancels, AConnectionIsNotReusedWhileItsCancelIsPending) {
  Scenario t(cancelSetting("give_up_wait = 9s\n"));
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    s2 holds cancels
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    o1 cancels
    o1 gets error 57014
    s2 expect cancel
    s2 send error 57014
    o1 asks SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect another id=2
    s2 send row v
    o1 gets row v
    s2 frees cancels
    o1 asks SELECT 1 /* id=3,c=read,d=7000,cluster=3 */
    s2 expect kept id=3
    s2 send row w
    o1 gets row w
  )");
}
TEST(Cancels, AConnectionIsClosedIfTheServerIgnoresTheCancel) {
  Scenario t(cancelSetting("give_up_wait = 100ms\n"));
  t.run(R"(
    o1 speaks 3.2
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=600000,cluster=3 */
    s2 expect query id=1
    o1 cancels
    o1 gets error 57014
    s2 expect cancel
    s2 expect closed
  )");
}
// The server is also sent a CancelRequest when a request times out.
TEST(Cancels, ATimeoutCancelsTheQueryAtTheServer) {
  Scenario t(cancelSetting("give_up_wait = 5s\n"));
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=300,cluster=3 */
    s2 expect query id=1
    s2 expect cancel
    s2 send error 57014
    o1 gets error 
    o1 asks SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row v
    o1 gets row v
  )");
}
TEST(Cancels, AClientDisconnectCancelsTheQueryAtTheServer) {
  Scenario t(cancelSetting("give_up_wait = 5s\n"));
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c1 close
    s2 expect cancel
    s2 send error 57014
    c2 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row v
    c2 expect row v
  )");
}

}  // namespace
}  // namespace sablespur::test
