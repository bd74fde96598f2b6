// Errors by Boost.LEAF: a function that can fail returns leaf::result<T> and reports a struct or an
// enum of its own; whoever stands at the edge handles it by type. The error's payload is kept only
// while a handler for its type is in force, so results are looked into inside leaf::try_handle_all.
#ifndef CATKINFORD_REQUEST_TYPED_ERROR_H_
#define CATKINFORD_REQUEST_TYPED_ERROR_H_

#include <boost/leaf.hpp>
#include <optional>
#include <utility>

namespace catkinford {

namespace leaf = boost::leaf;

// The error of type `Error` that `function` ends with; nothing when it ends well.
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
