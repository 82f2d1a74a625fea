/// \file
/// The result type of operations that can fail.
#ifndef TANAGERLANDING_BASICS_OUTCOME_H
#define TANAGERLANDING_BASICS_OUTCOME_H

#include <boost/outcome/result.hpp>

namespace tanagerlanding {

/// A value or a typed error. Accessing the one that is absent is a programming
/// error and terminates the process.
template <typename Value, typename Error>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Returns a successful result without a value.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

} // namespace tanagerlanding

#endif
