#include "cornelpond/core/config/ConfigFollower.h"

namespace cornelpond {

ConfigFollower::ConfigFollower(ConfigFollowerHooks hooks)
    : hooks(std::move(hooks))
{
    this->record.document = "{}";
}

void ConfigFollower::restore(std::string const& bytes)
{
    ConfigRecord const stored = decodeConfigRecord(bytes);
    this->known = true;
    if (stored.version <= this->record.version)
        return;
    this->record = stored;
    this->hooks.onInForce(this->record);
}

bool ConfigFollower::accept(ConfigRecord const& newer)
{
    if (newer.version <= this->record.version)
        return false;
    this->record = newer;
    this->known = true;
    this->hooks.persist(encodeConfigRecord(this->record));
    this->hooks.onInForce(this->record);
    return true;
}

void ConfigFollower::confirm()
{
    if (this->known)
        return;
    this->known = true;
    this->hooks.persist(encodeConfigRecord(this->record));
}

} // namespace cornelpond
