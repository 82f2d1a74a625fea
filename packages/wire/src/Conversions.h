/// \file
/// Conversions between the decision package's types and the generated
/// FlatBuffers tables.
#ifndef TANAGERLANDING_WIRE_CONVERSIONS_H
#define TANAGERLANDING_WIRE_CONVERSIONS_H

#include "messages_generated.h"
#include "tanagerlanding/decision/Messages.h"

#include <memory>

namespace tanagerlanding {

std::unique_ptr<wire::AttemptT> toWire(const AttemptId &Id);
AttemptId fromWire(const std::unique_ptr<wire::AttemptT> &Id);

std::unique_ptr<wire::CallContentT> toWire(const Call &RequestedCall);
Call fromWire(const std::unique_ptr<wire::CallContentT> &RequestedCall);

std::unique_ptr<wire::AnswerT> toWire(const CallAnswer &Answer);
CallAnswer fromWire(const std::unique_ptr<wire::AnswerT> &Answer);

std::unique_ptr<wire::RecordT> toWire(const Record &Content);
/// Stores the converted record in Into. Returns false if the record's type is
/// unknown or its body is absent.
bool fromWire(const wire::RecordT &Content, Record &Into);

} // namespace tanagerlanding

#endif
