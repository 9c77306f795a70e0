#include "cornelpond/core/relay/RelayMessage.h"

#include "cornelpond/core/base/ByteCodec.h"

#include <algorithm>

namespace cornelpond {

namespace {

    /// First number of an order or answer; the same in every version.
    enum class Tag : uint64_t {
        Start = 1,
        Stop = 2,
        Throttle = 3,
        Renew = 4,
        Answer = 5,
        RenewAnswer = 6,
        RenewWithHeldListing = 7,
        NumberedListingAnswer = 8,
        ListingChangeAnswer = 9,
        StartForProcess = 10,
        RenewForProcess = 11,
    };

    /// A count of rows, for which room is reserved up to a bound that a malformed message cannot exceed.
    template <typename Row>
    uint64_t readCount(ByteReader& in, std::vector<Row>& rows)
    {
        constexpr uint64_t maxReserved = 64;
        uint64_t const count = in.number();
        rows.reserve(std::min(count, maxReserved));
        return count;
    }

    void write(ByteWriter& out, Tag tag)
    {
        out.number(static_cast<uint64_t>(tag));
    }

    /// Worker clocks are encoded as whole milliseconds, the unit of the workers' own protocol.
    void writeMilliseconds(ByteWriter& out, Duration span)
    {
        out.number(static_cast<uint64_t>(span.toMilliseconds()));
    }

    uint64_t readUpTo(ByteReader& in, uint64_t max)
    {
        uint64_t const number = in.number();
        if (number > max)
            in.fail();
        return number;
    }

    Duration readMilliseconds(ByteReader& in)
    {
        constexpr uint64_t maxMilliseconds = INT64_MAX / 1000; // A Duration counts microseconds.
        return Duration::milliseconds(static_cast<int64_t>(readUpTo(in, maxMilliseconds)));
    }

    std::string readText(ByteReader& in)
    {
        return std::string(in.text());
    }

    void writeAttempt(ByteWriter& out, TaskRef const& task, AttemptNumber attempt)
    {
        write(out, task);
        out.number(attempt.value());
    }

    void writeStartFields(ByteWriter& out, StartOrder const& start)
    {
        writeAttempt(out, start.task, start.attempt);
        out.text(start.payload);
        writeMilliseconds(out, start.leaseUntil);
        out.number(start.epoch.value());
        out.text(start.checkpoint);
        out.text(start.permit);
    }

    void write(ByteWriter& out, StartOrder const& start)
    {
        write(out, start.processBornMs ? Tag::StartForProcess : Tag::Start);
        if (start.processBornMs)
            out.number(static_cast<uint64_t>(start.processBornMs));
        writeStartFields(out, start);
    }

    void write(ByteWriter& out, StopOrder const& stop)
    {
        write(out, Tag::Stop);
        writeAttempt(out, stop.task, stop.attempt);
        out.number(stop.epoch.value());
    }

    void write(ByteWriter& out, ThrottleOrder const& throttle)
    {
        write(out, Tag::Throttle);
        writeAttempt(out, throttle.task, throttle.attempt);
        out.number(throttle.speedPercent);
        out.number(throttle.epoch.value());
    }

    void writeRenewFields(ByteWriter& out, RenewOrder const& renew)
    {
        out.number(renew.extendsLease);
        writeMilliseconds(out, renew.leaseUntil);
        out.number(renew.epoch.value());
        out.number(renew.acknowledgedEnds);
        writeMilliseconds(out, renew.maxWait);
    }

    void write(ByteWriter& out, RenewOrder const& renew)
    {
        write(out, Tag::Renew);
        writeRenewFields(out, renew);
    }

    void writeOrder(ByteWriter& out, RelayedOrder const& relayed)
    {
        auto const* renew = std::get_if<RenewOrder>(&relayed.order);
        if (renew && renew->processBornMs) {
            write(out, Tag::RenewForProcess);
            out.number(static_cast<uint64_t>(renew->processBornMs));
            out.number(relayed.heldListing.has_value());
            out.number(relayed.heldListing.value_or(0));
            writeRenewFields(out, *renew);
            return;
        }
        if (renew && relayed.heldListing) {
            write(out, Tag::RenewWithHeldListing);
            out.number(*relayed.heldListing);
            writeRenewFields(out, *renew);
            return;
        }
        std::visit([&](auto const& order) { write(out, order); }, relayed.order);
    }

