// Logins by password on both sides, and cancels that reach a data server; scenario.hpp tells the language.
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "auth/login.hpp"
#include "auth/users.hpp"
#include "config/config.hpp"
#include "scenario.hpp"

namespace sablespur::test {
namespace {

// A file of secrets that lives as long as the test.
class Secret {
 public:
  explicit Secret(const std::string& text, mode_t mode = 0600) {
    char path[] = "/tmp/sablespur-secret-XXXXXX";
    close(mkstemp(path));
    path_ = path;
    write(text);
    chmod(path, mode);
  }
  ~Secret() { unlink(path_.c_str()); }
  Secret(const Secret&) = delete;
  void write(const std::string& text) const { std::ofstream(path_) << text; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string line(const std::string& user, const std::string& password, bool md5 = false) {
  return user + ":" +
         (md5 ? auth::md5Stored(user, password)
              : auth::makeVerifier(password, "0123456789abcdef", 4096).text()) +
         "\n";
}
Setting ini(const std::string& dataServers, const std::string& clients) {
  Setting s;
  s.ini = true;
  s.dataServers = dataServers;
  s.clients = clients;
  return s;
}
constexpr const char* kServes = R"(
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    o1 gets row v
)";

// ---- clients ------------------------------------------------------------------------------------------
TEST(Logins, EachVersionLogsInByWhatItKnows) {
  const Secret users(line("desk", "pencil") + line("desk", "pencil", true) + line("till", "pencil"));
  Scenario t(ini("", "login = scram, md5, cleartext\nusers = " + users.path() + "\n"));
  t.run(std::string("o1 speaks 2.0 user=desk password=pencil") + kServes + R"(
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
TEST(Logins, NobodyAsksBeforeHeIsLetIn) {
  const Secret users(line("desk", "pencil"));
  Scenario t(ini("", "login = scram\nusers = " + users.path() + "\n"));
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
TEST(Logins, SighupTakesNewUsersAndAFileThatIsBadChangesNothing) {
  const Secret users(line("desk", "pencil"));
  Scenario t(ini("", "login = scram\nusers = " + users.path() + "\n"));
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
  users.write(line("desk", "chalk"));
  t.run(R"(
    proxy reload same
    proxy expect log event=config_reloaded
    o3 speaks 3.0 user=desk password=chalk
    o3 gets in
    o4 speaks 3.0 user=desk password=pencil
    o4 gets error 28P01
  )");
}
TEST(Logins, ASecretIsInNoLogAndNoFault) {
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
// What an unknown user sees is what a known one with another password sees.
TEST(Logins, AnUnknownUserLooksLikeAKnownOne) {
  std::vector<auth::Users::Fault> faults;
  const auth::Users users = auth::Users::parse(line("desk", "pencil"), faults);
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
TEST(Logins, SettingsThatCannotBeAreFaults) {
  const auto fault = [](const std::string& dataServers, const std::string& clients) {
    try {
      parseSettings(settingsFile(ini(dataServers, clients), 1, {2}), "x.ini");
      return std::string("none");
    } catch (const BadSettings& e) {
      return std::string(e.what());
    }
  };
  const auto has = [](const std::string& said, const std::string& part) {
    EXPECT_NE(said.find(part), std::string::npos) << said;
  };
  const Secret open("inner\n", 0644), users("desk:x\n");
  EXPECT_EQ(fault("", ""), "none");
  has(fault("", "login = scram\n"), "[clients] users: logins with a password need it");
  has(fault("", "login = scram\nusers = /nowhere\n"),
      "[clients] users: '/nowhere' cannot be read or is empty");
  has(fault("", "login = scram\nusers = " + open.path() + "\n"), "may be read by others; chmod 600 it");
  has(fault("", "login = scram\nusers = " + users.path() + "\n"), ":1: the secret of 'desk' is neither");
  has(fault("", "login = trust, md5\n"), "[clients] login: trust stands beside");
  has(fault("", "login = kerberos\n"), "[clients] login: 'kerberos' names what is no way to log in");
  has(fault("login = trust\n", ""), "[data_servers] login: trust needs no word");
  has(fault("password_file = " + open.path() + "\n", ""), "[data_servers] password_file: ");
}

// ---- data servers -------------------------------------------------------------------------------------
TEST(Logins, TheProxyLogsInWhereTheDeskCouldNot) {
  const Secret password("inner\n");
  for (const std::string asks : {"trust", "cleartext", "md5", "scram"}) {
    SCOPED_TRACE(asks);
    Scenario t(ini("login = scram, md5, cleartext\npassword_file = " + password.path() + "\n", ""));
    t.run("s2 asks " + asks + R"(
      s2 close idle
      s2 wait idle 2
      s2 close idle
      s2 wait idle 2
      o1 speaks 2.0)" +
          kServes);
  }
}
// None of these is believed: the request goes to the other server instead.
TEST(Logins, AServerThatCheatsIsNotBelieved) {
  const Secret password("inner\n");
  for (const auto& [asks, why] :
       {std::pair<std::string, std::string>{"signature", "the server's signature is wrong"},
        {"nonce", "a nonce that is not ours"},
        {"iterations", "an iteration count out of range"},
        {"skip", "it lets us in without having proved itself"},
        {"kerberos", "it wants a login that is not spoken here: 7"},
        {"cleartext", "it wants the password in cleartext"}}) {
    SCOPED_TRACE(asks);
    Scenario t(ini("password_file = " + password.path() + "\n", ""));
    t.run("s2 asks " + asks + R"(
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
  const Secret password("outer\n");
  Scenario t(ini("password_file = " + password.path() + "\n", ""));
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
  Scenario none(ini("", ""));
  none.run(R"(
    s2 asks md5
    s2 close idle
    proxy expect log it wants a password, and there is none in the settings
  )");
}

// ---- cancels that reach the server --------------------------------------------------------------------
Setting cancelling(const std::string& more = "") { return ini("give_up = cancel\n" + more, ""); }

TEST(Cancels, ReachTheServerAndTheConnectionIsUsedAgain) {
  Scenario t(cancelling("give_up_wait = 5s\n"));
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
// The answer was on its way: it is thrown away, and whoever asks next gets its own.
TEST(Cancels, ThatCrossTheAnswerLeaveOneAnswer) {
  Scenario t(cancelling("give_up_wait = 5s\n"));
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
// The answer is there, but the server is not done with the CancelRequest: it could still strike what runs
// next.
TEST(Cancels, AConnectionIsNotUsedWhileItsCancelIsOnTheWay) {
  Scenario t(cancelling("give_up_wait = 9s\n"));
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
TEST(Cancels, AServerThatIgnoresThemLosesTheConnection) {
  Scenario t(cancelling("give_up_wait = 100ms\n"));
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
// A time-out is told in the server's terms as well.
TEST(Cancels, ATimeOutReachesTheServer) {
  Scenario t(cancelling("give_up_wait = 5s\n"));
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
TEST(Cancels, AClientThatLeavesIsOne) {
  Scenario t(cancelling("give_up_wait = 5s\n"));
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
