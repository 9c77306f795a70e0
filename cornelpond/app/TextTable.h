#pragma once

// A table as plain text, its columns padded to their widest cell.
//
// Example:
//   TextTable table({ "TASK", "STATE" });
//   table.add({ "plan-7", "running" });
//   std::cout << table.text();

#include <string>
#include <vector>

namespace cornelpond {

class TextTable {
public:
    explicit TextTable(std::vector<std::string> header) { this->rows.push_back(std::move(header)); }

    /// Precondition: as many cells as the header has.
    void add(std::vector<std::string> cells) { this->rows.push_back(std::move(cells)); }

    std::string text() const
    {
        std::vector<size_t> widths(this->rows.front().size(), 0);
        for (auto const& row : this->rows) {
            for (size_t i = 0; i < row.size(); i++)
                widths[i] = std::max(widths[i], row[i].size());
        }
        std::string out;
        for (auto const& row : this->rows) {
            for (size_t i = 0; i + 1 < row.size(); i++)
                out += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
            out += row.back() + "\n";
        }
        return out;
    }

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace cornelpond