    StartOrder readStart(ByteReader& in)
    {
        StartOrder start;
        start.task = readTaskRef(in);
        start.attempt = AttemptNumber(in.number());
        start.payload = readText(in);
        start.leaseUntil = readMilliseconds(in);
        start.epoch = Term(in.number());
        start.checkpoint = readText(in);
        start.permit = readText(in);
        return start;
    }

    StopOrder readStop(ByteReader& in)
    {
        StopOrder stop;
        stop.task = readTaskRef(in);
        stop.attempt = AttemptNumber(in.number());
        stop.epoch = Term(in.number());
        return stop;
    }

    ThrottleOrder readThrottle(ByteReader& in)
    {
        ThrottleOrder throttle;
        throttle.task = readTaskRef(in);
        throttle.attempt = AttemptNumber(in.number());
        throttle.speedPercent = static_cast<unsigned>(in.number());
        throttle.epoch = Term(in.number());
        return throttle;
    }

    RenewOrder readRenew(ByteReader& in)
    {
        RenewOrder renew;
        renew.extendsLease = in.number();
        renew.leaseUntil = readMilliseconds(in);
        renew.epoch = Term(in.number());
        renew.acknowledgedEnds = in.number();
        renew.maxWait = readMilliseconds(in);
        return renew;
    }

    int64_t readBornMs(ByteReader& in)
    {
        return static_cast<int64_t>(readUpTo(in, INT64_MAX));
    }

    StartOrder readStartForProcess(ByteReader& in)
    {
        int64_t const bornMs = readBornMs(in);
        StartOrder start = readStart(in);
        start.processBornMs = bornMs;
        return start;
    }

    void readRenewForProcess(ByteReader& in, RelayedOrder& relayed)
    {
        int64_t const bornMs = readBornMs(in);
        bool const hasHeldListing = in.number();
        uint64_t const heldListing = in.number();
        if (hasHeldListing)
            relayed.heldListing = heldListing;
        RenewOrder renew = readRenew(in);
        renew.processBornMs = bornMs;
        relayed.order = renew;
    }

    RelayedOrder readOrder(ByteReader& in)
    {
        RelayedOrder relayed;
        relayed.id = in.number();
        relayed.worker.id = WorkerId(readText(in));
        relayed.worker.dataCentre = DataCentreId(readText(in));
        relayed.worker.address = readText(in);
        switch (static_cast<Tag>(in.number())) {
        case Tag::Start:
            relayed.order = readStart(in);
            return relayed;
        case Tag::Stop:
            relayed.order = readStop(in);
            return relayed;
        case Tag::Throttle:
            relayed.order = readThrottle(in);
            return relayed;
        case Tag::Renew:
            relayed.order = readRenew(in);
            return relayed;
        case Tag::RenewWithHeldListing:
            relayed.heldListing = in.number();
            relayed.order = readRenew(in);
            return relayed;
        case Tag::StartForProcess:
            relayed.order = readStartForProcess(in);
            return relayed;
        case Tag::RenewForProcess:
            readRenewForProcess(in, relayed);
            return relayed;
        default:
            in.fail();
        }
    }

    void writeOrderAnswer(ByteWriter& out, OrderAnswer const& answer)
    {
        out.number(static_cast<uint64_t>(answer.result));
        out.number(answer.hasClock);
        writeMilliseconds(out, answer.workerClock);
    }

    void write(ByteWriter& out, OrderAnswer const& answer)
    {
        write(out, Tag::Answer);
        writeOrderAnswer(out, answer);
    }

    OrderAnswer readOrderAnswer(ByteReader& in)
    {
        OrderAnswer answer;
        answer.result = static_cast<OrderResult>(readUpTo(in, static_cast<uint64_t>(OrderResult::OtherProcess)));
        answer.hasClock = in.number();
        answer.workerClock = readMilliseconds(in);
        return answer;
    }

