#include "tanagerlanding/decision/ledger/LedgerMessages.h"

namespace tanagerlanding {

Fingerprint fingerprintOf(const TurnId &Turn) {
  return Fingerprint(hashBytes(Turn.Value));
}

} // namespace tanagerlanding
