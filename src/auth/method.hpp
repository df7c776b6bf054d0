// The ways to log in, the one without a password included.
#pragma once

namespace sablespur::auth {

enum class Method { Trust, Cleartext, Md5, Scram };

}  // namespace sablespur::auth