    void writeFigures(ByteWriter& out, unsigned progressPercent, int64_t latencyMsOrMilliCores)
    {
        out.number(progressPercent);
        out.number(static_cast<uint64_t>(latencyMsOrMilliCores) + 1); // -1, not given, is stored as 0.
    }

    void write(ByteWriter& out, ListedAttempt const& listed)
    {
        writeAttempt(out, listed.task, listed.attempt);
        out.text(listed.checkpoint);
        writeFigures(out, listed.progressPercent, listed.latencyMsOrMilliCores);
    }

    ListedAttempt readListedAttempt(ByteReader& in)
    {
        ListedAttempt listed;
        listed.task = readTaskRef(in);
        listed.attempt = AttemptNumber(in.number());
        listed.checkpoint = readText(in);
        listed.progressPercent = static_cast<unsigned>(in.number());
        listed.latencyMsOrMilliCores = static_cast<int64_t>(in.number() - 1);
        return listed;
    }

    void write(ByteWriter& out, ListedEnd const& end)
    {
        out.number(end.number);
        writeAttempt(out, end.task, end.attempt);
        out.number(static_cast<uint64_t>(end.end));
        out.text(end.checkpoint);
    }

    ListedEnd readListedEnd(ByteReader& in)
    {
        ListedEnd end;
        end.number = in.number();
        end.task = readTaskRef(in);
        end.attempt = AttemptNumber(in.number());
        end.end = static_cast<AttemptEnd>(readUpTo(in, static_cast<uint64_t>(AttemptEnd::Refused)));
        end.checkpoint = readText(in);
        return end;
    }

    void writeRenewAnswerFields(ByteWriter& out, RenewAnswer const& answer)
    {
        writeOrderAnswer(out, answer.order);
        out.number(answer.acknowledgedEnds);
        out.number(static_cast<uint64_t>(answer.listing.bornMs));
        out.number(answer.listing.isComplete);
        out.number(answer.listing.running.size());
        for (auto const& listed : answer.listing.running)
            write(out, listed);
        out.number(answer.listing.ended.size());
        for (auto const& end : answer.listing.ended)
            write(out, end);
    }

    void write(ByteWriter& out, RenewAnswer const& answer)
    {
        write(out, Tag::RenewAnswer);
        writeRenewAnswerFields(out, answer);
    }

    void write(ByteWriter& out, NumberedListingAnswer const& numbered)
    {
        write(out, Tag::NumberedListingAnswer);
        out.number(numbered.listing);
        writeRenewAnswerFields(out, numbered.answer);
    }

    RenewAnswer readRenewAnswer(ByteReader& in)
    {
        RenewAnswer answer;
        answer.order = readOrderAnswer(in);
        answer.acknowledgedEnds = in.number();
        answer.listing.bornMs = static_cast<int64_t>(in.number());
        answer.listing.isComplete = in.number();
        for (uint64_t remaining = readCount(in, answer.listing.running); remaining; remaining--)
            answer.listing.running.push_back(readListedAttempt(in));
        for (uint64_t remaining = readCount(in, answer.listing.ended); remaining; remaining--)
            answer.listing.ended.push_back(readListedEnd(in));
        return answer;
    }

    void write(ByteWriter& out, ListedFigures const& figures)
    {
        out.number(figures.index);
        out.number(figures.checkpoint.has_value());
        if (figures.checkpoint)
            out.text(*figures.checkpoint);
        writeFigures(out, figures.progressPercent, figures.latencyMsOrMilliCores);
    }

    ListedFigures readListedFigures(ByteReader& in)
    {
        ListedFigures figures;
        figures.index = in.number();
        if (in.number())
            figures.checkpoint = readText(in);
        figures.progressPercent = static_cast<unsigned>(in.number());
        figures.latencyMsOrMilliCores = static_cast<int64_t>(in.number() - 1);
        return figures;
    }

    template <typename Rows>
    void writeRows(ByteWriter& out, Rows const& rows)
    {
        out.number(rows.size());
        for (auto const& row : rows)
            write(out, row);
    }

