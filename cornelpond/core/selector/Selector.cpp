#include "cornelpond/core/selector/Selector.h"

#include "cornelpond/core/base/ResultCode.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace cornelpond {

namespace internal {

    class SelectorNode {
    public:
        virtual ~SelectorNode() = default;
        virtual bool matches(Labels const& labels) const = 0;
    };

} // namespace internal

namespace {

    using internal::SelectorNode;
    using NodePointer = std::shared_ptr<SelectorNode const>;

    constexpr size_t maxNesting = 64;

    class AnyOf final : public SelectorNode {
    public:
        explicit AnyOf(std::vector<NodePointer> parts)
            : parts(std::move(parts))
        {
        }

        bool matches(Labels const& labels) const override
        {
            return std::any_of(this->parts.begin(), this->parts.end(), [&](auto const& part) { return part->matches(labels); });
        }

    private:
        std::vector<NodePointer> parts;
    };

    class AllOf final : public SelectorNode {
    public:
        explicit AllOf(std::vector<NodePointer> parts)
            : parts(std::move(parts))
        {
        }

        bool matches(Labels const& labels) const override
        {
            return std::all_of(this->parts.begin(), this->parts.end(), [&](auto const& part) { return part->matches(labels); });
        }

    private:
        std::vector<NodePointer> parts;
    };

    class Not final : public SelectorNode {
    public:
        explicit Not(NodePointer inner)
            : inner(std::move(inner))
        {
        }

        bool matches(Labels const& labels) const override { return !this->inner->matches(labels); }

    private:
        NodePointer inner;
    };

    class Exists final : public SelectorNode {
    public:
        explicit Exists(std::string key)
            : key(std::move(key))
        {
        }

        bool matches(Labels const& labels) const override { return labels.count(this->key); }

    private:
        std::string key;
    };

    class In final : public SelectorNode {
    public:
        In(std::string key, std::vector<std::string> values)
            : key(std::move(key))
            , values(std::move(values))
        {
        }

        bool matches(Labels const& labels) const override
        {
            auto const found = labels.find(this->key);
            if (found == labels.end())
                return false;
            return std::find(this->values.begin(), this->values.end(), found->second) != this->values.end();
        }

    private:
        std::string key;
        std::vector<std::string> values;
    };

    bool isWordByte(char byte)
    {
        return std::isalnum(static_cast<unsigned char>(byte)) || byte == '.' || byte == '_' || byte == '-' || byte == '/';
    }

    class Parser {
    public:
        explicit Parser(std::string_view text)
            : text(text)
        {
        }

        NodePointer parse()
        {
            NodePointer node = this->parseSelector(0);
            this->skipSpace();
            if (this->position != this->text.size())
                this->fail("expected 'and', 'or' or the end");
            return node;
        }

    private:
        [[noreturn]] void fail(std::string const& what) const
        {
            throw Error(ResultCode::BadSelector, "selector, position " + std::to_string(this->position) + ": " + what);
        }

        void skipSpace()
        {
            while (this->position < this->text.size() && std::isspace(static_cast<unsigned char>(this->text[this->position])))
                this->position++;
        }

        bool takeSymbol(std::string_view symbol)
        {
            this->skipSpace();
            if (this->text.substr(this->position, symbol.size()) != symbol)
                return false;
            this->position += symbol.size();
            return true;
        }

        bool takeKeyword(std::string_view keyword)
        {
            this->skipSpace();
            if (this->text.substr(this->position, keyword.size()) != keyword)
                return false;
            size_t const end = this->position + keyword.size();
            if (end < this->text.size() && isWordByte(this->text[end]))
                return false;
            this->position = end;
            return true;
        }

        std::string takeWord(std::string const& expected)
        {
            this->skipSpace();
            size_t const start = this->position;
            while (this->position < this->text.size() && isWordByte(this->text[this->position]))
                this->position++;
            if (this->position == start)
                this->fail("expected " + expected);
            return std::string(this->text.substr(start, this->position - start));
        }

        std::string takeValue()
        {
            if (!this->takeSymbol("\""))
                return this->takeWord("a value");
            size_t const end = this->text.find('"', this->position);
            if (end == std::string_view::npos)
                this->fail("unterminated quoted value");
            std::string value(this->text.substr(this->position, end - this->position));
            this->position = end + 1;
            return value;
        }

        std::vector<std::string> takeValues()
        {
            if (!this->takeSymbol("("))
                this->fail("expected '('");
            std::vector<std::string> values { this->takeValue() };
            while (this->takeSymbol(","))
                values.push_back(this->takeValue());
            if (!this->takeSymbol(")"))
                this->fail("expected ',' or ')'");
            return values;
        }

        NodePointer parseSelector(size_t depth)
        {
            std::vector<NodePointer> parts { this->parseConjunction(depth) };
            while (this->takeKeyword("or"))
                parts.push_back(this->parseConjunction(depth));
            return parts.size() == 1 ? parts.front() : std::make_shared<AnyOf>(std::move(parts));
        }

        NodePointer parseConjunction(size_t depth)
        {
            std::vector<NodePointer> parts { this->parseTerm(depth) };
            while (this->takeKeyword("and") || this->takeSymbol(","))
                parts.push_back(this->parseTerm(depth));
            return parts.size() == 1 ? parts.front() : std::make_shared<AllOf>(std::move(parts));
        }

        NodePointer parseTerm(size_t depth)
        {
            if (depth > maxNesting)
                this->fail("nested too deeply");
            if (this->takeSymbol("(")) {
                NodePointer inner = this->parseSelector(depth + 1);
                if (!this->takeSymbol(")"))
                    this->fail("expected ')'");
                return inner;
            }
            if (this->takeKeyword("not"))
                return std::make_shared<Not>(this->parseTerm(depth + 1));
            if (this->takeSymbol("!"))
                return std::make_shared<Not>(std::make_shared<Exists>(this->takeWord("a label key")));
            return this->parseRequirement(this->takeWord("a label key"));
        }

        NodePointer parseRequirement(std::string key)
        {
            if (this->takeSymbol("!="))
                return std::make_shared<Not>(std::make_shared<In>(std::move(key), std::vector<std::string> { this->takeValue() }));
            if (this->takeSymbol("="))
                return std::make_shared<In>(std::move(key), std::vector<std::string> { this->takeValue() });
            if (this->takeKeyword("in"))
                return std::make_shared<In>(std::move(key), this->takeValues());
            if (this->takeKeyword("notin"))
                return std::make_shared<Not>(std::make_shared<In>(std::move(key), this->takeValues()));
            return std::make_shared<Exists>(std::move(key));
        }

        std::string_view text;
        size_t position = 0;
    };

} // namespace

Selector Selector::parse(std::string_view text)
{
    Selector selector;
    selector.source = std::string(text);
    bool const isBlank = std::all_of(text.begin(), text.end(), [](unsigned char byte) { return std::isspace(byte); });
    if (!isBlank)
        selector.root = Parser(text).parse();
    return selector;
}

bool Selector::matches(Labels const& labels) const
{
    return !this->root || this->root->matches(labels);
}

bool isLabelWord(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isWordByte);
}

} // namespace cornelpond
