// Runs third-party clients against the proxy: psql, and libpq's simple, extended, pipelined, cancel
// and login calls. Tests are skipped with a message where psql or libpq is not installed.
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "auth/scram.hpp"
#include "scenario.hpp"

#ifdef HAVE_LIBPQ
#include <libpq-fe.h>
#endif

namespace sablespur::test {
namespace {

Setting clientSettings(const std::string& clients = "") {
  Setting s;
  s.ini = true;
  s.clients = clients;
  return s;
}
// Runs `work`, a blocking client, on a thread of its own while the scenario keeps serving.
template <typename Work>
void runWhileServing(Scenario& t, Work work) {
  std::atomic<bool> finished{false};
  std::thread client([&] {
    work();
    finished = true;
  });
  t.serveUntil([&] { return finished.load(); });
  client.join();
}
struct UsersFile {
  explicit UsersFile(const std::string& text) {
    char name[] = "/tmp/sablespur-users-XXXXXX";
    close(mkstemp(name));
    path = name;
    std::ofstream(path) << text;
  }
  ~UsersFile() { unlink(path.c_str()); }
  std::string path;
};

std::string psql(Scenario& t, const std::string& arguments) {
  const std::string command =
      "PGCONNECT_TIMEOUT=10 PGSSLMODE=disable PGGSSENCMODE=disable psql -X -h 127.0.0.1 -p " +
      std::to_string(t.port()) + " -U desk -d ledger " + arguments + " 2>&1";
  std::string out;
  runWhileServing(t, [&] {
    FILE* const f = popen(command.c_str(), "r");
    char bytes[512];
    while (std::fgets(bytes, sizeof bytes, f)) out += bytes;
    pclose(f);
  });
  return out;
}
bool havePsql() { return std::system("command -v psql >/dev/null 2>&1") == 0; }

TEST(Psql, RunsQueriesAndReportsErrors) {
  if (!havePsql()) GTEST_SKIP() << "psql is not installed";
  Scenario t(clientSettings());
  t.run("s2 serves it works\n");
  EXPECT_EQ(psql(t, "-Atc \"SELECT 1 /* id=1,c=read,d=7000,cluster=3 */\""), "it works\n");
  const std::string error = psql(t, "-Atc \"SELECT fail /* id=2,c=read,d=7000,cluster=3 */\"");
  EXPECT_NE(error.find("ERROR:  column does not exist"), std::string::npos) << error;
}
TEST(Psql, LogsInByScram) {
  if (!havePsql()) GTEST_SKIP() << "psql is not installed";
  const UsersFile users("desk:" + auth::makeVerifier("pencil", "0123456789abcdef", 4096).text() + "\n");
  Scenario t(clientSettings("login = scram\nusers = " + users.path + "\n"));
  t.run("s2 serves it works\n");
  setenv("PGPASSWORD", "pencil", 1);
  EXPECT_EQ(psql(t, "-Atc \"SELECT 1 /* id=1,c=read,d=7000,cluster=3 */\""), "it works\n");
  setenv("PGPASSWORD", "pencils", 1);
  const std::string error = psql(t, "-Atc \"SELECT 1\"");
  EXPECT_NE(error.find("password authentication failed for user \"desk\""), std::string::npos) << error;
  unsetenv("PGPASSWORD");
}

#ifdef HAVE_LIBPQ
std::string connectionInfo(const Scenario& t, const std::string& more = "") {
  return "host=127.0.0.1 sslmode=disable gssencmode=disable user=desk dbname=ledger port=" +
         std::to_string(t.port()) + " " + more;
}
struct Connection {
  explicit Connection(const std::string& info) : c(PQconnectdb(info.c_str())) {}
  ~Connection() { PQfinish(c); }
  PGconn* const c;
};
std::string valueOrError(PGresult* r) {
  const std::string v = PQresultStatus(r) == PGRES_TUPLES_OK && PQntuples(r) == 1 ? PQgetvalue(r, 0, 0)
                                                                                  : PQresultErrorMessage(r);
  PQclear(r);
  return v;
}

TEST(Libpq, RunsSimpleParameterizedAndPreparedQueries) {
  Scenario t(clientSettings());
  t.run("s2 serves v\n");
  runWhileServing(t, [&] {
    const Connection p(connectionInfo(t));
    ASSERT_EQ(PQstatus(p.c), CONNECTION_OK) << PQerrorMessage(p.c);
    EXPECT_EQ(valueOrError(PQexec(p.c, "SELECT 1 /* id=1,c=read,d=7000,cluster=3 */")), "v");
    const char* const values[] = {"it's", "run-2"};
    EXPECT_EQ(valueOrError(PQexecParams(p.c, "SELECT $1 /* id=$2,c=read,d=7000,cluster=3 */", 2, nullptr,
                                        values, nullptr, nullptr, 0)),
              "v");
    PQclear(PQprepare(p.c, "s", "SELECT $1 /* id=$2,c=read,d=7000,cluster=3 */", 2, nullptr));
    for (const char* id : {"run-3", "run-4"}) {
      const char* const again[] = {"x", id};
      EXPECT_EQ(valueOrError(PQexecPrepared(p.c, "s", 2, again, nullptr, nullptr, 0)), "v");
    }
    PGresult* const r = PQexecParams(p.c, "SELECT fail /* id=5,c=read,d=7000,cluster=3 */", 0, nullptr,
                                     nullptr, nullptr, nullptr, 0);
    EXPECT_STREQ(PQresultErrorField(r, PG_DIAG_SQLSTATE), "42703");
    PQclear(r);
  });
}
TEST(Libpq, Pipelines) {
  Scenario t(clientSettings());
  t.run("s2 serves v\n");
  runWhileServing(t, [&] {
    const Connection p(connectionInfo(t));
    ASSERT_EQ(PQenterPipelineMode(p.c), 1);
    for (int k = 0; k < 20; ++k) {
      const std::string id = "run-" + std::to_string(k);
      const char* const values[] = {id.c_str()};
      const char* const text = k == 7 ? "SELECT fail /* id=$1,c=read,d=7000,cluster=3 */"
                                      : "SELECT 1 /* id=$1,c=read,d=7000,cluster=3 */";
      ASSERT_EQ(PQsendQueryParams(p.c, text, 1, nullptr, values, nullptr, nullptr, 0), 1);
      if (k % 5 == 4) PQpipelineSync(p.c);
    }
    int good = 0, bad = 0, aborted = 0, synced = 0;
    while (synced < 4) {
      PGresult* const r = PQgetResult(p.c);
      if (!r) continue;
      switch (PQresultStatus(r)) {
        case PGRES_TUPLES_OK:
          ++good;
          break;
        case PGRES_PIPELINE_SYNC:
          ++synced;
          break;
        case PGRES_PIPELINE_ABORTED:
          ++aborted;
          break;
        default:
          ++bad;
      }
      PQclear(r);
      if (PQstatus(p.c) != CONNECTION_OK) break;
    }
    // In the second batch of five, the third query fails and the two after it are aborted.
    EXPECT_EQ(good, 17);
    EXPECT_EQ(bad, 1);
    EXPECT_EQ(aborted, 2);
  });
}
TEST(Libpq, CancelsARunningQuery) {
  Scenario t(clientSettings());
  t.run("s1 serves v\ns2 serves v\n");
  runWhileServing(t, [&] {
    const Connection p(connectionInfo(t));
    ASSERT_EQ(PQsendQuery(p.c, "SELECT hang /* id=1,c=read,d=7000,cluster=3 */"), 1);
    PQflush(p.c);
    // Gives the query time to reach the server; the result does not depend on it.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    PGcancel* const cancel = PQgetCancel(p.c);
    char error[256];
    EXPECT_EQ(PQcancel(cancel, error, sizeof error), 1) << error;
    PQfreeCancel(cancel);
    PGresult* const r = PQgetResult(p.c);
    EXPECT_STREQ(PQresultErrorField(r, PG_DIAG_SQLSTATE), "57014");
    PQclear(r);
    while (PGresult* const rest = PQgetResult(p.c)) PQclear(rest);
    EXPECT_EQ(valueOrError(PQexec(p.c, "SELECT 1 /* id=2,c=read,d=7000,cluster=3 */")), "v");
  });
}
TEST(Libpq, LogsInByEachMethod) {
  const UsersFile users("desk:" + auth::makeVerifier("pencil", "0123456789abcdef", 4096).text() +
                        "\ndesk:" + auth::md5Stored("desk", "pencil") + "\n");
  for (const std::string method : {"scram", "md5", "cleartext"}) {
    SCOPED_TRACE(method);
    Scenario t(clientSettings("login = " + method + "\nusers = " + users.path + "\n"));
    t.run("s2 serves v\n");
    runWhileServing(t, [&] {
      const Connection p(connectionInfo(t, "password=pencil"));
      ASSERT_EQ(PQstatus(p.c), CONNECTION_OK) << PQerrorMessage(p.c);
      EXPECT_EQ(valueOrError(PQexec(p.c, "SELECT 1 /* id=1,c=read,d=7000,cluster=3 */")), "v");
      const Connection wrong(connectionInfo(t, "password=pencils"));
      EXPECT_EQ(PQstatus(wrong.c), CONNECTION_BAD);
    });
  }
}
#else
TEST(Libpq, IsNotInstalled) { GTEST_SKIP() << "libpq is not installed"; }
#endif

}  // namespace
}  // namespace sablespur::test
