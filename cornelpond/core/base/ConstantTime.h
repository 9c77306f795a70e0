#pragma once

// Comparison of secrets without a timing side channel.
//
// Example:
//   if (!constantTimeEqual(this->token, given))
//       refuse();

#include <string_view>

namespace cornelpond {

/// Compares in a time that depends only on the lengths.
inline bool constantTimeEqual(std::string_view left, std::string_view right)
{
    if (right.empty())
        return left.empty();
    unsigned char difference = left.size() == right.size() ? 0 : 1;
    for (size_t i = 0; i < left.size(); i++)
        difference |= static_cast<unsigned char>(left[i] ^ right[i % right.size()]);
    return !difference;
}

} // namespace cornelpond
