#include "cornelpond/core/agreement/AgreementMessage.h"

#include "cornelpond/core/agreement/Membership.h"
#include "cornelpond/core/base/ByteCodec.h"

namespace cornelpond {

namespace {

    /// The first number of an encoded message; sent on the wire, so values never change meaning.
    enum class MessageKind : uint8_t {
        VoteRequest = 1,
        VoteReply = 2,
        AppendRequest = 3,
        AppendReply = 4,
        SnapshotChunk = 5,
        SnapshotReply = 6,
        TimeoutNow = 7,
    };

    constexpr uint64_t firstFlag = 1;
    constexpr uint64_t secondFlag = 2;

    uint64_t flags(bool first, bool second)
    {
        return (first ? firstFlag : 0) | (second ? secondFlag : 0);
    }

    class Encoder {
    public:
        void operator()(VoteRequest const& message)
        {
            this->writeHeader(MessageKind::VoteRequest, message.term);
            this->out.number(message.lastIndex.value());
            this->out.number(message.lastTerm.value());
            this->out.number(flags(message.isPreVote, message.isTransfer));
        }

        void operator()(VoteReply const& message)
        {
            this->writeHeader(MessageKind::VoteReply, message.term);
            this->out.number(message.requestTerm.value());
            this->out.number(flags(message.isPreVote, message.isGranted));
        }

        void operator()(AppendRequest const& message)
        {
            this->writeHeader(MessageKind::AppendRequest, message.term);
            this->out.number(message.previousIndex.value());
            this->out.number(message.previousTerm.value());
            this->out.number(message.commitIndex.value());
            this->time(message.sentAt);
            this->out.number(message.entries.size());
            for (auto const& entry : message.entries)
                this->entry(entry);
        }

        void operator()(AppendReply const& message)
        {
            this->writeHeader(MessageKind::AppendReply, message.term);
            this->out.number(flags(message.isSuccess, false));
            this->out.number(message.previousIndex.value());
            this->out.number(message.index.value());
            this->time(message.sentAt);
        }

        void operator()(SnapshotChunk const& message)
        {
            this->writeHeader(MessageKind::SnapshotChunk, message.term);
            this->out.number(message.lastIndex.value());
            this->out.number(message.lastTerm.value());
            this->time(message.takenAt);
            this->out.number(message.offset);
            this->out.number(message.totalBytes);
            this->time(message.sentAt);
            this->out.text(message.membership);
            this->out.text(message.bytes);
        }

        void operator()(SnapshotReply const& message)
        {
            this->writeHeader(MessageKind::SnapshotReply, message.term);
            this->out.number(message.lastIndex.value());
            this->out.number(message.nextOffset);
            this->time(message.sentAt);
        }

        void operator()(TimeoutNow const& message) { this->writeHeader(MessageKind::TimeoutNow, message.term); }

        std::string take() { return this->out.take(); }

    private:
        void writeHeader(MessageKind kind, Term term)
        {
            this->out.number(static_cast<uint64_t>(kind));
            this->out.number(term.value());
        }

        void time(TimePoint point) { this->out.number(static_cast<uint64_t>(point.toMicroseconds())); }

        void entry(LogEntry const& entry)
        {
            this->out.number(entry.term.value());
            this->out.number(static_cast<uint64_t>(entry.kind));
            this->out.text(entry.payload);
        }

        ByteWriter out;
    };

    Term readTerm(ByteReader& in)
    {
        return Term(in.number());
    }

    LogIndex readIndex(ByteReader& in)
    {
        return LogIndex(in.number());
    }

    TimePoint readTime(ByteReader& in)
    {
        return TimePoint::fromMicroseconds(static_cast<int64_t>(in.number()));
    }

    LogEntry readEntry(ByteReader& in, LogIndex index)
    {
        LogEntry entry;
        entry.index = index;
        entry.term = readTerm(in);
        uint64_t const kind = in.number();
        if (kind > static_cast<uint64_t>(EntryKind::Membership))
            in.fail();
        entry.kind = static_cast<EntryKind>(kind);
        entry.payload = std::string(in.text());
        if (entry.kind == EntryKind::Membership)
            decodeMembership(entry.payload); // Throws before anything is stored.
        return entry;
    }

    VoteRequest readVoteRequest(ByteReader& in, Term term)
    {
        VoteRequest message;
        message.term = term;
        message.lastIndex = readIndex(in);
        message.lastTerm = readTerm(in);
        uint64_t const bits = in.number();
        message.isPreVote = bits & firstFlag;
        message.isTransfer = bits & secondFlag;
        return message;
    }

    VoteReply readVoteReply(ByteReader& in, Term term)
    {
        VoteReply message;
        message.term = term;
        message.requestTerm = readTerm(in);
        uint64_t const bits = in.number();
        message.isPreVote = bits & firstFlag;
        message.isGranted = bits & secondFlag;
        return message;
    }

    AppendRequest readAppendRequest(ByteReader& in, Term term)
    {
        AppendRequest message;
        message.term = term;
        message.previousIndex = readIndex(in);
        message.previousTerm = readTerm(in);
        message.commitIndex = readIndex(in);
        message.sentAt = readTime(in);
        uint64_t const count = in.number();
        LogIndex index = message.previousIndex;
        for (uint64_t i = 0; i < count; i++) {
            index = index.next();
            message.entries.push_back(readEntry(in, index));
        }
        return message;
    }

    AppendReply readAppendReply(ByteReader& in, Term term)
    {
        AppendReply message;
        message.term = term;
        message.isSuccess = in.number() & firstFlag;
        message.previousIndex = readIndex(in);
        message.index = readIndex(in);
        message.sentAt = readTime(in);
        return message;
    }

    SnapshotChunk readSnapshotChunk(ByteReader& in, Term term)
    {
        SnapshotChunk message;
        message.term = term;
        message.lastIndex = readIndex(in);
        message.lastTerm = readTerm(in);
        message.takenAt = readTime(in);
        message.offset = in.number();
        message.totalBytes = in.number();
        message.sentAt = readTime(in);
        message.membership = std::string(in.text());
        decodeMembership(message.membership); // Throws before anything is stored.
        message.bytes = std::string(in.text());
        return message;
    }

    SnapshotReply readSnapshotReply(ByteReader& in, Term term)
    {
        SnapshotReply message;
        message.term = term;
        message.lastIndex = readIndex(in);
        message.nextOffset = in.number();
        message.sentAt = readTime(in);
        return message;
    }

    AgreementMessage readMessage(ByteReader& in)
    {
        auto const kind = static_cast<MessageKind>(in.number());
        Term const term = readTerm(in);
        switch (kind) {
        case MessageKind::VoteRequest:
            return readVoteRequest(in, term);
        case MessageKind::VoteReply:
            return readVoteReply(in, term);
        case MessageKind::AppendRequest:
            return readAppendRequest(in, term);
        case MessageKind::AppendReply:
            return readAppendReply(in, term);
        case MessageKind::SnapshotChunk:
            return readSnapshotChunk(in, term);
        case MessageKind::SnapshotReply:
            return readSnapshotReply(in, term);
        case MessageKind::TimeoutNow:
            return TimeoutNow { term };
        }
        in.fail();
    }

} // namespace

std::string encodeMessage(AgreementMessage const& message)
{
    Encoder encoder;
    std::visit(encoder, message);
    return encoder.take();
}

AgreementMessage decodeMessage(std::string_view bytes)
{
    ByteReader in(bytes);
    AgreementMessage message = readMessage(in);
    in.expectEnd();
    return message;
}

} // namespace cornelpond
