#include "tanagerlanding/runtime/Acceptor.h"

namespace tanagerlanding {

using boost::asio::ip::tcp;

Result<void, SystemError> openAcceptor(tcp::acceptor &Acceptor,
                                       const std::string &Address,
                                       std::uint16_t Port) {
  boost::system::error_code Error;
  const auto Ip = boost::asio::ip::make_address(Address, Error);
  if (Error)
    return SystemError{"parse address " + Address, Error.value()};
  const tcp::endpoint Endpoint(Ip, Port);
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Error);
  if (Error)
    return SystemError{"listen on " + Address + ":" + std::to_string(Port),
                       Error.value()};
  return success();
}

} // namespace tanagerlanding
