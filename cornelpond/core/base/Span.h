#pragma once

// A non-owning view of contiguous elements (C++17 has no std::span).
//
// Example:
//   uint64_t sum(Span<uint64_t const> values);
//   sum(vector);
//
// The viewed storage must outlive the span.

#include <cstddef>
#include <type_traits>
#include <vector>

namespace cornelpond {

template <typename T>
class Span {
public:
    constexpr Span() = default;
    constexpr Span(T* data, size_t size)
        : first(data)
        , count(size)
    {
    }
    // Implicit, so that a vector can be passed where a view is expected.
    Span(std::vector<std::remove_const_t<T>> const& values) // NOLINT(google-explicit-constructor)
        : first(values.data())
        , count(values.size())
    {
    }

    constexpr T* data() const { return this->first; }
    constexpr size_t size() const { return this->count; }
    constexpr bool empty() const { return !this->count; }
    constexpr T* begin() const { return this->first; }
    constexpr T* end() const { return this->first + this->count; }
    constexpr T& operator[](size_t index) const { return this->first[index]; }
    constexpr Span subspan(size_t offset) const { return Span(this->first + offset, this->count - offset); }

private:
    T* first = nullptr;
    size_t count = 0;
};

} // namespace cornelpond
