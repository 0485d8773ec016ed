#pragma once

#include "backendimpl.h"

namespace coltsfoot {

/// Serves the requests of one caller's connection, one after the other, until
/// it closes.
void serveBackendConnection(BackendServer::Impl &Server,
                            boost::asio::ip::tcp::socket Socket);

} // namespace coltsfoot