    void write(ByteWriter& out, ListingChangeAnswer const& answer)
    {
        write(out, Tag::ListingChangeAnswer);
        writeOrderAnswer(out, answer.order);
        out.number(answer.acknowledgedEnds);
        out.number(answer.heldListing);
        out.number(answer.listing);
        out.number(answer.change.isComplete);
        writeRows(out, answer.change.changed);
        out.number(answer.change.removed.size());
        for (uint64_t const index : answer.change.removed)
            out.number(index);
        writeRows(out, answer.change.added);
        writeRows(out, answer.change.ended);
    }

    ListingChangeAnswer readListingChangeAnswer(ByteReader& in)
    {
        ListingChangeAnswer answer;
        answer.order = readOrderAnswer(in);
        answer.acknowledgedEnds = in.number();
        answer.heldListing = in.number();
        answer.listing = in.number();
        answer.change.isComplete = in.number();
        for (uint64_t remaining = readCount(in, answer.change.changed); remaining; remaining--)
            answer.change.changed.push_back(readListedFigures(in));
        for (uint64_t remaining = readCount(in, answer.change.removed); remaining; remaining--)
            answer.change.removed.push_back(in.number());
        for (uint64_t remaining = readCount(in, answer.change.added); remaining; remaining--)
            answer.change.added.push_back(readListedAttempt(in));
        for (uint64_t remaining = readCount(in, answer.change.ended); remaining; remaining--)
            answer.change.ended.push_back(readListedEnd(in));
        return answer;
    }

    RelayedAnswer readAnswer(ByteReader& in)
    {
        RelayedAnswer relayed;
        relayed.id = in.number();
        switch (static_cast<Tag>(in.number())) {
        case Tag::Answer:
            relayed.answer = readOrderAnswer(in);
            return relayed;
        case Tag::RenewAnswer:
            relayed.answer = readRenewAnswer(in);
            return relayed;
        case Tag::NumberedListingAnswer: {
            uint64_t const listing = in.number();
            relayed.answer = NumberedListingAnswer { listing, readRenewAnswer(in) };
            return relayed;
        }
        case Tag::ListingChangeAnswer:
            relayed.answer = readListingChangeAnswer(in);
            return relayed;
        default:
            in.fail();
        }
    }

    /// 0: not given.
    void writeTime(ByteWriter& out, std::optional<TimePoint> time)
    {
        out.number(time ? static_cast<uint64_t>(time->toMicroseconds()) : 0);
    }

    std::optional<TimePoint> readTime(ByteReader& in)
    {
        uint64_t const microseconds = readUpTo(in, static_cast<uint64_t>(TimePoint::infiniteFuture().toMicroseconds()));
        return microseconds ? std::optional(TimePoint::fromMicroseconds(static_cast<int64_t>(microseconds))) : std::nullopt;
    }

} // namespace

std::string encodeRelayBatch(RelayBatch const& batch)
{
    ByteWriter out;
    out.number(batch.orders.size());
    for (auto const& relayed : batch.orders) {
        out.number(relayed.id);
        out.text(relayed.worker.id.value());
        out.text(relayed.worker.dataCentre.value());
        out.text(relayed.worker.address);
        writeOrder(out, relayed);
    }
    out.number(batch.answers.size());
    for (auto const& relayed : batch.answers) {
        out.number(relayed.id);
        std::visit([&](auto const& answer) { write(out, answer); }, relayed.answer);
    }
    if (batch.senderClock) {
        writeTime(out, batch.senderClock);
        writeTime(out, batch.deadline);
    }
    return out.take();
}

RelayBatch decodeRelayBatch(std::string_view bytes)
{
    RelayBatch batch;
    ByteReader in(bytes);
    for (uint64_t remaining = readCount(in, batch.orders); remaining; remaining--)
        batch.orders.push_back(readOrder(in));
    for (uint64_t remaining = readCount(in, batch.answers); remaining; remaining--)
        batch.answers.push_back(readAnswer(in));
    if (!in.isAtEnd()) {
        batch.senderClock = readTime(in);
        batch.deadline = readTime(in);
    }
    in.expectEnd();
    return batch;
}

} // namespace cornelpond
