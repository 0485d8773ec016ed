#pragma once

namespace coltsfoot {

/// How a backend server's work on one request ended, as seen by its gate.
enum class ServiceResult {
  Ok,    ///< A complete answer that is neither Shed nor Failed.
  Shed,  ///< The backend server refused the request for lack of capacity.
  Failed ///< No complete answer came, or the call dialect reads it as a
         ///< failure.
};

} // namespace coltsfoot
