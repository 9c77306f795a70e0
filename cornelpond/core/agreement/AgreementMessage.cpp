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
            this->head(MessageKind::VoteRequest, message.term);
            this->out.number(message.lastIndex.value());
            this->out.number(message.lastTerm.value());
            this->out.number(flags(message.isPreVote, message.isTransfer));
        }

        void operator()(VoteReply const& message)
        {
            this->head(MessageKind::VoteReply, message.term);
            this->out.number(message.requestTerm.value());
            this->out.number(flags(message.isPreVote, message.isGranted));
        }

        void operator()(AppendRequest const& message)
        {
            this->head(MessageKind::AppendRequest, message.term);
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
            this->head(MessageKind::AppendReply, message.term);
            this->out.number(flags(message.isSuccess, false));
            this->out.number(message.previousIndex.value());
            this->out.number(message.index.value());
            this->time(message.sentAt);
        }

        void operator()(SnapshotChunk const& message)
        {
            this->head(MessageKind::SnapshotChunk, message.term);
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
            this->head(MessageKind::SnapshotReply, message.term);
            this->out.number(message.lastIndex.value());
            this->out.number(message.nextOffset);
            this->time(message.sentAt);
        }

        void operator()(TimeoutNow const& message) { this->head(MessageKind::TimeoutNow, message.term); }

        std::string take() { return this->out.take(); }

    private:
        void head(MessageKind kind, Term term)
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

    Term takeTerm(ByteReader& in)
    {
        return Term(in.number());
    }

    LogIndex takeIndex(ByteReader& in)
    {
        return LogIndex(in.number());
    }

    TimePoint takeTime(ByteReader& in)
    {
        return TimePoint::fromMicroseconds(static_cast<int64_t>(in.number()));
    }

    LogEntry takeEntry(ByteReader& in, LogIndex index)
    {
        LogEntry entry;
        entry.index = index;
        entry.term = takeTerm(in);
        uint64_t const kind = in.number();
        if (kind > static_cast<uint64_t>(EntryKind::Membership))
            in.fail();
        entry.kind = static_cast<EntryKind>(kind);
        entry.payload = std::string(in.text());
        if (entry.kind == EntryKind::Membership)
            decodeMembership(entry.payload); // Throws before anything is stored.
        return entry;
    }

    VoteRequest takeVoteRequest(ByteReader& in, Term term)
    {
        VoteRequest message;
        message.term = term;
        message.lastIndex = takeIndex(in);
        message.lastTerm = takeTerm(in);
        uint64_t const bits = in.number();
        message.isPreVote = bits & firstFlag;
        message.isTransfer = bits & secondFlag;
        return message;
    }

    VoteReply takeVoteReply(ByteReader& in, Term term)
    {
        VoteReply message;
        message.term = term;
        message.requestTerm = takeTerm(in);
        uint64_t const bits = in.number();
        message.isPreVote = bits & firstFlag;
        message.isGranted = bits & secondFlag;
        return message;
    }

    AppendRequest takeAppendRequest(ByteReader& in, Term term)
    {
        AppendRequest message;
        message.term = term;
        message.previousIndex = takeIndex(in);
        message.previousTerm = takeTerm(in);
        message.commitIndex = takeIndex(in);
        message.sentAt = takeTime(in);
        uint64_t const count = in.number();
        LogIndex index = message.previousIndex;
        for (uint64_t i = 0; i < count; i++) {
            index = index.next();
            message.entries.push_back(takeEntry(in, index));
        }
        return message;
    }

    AppendReply takeAppendReply(ByteReader& in, Term term)
    {
        AppendReply message;
        message.term = term;
        message.isSuccess = in.number() & firstFlag;
        message.previousIndex = takeIndex(in);
        message.index = takeIndex(in);
        message.sentAt = takeTime(in);
        return message;
    }

    SnapshotChunk takeSnapshotChunk(ByteReader& in, Term term)
    {
        SnapshotChunk message;
        message.term = term;
        message.lastIndex = takeIndex(in);
        message.lastTerm = takeTerm(in);
        message.takenAt = takeTime(in);
        message.offset = in.number();
        message.totalBytes = in.number();
        message.sentAt = takeTime(in);
        message.membership = std::string(in.text());
        decodeMembership(message.membership); // Throws before anything is stored.
        message.bytes = std::string(in.text());
        return message;
    }

    SnapshotReply takeSnapshotReply(ByteReader& in, Term term)
    {
        SnapshotReply message;
        message.term = term;
        message.lastIndex = takeIndex(in);
        message.nextOffset = in.number();
        message.sentAt = takeTime(in);
        return message;
    }

    AgreementMessage takeMessage(ByteReader& in)
    {
        auto const kind = static_cast<MessageKind>(in.number());
        Term const term = takeTerm(in);
        switch (kind) {
        case MessageKind::VoteRequest:
            return takeVoteRequest(in, term);
        case MessageKind::VoteReply:
            return takeVoteReply(in, term);
        case MessageKind::AppendRequest:
            return takeAppendRequest(in, term);
        case MessageKind::AppendReply:
            return takeAppendReply(in, term);
        case MessageKind::SnapshotChunk:
            return takeSnapshotChunk(in, term);
        case MessageKind::SnapshotReply:
            return takeSnapshotReply(in, term);
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
    AgreementMessage message = takeMessage(in);
    in.expectEnd();
    return message;
}

} // namespace cornelpond
