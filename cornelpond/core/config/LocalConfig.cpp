#include "cornelpond/core/config/LocalConfig.h"

namespace cornelpond {

LocalConfig::LocalConfig(LocalConfigHooks hooks)
    : hooks(std::move(hooks))
{
    this->record.document = "{}";
}

void LocalConfig::restore(std::string const& bytes)
{
    ConfigRecord const stored = decodeConfigRecord(bytes);
    this->known = true;
    if (stored.version <= this->record.version)
        return;
    this->record = stored;
    this->hooks.onVersionChange(this->record);
}

bool LocalConfig::accept(ConfigRecord const& newer)
{
    if (newer.version <= this->record.version)
        return false;
    this->record = newer;
    this->known = true;
    this->hooks.persist(encodeConfigRecord(this->record));
    this->hooks.onVersionChange(this->record);
    return true;
}

void LocalConfig::confirm()
{
    if (this->known)
        return;
    this->known = true;
    this->hooks.persist(encodeConfigRecord(this->record));
}

} // namespace cornelpond
