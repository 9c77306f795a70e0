#include "cornelpond/core/jobs/QueueTable.h"

#include "cornelpond/core/base/ResultCode.h"

#include <cmath>
#include <set>

namespace cornelpond {

namespace {

    constexpr double storedStretchUnit = 1e-6; ///< The stretch factor is stored as a whole number of these.

    void write(ByteWriter& out, Duration span)
    {
        out.number(static_cast<uint64_t>(span.toMicroseconds()));
    }

    Duration readDuration(ByteReader& in)
    {
        return Duration::microseconds(static_cast<int64_t>(in.number()));
    }

    void write(ByteWriter& out, QueueSpec const& queue)
    {
        out.text(queue.name.value());
        out.text(queue.host);
        out.text(queue.pathPrefix);
        out.text(queue.service.value());
        out.number(queue.priority);
        out.number(queue.maxAttempts);
        out.number(static_cast<uint64_t>(std::llround(queue.stretchFactor / storedStretchUnit)));
        write(out, queue.latencyTarget);
        out.number(queue.permits.isRequired);
        write(out, queue.permits.decisionTime);
        write(out, queue.permits.decisionTimePerWorker);
        write(out, queue.permits.validity);
    }

    QueueSpec readQueue(ByteReader& in)
    {
        QueueSpec queue;
        queue.name = QueueId(std::string(in.text()));
        queue.host = in.text();
        queue.pathPrefix = in.text();
        queue.service = ServiceId(std::string(in.text()));
        queue.priority = static_cast<uint32_t>(in.number());
        queue.maxAttempts = static_cast<uint32_t>(in.number());
        queue.stretchFactor = static_cast<double>(in.number()) * storedStretchUnit;
        queue.latencyTarget = readDuration(in);
        queue.permits.isRequired = in.number();
        queue.permits.decisionTime = readDuration(in);
        queue.permits.decisionTimePerWorker = readDuration(in);
        queue.permits.validity = readDuration(in);
        return queue;
    }

} // namespace

void checkQueueConfig(QueueConfig const& config)
{
    std::set<ServiceId> services;
    for (auto const& service : config.services)
        services.insert(service.name);
    std::set<QueueId> names;
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (auto const& queue : config.queues) {
        if (!services.count(queue.service))
            throw Error(ResultCode::SchemaViolation, "queue '" + queue.name.value() + "' refers to the unknown service '" + queue.service.value() + "'");
        if (!hostsAndPrefixes.emplace(queue.host, queue.pathPrefix).second)
            throw Error(ResultCode::SchemaViolation, "queue '" + queue.name.value() + "' has the same host and path prefix as another");
        if (!names.insert(queue.name).second)
            throw Error(ResultCode::SchemaViolation, "the queue name '" + queue.name.value() + "' is used twice");
    }
}

std::string encodeQueueConfig(QueueConfig const& config)
{
    ByteWriter out;
    out.number(config.version.value());
    out.number(config.queues.size());
    for (auto const& queue : config.queues)
        write(out, queue);
    out.number(config.services.size());
    for (auto const& service : config.services) {
        out.text(service.name.value());
        out.number(service.enforcesCapacity);
        out.number(service.isStandby);
    }
    out.text(config.document);
    return out.take();
}

QueueConfig decodeQueueConfig(std::string_view bytes)
{
    ByteReader in(bytes);
    QueueConfig config;
    config.version = ConfigVersion(in.number());
    for (uint64_t remaining = in.number(); remaining; remaining--)
        config.queues.push_back(readQueue(in));
    for (uint64_t remaining = in.number(); remaining; remaining--) {
        ServiceSpec service;
        service.name = ServiceId(std::string(in.text()));
        service.enforcesCapacity = in.number();
        service.isStandby = in.number();
        config.services.push_back(std::move(service));
    }
    config.document = in.text();
    in.expectEnd();
    return config;
}

bool QueueTable::replace(QueueConfig config)
{
    if (config.version <= this->current.version)
        return false;
    this->current = std::move(config);
    this->rebuildIndex();
    return true;
}

void QueueTable::restore(std::string const& snapshot)
{
    this->current = decodeQueueConfig(snapshot);
    this->rebuildIndex();
}

void QueueTable::rebuildIndex()
{
    this->byName.clear();
    this->byHost.clear();
    for (size_t i = 0; i < this->current.queues.size(); i++) {
        this->byName.emplace(this->current.queues[i].name, i);
        this->byHost.emplace(this->current.queues[i].host, i);
    }
}

QueueSpec const* QueueTable::match(std::string_view host, std::string_view path) const
{
    QueueSpec const* best = nullptr;
    auto const [first, last] = this->byHost.equal_range(host);
    for (auto at = first; at != last; ++at) {
        QueueSpec const& queue = this->current.queues[at->second];
        bool const isPrefix = path.substr(0, queue.pathPrefix.size()) == queue.pathPrefix;
        if (isPrefix && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

QueueSpec const* QueueTable::find(QueueId const& name) const
{
    auto const found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : &this->current.queues[found->second];
}

ServiceSpec const* QueueTable::findService(ServiceId const& name) const
{
    for (auto const& service : this->current.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

} // namespace cornelpond
