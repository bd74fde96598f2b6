// Errors by Boost.LEAF: a function that can fail returns leaf::result<T> and reports a struct or an
// enum of its own, which the outermost caller handles by type. The payload of an error is kept only
// while a handler for its type is active, so results are examined inside leaf::try_handle_all.
#ifndef CATKINFORD_REQUEST_TYPED_ERROR_H_
#define CATKINFORD_REQUEST_TYPED_ERROR_H_

#include <boost/leaf.hpp>
#include <optional>
#include <utility>

namespace catkinford {

namespace leaf = boost::leaf;

// The error of type `Error` that `function` fails with; nullopt on success.
template <typename Error, typename Function>
std::optional<Error> ErrorOf(Function&& function) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Error>> {
        auto returned = std::forward<Function>(function)();
        if (!returned) return returned.error();
        return std::optional<Error>();
      },
      [](const Error& error) { return std::optional<Error>(error); },
      [] { return std::optional<Error>(Error()); });
}

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_TYPED_ERROR_H_
