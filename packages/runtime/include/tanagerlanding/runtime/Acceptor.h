/// \file
/// Opens acceptors for incoming TCP connections.
#ifndef TANAGERLANDING_RUNTIME_ACCEPTOR_H
#define TANAGERLANDING_RUNTIME_ACCEPTOR_H

#include "tanagerlanding/basics.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace tanagerlanding {

/// Opens a closed acceptor on an IP address and port and starts listening.
/// Fails if the address is invalid or can't be bound.
Result<void, SystemError> openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                                       const std::string &Address,
                                       std::uint16_t Port);

} // namespace tanagerlanding

#endif
