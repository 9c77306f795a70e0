#pragma once

// What admission and routing need of one interactive request; its headers and body stay with the adapter.
//
// Example:
//   InteractiveRequest request;
//   request.id = RequestId(1);
//   request.service = ServiceId("plan");
//   request.deadline = clock.now() + Duration::seconds(2);

#include "cornelpond/core/base/Duration.h"
#include "cornelpond/core/base/Ids.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace cornelpond {

using RequestId = NumberId<struct RequestIdTag>;

/// How urgent a request is; lower numbers are more urgent.
enum class RequestClass : uint8_t {
    Urgent = 0,
    Normal = 1,
    Background = 2,
};

constexpr size_t requestClassCount = 3;
constexpr std::array<std::string_view, requestClassCount> requestClassNames = { "urgent", "normal", "background" };

struct InteractiveRequest {
    RequestId id;
    ServiceId service;
    AssociationId association;
    RequestClass requestClass = RequestClass::Normal;
    TimePoint receivedAt;
    TimePoint deadline;
    bool isRepeatable = true; ///< May be sent again after an attempt that may have run.
    size_t memoryBytes = 0; ///< Memory that the request holds while it is queued.
};

} // namespace cornelpond
