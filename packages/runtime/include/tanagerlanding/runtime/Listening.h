/// \file
/// Taking connections on an address.
#ifndef TANAGERLANDING_RUNTIME_LISTENING_H
#define TANAGERLANDING_RUNTIME_LISTENING_H

#include "tanagerlanding/basics.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace tanagerlanding {

/// Opens a closed acceptor on an IP number and port. Fails if the address
/// can't be had.
Result<void, SystemError> openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                                       const std::string &Address,
                                       std::uint16_t Port);

} // namespace tanagerlanding

#endif
