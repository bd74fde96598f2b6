// The log library's one instance in each program; part of its library, so that every program that
// logs has it.
#include <easylogging++.h>

// clang-format off: it takes the macro for a keyword.
INITIALIZE_EASYLOGGINGPP
// clang-format on
