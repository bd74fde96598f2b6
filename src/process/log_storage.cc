// The single instance of the log library's storage; part of the library so that every program that
// logs has it.
#include <easylogging++.h>

// clang-format off: it parses the macro as a keyword.
INITIALIZE_EASYLOGGINGPP
// clang-format on
