#include "portpair.h"

namespace coltsfoot {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

PortPair PortPair::bind(boost::asio::io_context &Context,
                        const boost::asio::ip::address &Address) {
  constexpr int MaxTries = 100;
  for (int Try = 1;; ++Try) {
    tcp::acceptor Tcp(Context, tcp::endpoint(Address, 0));
    udp::endpoint UdpEndpoint(Address, Tcp.local_endpoint().port());
    udp::socket Udp(Context, UdpEndpoint.protocol());
    boost::system::error_code Error;
    Udp.bind(UdpEndpoint, Error);
    if (!Error)
      return {std::move(Tcp), std::move(Udp)};
    if (Try == MaxTries)
      throw boost::system::system_error(
          Error, "found no port that is free for both TCP and UDP");
  }
}

} // namespace coltsfoot
