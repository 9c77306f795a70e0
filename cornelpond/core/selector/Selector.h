#pragma once

// Labels on work, workers and backend servers, and the selectors that match them.
//
// Example:
//   Selector const selector = Selector::parse("zone in (a, b) and !spot or tier = gold");
//   if (selector.matches(worker.labels))
//       ...
//
// Grammar, weakest binding first:
//   selector  := conjunction ("or" conjunction)*
//   conjunction := term (("and" | ",") term)*
//   term      := "(" selector ")" | "not" term | "!" KEY | KEY
//              | KEY "=" VALUE | KEY "!=" VALUE | KEY "in" "(" VALUES ")" | KEY "notin" "(" VALUES ")"
// `!=` and `notin` also match when the key is absent. An empty text matches everything.
// KEY and VALUE are runs of letters, digits and "._-/"; VALUE may also be quoted with '"'.

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cornelpond {

/// Label keys to values, in key order.
using Labels = std::map<std::string, std::string>;

namespace internal {
    class SelectorNode;
}

/// A parsed selector: immutable, cheap to copy, safe to share between threads.
class Selector {
public:
    /// Matches everything.
    Selector() = default;

    /// Throws Error(BadSelector) that names the byte position.
    static Selector parse(std::string_view text);

    bool matches(Labels const& labels) const;

    /// The text that the selector was parsed from.
    std::string const& text() const { return this->source; }

private:
    std::string source;
    std::shared_ptr<internal::SelectorNode const> root;
};

/// True for a valid label key or unquoted label value: one or more letters, digits and "._-/".
bool isLabelWord(std::string_view text);

} // namespace cornelpond
