#pragma once

#include "backendimpl.h"

namespace coltsfoot {

/// Serves the requests of one caller's connection sequentially until the
/// connection closes. Returns immediately; the connection owns itself while an
/// operation is pending. Call it on the server's thread.
void serveBackendConnection(BackendServer::Impl &Server,
                            boost::asio::ip::tcp::socket Socket);

} // namespace coltsfoot
