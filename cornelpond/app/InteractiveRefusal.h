#pragma once

// The HTTP answer to an interactive request that was refused: code, name, message and whether it may
// have run, with Retry-After where waiting helps.
//
// Example:
//   responder.answer(interactiveRefusal({ ResultCode::QueueFull, false, Duration::seconds(1), "too many requests wait" }));

#include "cornelpond/adapters/http/HttpTypes.h"
#include "cornelpond/core/routing/RequestRouter.h"

namespace cornelpond {

HttpResponse interactiveRefusal(RouterRefusal const& refusal);

} // namespace cornelpond
