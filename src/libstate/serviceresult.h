#pragma once

namespace coltsfoot {

/// How a backend server's work on one request ended, as its gate saw it.
enum class ServiceResult {
  Ok,    ///< A whole answer came, of whatever status but a shed one.
  Shed,  ///< The backend server refused the request for lack of capacity.
  Failed ///< The connection broke, or no answer came in time.
};

} // namespace coltsfoot
