// Authentication methods; Trust requires no password.
#pragma once

namespace sablespur::auth {

enum class Method { Trust, Cleartext, Md5, Scram };

}  // namespace sablespur::auth
