#include "cornelpond/core/claims/ClaimTable.h"

#include "cornelpond/core/base/Json.h"
#include "cornelpond/core/base/ResultCode.h"
#include "cornelpond/core/claims/ClaimCodec.h"

namespace cornelpond {

void ClaimTable::apply(ClaimCommand const& command)
{
    this->now = this->now + command.elapsed;
    this->expire();
    if (auto const* begin = std::get_if<BeginClaim>(&command.action))
        this->begin(*begin);
    else if (auto const* finish = std::get_if<FinishClaim>(&command.action))
        this->finish(*finish);
    else if (auto const* abandon = std::get_if<AbandonClaim>(&command.action)) {
        if (Entry* entry = this->findOpen(abandon->key, abandon->id))
            entry->state = ClaimState::Unknown;
    } else if (auto const* release = std::get_if<ReleaseClaim>(&command.action)) {
        if (this->findOpen(release->key, release->id))
            this->erase(release->key);
    }
}

void ClaimTable::begin(BeginClaim const& action)
{
    Entry entry;
    entry.id = action.id;
    entry.fingerprint = action.fingerprint;
    entry.deadline = this->now + action.timeToDeadline;
    entry.expiresAt = this->now + action.retention;
    if (this->entries.emplace(action.key, entry).second)
        this->byExpiry.emplace(entry.expiresAt.toMicroseconds(), action.key);
}

/// An answer is stored even if it comes after the claim counts as unknown.
void ClaimTable::finish(FinishClaim const& action)
{
    auto const found = this->entries.find(action.key);
    if (found == this->entries.end() || found->second.id != action.id || found->second.state == ClaimState::Finished)
        return;
    found->second.state = ClaimState::Finished;
    found->second.answer = action.answer;
    this->storedAnswerBytes += action.answer.byteSize();
}

ClaimTable::Entry* ClaimTable::findOpen(ClaimKey const& key, ClaimId const& id)
{
    auto const found = this->entries.find(key);
    bool const isOpen = found != this->entries.end() && found->second.id == id && found->second.state == ClaimState::InProgress;
    return isOpen ? &found->second : nullptr;
}

void ClaimTable::erase(ClaimKey const& key)
{
    auto const found = this->entries.find(key);
    this->storedAnswerBytes -= found->second.answer.byteSize();
    this->byExpiry.erase({ found->second.expiresAt.toMicroseconds(), key });
    this->entries.erase(found);
}

void ClaimTable::expire()
{
    while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= this->now.toMicroseconds()) {
        ClaimKey const key = this->byExpiry.begin()->second;
        this->erase(key);
    }
}

ClaimTable::Entry const* ClaimTable::find(ClaimKey const& key) const
{
    auto const found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

ClaimResult ClaimTable::resultFor(BeginClaim const& action) const
{
    Entry const* entry = this->find(action.key);
    if (!entry)
        return ClaimResult::Unavailable;
    if (entry->fingerprint != action.fingerprint)
        return ClaimResult::Conflict;
    if (entry->state == ClaimState::Finished)
        return ClaimResult::Finished;
    if (entry->state == ClaimState::Unknown)
        return ClaimResult::Unknown;
    if (entry->id == action.id)
        return ClaimResult::Granted;
    return this->now >= entry->deadline ? ClaimResult::Unknown : ClaimResult::InProgress;
}

std::string ClaimTable::takeSnapshot() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (auto const& [key, entry] : this->entries) {
        rows.push_back({ encodeClaimKey(key), encodeClaimId(entry.id), entry.fingerprint, static_cast<uint8_t>(entry.state), entry.deadline.toMicroseconds(), entry.expiresAt.toMicroseconds(),
            encodeStoredAnswer(entry.answer) });
    }
    return toCbor(nlohmann::json::array({ this->now.toMicroseconds(), std::move(rows) }));
}

void ClaimTable::restore(std::string_view state)
{
    try {
        ClaimTable restored;
        nlohmann::json const fields = fromCbor(state);
        restored.now = Duration::microseconds(fields.at(0).get<int64_t>());
        for (auto const& row : fields.at(1)) {
            Entry entry;
            ClaimKey const key = decodeClaimKey(row.at(0));
            entry.id = decodeClaimId(row.at(1));
            entry.fingerprint = row.at(2).get<uint64_t>();
            entry.state = static_cast<ClaimState>(row.at(3).get<uint8_t>());
            entry.deadline = Duration::microseconds(row.at(4).get<int64_t>());
            entry.expiresAt = Duration::microseconds(row.at(5).get<int64_t>());
            entry.answer = decodeStoredAnswer(row.at(6));
            restored.storedAnswerBytes += entry.answer.byteSize();
            restored.byExpiry.emplace(entry.expiresAt.toMicroseconds(), key);
            restored.entries.emplace(key, std::move(entry));
        }
        *this = std::move(restored);
    } catch (nlohmann::json::exception const& error) {
        throw Error(ResultCode::StorageDamaged, std::string("claims: ") + error.what());
    }
}

} // namespace cornelpond
