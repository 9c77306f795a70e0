#include "cornelpond/core/jobs/JobCommand.h"

namespace cornelpond {

namespace {

    /// First number of a stored command or update. The numbers never change meaning.
    enum class Tag : uint64_t {
        Submit = 1,
        Cancel = 2,
        Update = 3,
        Start = 4,
        End = 5,
        OpenOccurrence = 6,
        Remove = 7,
    };

    /// Stands for MarkBegun: versions that lack it ignore an occurrence that no job has, and could not read a new tag.
    constexpr uint32_t begunMarkOccurrence = UINT32_MAX;

    void write(ByteWriter& out, Tag tag)
    {
        out.number(static_cast<uint64_t>(tag));
    }

    template <typename Id>
    Id readId(ByteReader& in)
    {
        return Id(std::string(in.text()));
    }

    void write(ByteWriter& out, CommitStart const& start)
    {
        write(out, Tag::Start);
        write(out, start.task);
        out.number(start.attempt.value());
        out.text(start.worker.value());
    }

    void write(ByteWriter& out, CommitEnd const& end)
    {
        write(out, Tag::End);
        write(out, end.task);
        out.number(end.attempt.value());
        out.text(end.worker.value());
        out.number(static_cast<uint64_t>(end.end));
        out.text(end.checkpoint);
    }

    void write(ByteWriter& out, OpenOccurrence const& open)
    {
        write(out, Tag::OpenOccurrence);
        out.text(open.job.value());
        out.number(open.occurrence);
    }

    void write(ByteWriter& out, MarkBegun const& mark)
    {
        write(out, OpenOccurrence { mark.job, begunMarkOccurrence });
    }

    void write(ByteWriter& out, RemoveJob const& remove)
    {
        write(out, Tag::Remove);
        out.text(remove.job.value());
    }

    void write(ByteWriter& out, SubmitJob const& submit)
    {
        write(out, Tag::Submit);
        write(out, submit.job);
        out.text(submit.queue.value());
        out.number(static_cast<uint64_t>(submit.acceptedWallMs));
    }

    void write(ByteWriter& out, CancelJob const& cancel)
    {
        write(out, Tag::Cancel);
        out.text(cancel.job.value());
        out.number(static_cast<uint64_t>(cancel.wallMs));
    }

    void write(ByteWriter& out, UpdateTasks const& update)
    {
        write(out, Tag::Update);
        out.number(static_cast<uint64_t>(update.wallMs));
        out.number(update.updates.size());
        for (auto const& taskUpdate : update.updates)
            std::visit([&](auto const& value) { write(out, value); }, taskUpdate);
    }

    TaskUpdate readUpdate(ByteReader& in)
    {
        switch (static_cast<Tag>(in.number())) {
        case Tag::Start: {
            CommitStart start;
            start.task = readTaskRef(in);
            start.attempt = AttemptNumber(in.number());
            start.worker = readId<WorkerId>(in);
            return start;
        }
        case Tag::End: {
            CommitEnd end;
            end.task = readTaskRef(in);
            end.attempt = AttemptNumber(in.number());
            end.worker = readId<WorkerId>(in);
            end.end = static_cast<AttemptEnd>(in.number());
            end.checkpoint = in.text();
            return end;
        }
        case Tag::OpenOccurrence: {
            OpenOccurrence open;
            open.job = readId<JobId>(in);
            open.occurrence = static_cast<uint32_t>(in.number());
            if (open.occurrence == begunMarkOccurrence)
                return MarkBegun { open.job };
            return open;
        }
        case Tag::Remove:
            return RemoveJob { readId<JobId>(in) };
        default:
            in.fail();
        }
    }

    JobCommand readCommand(ByteReader& in)
    {
        switch (static_cast<Tag>(in.number())) {
        case Tag::Submit: {
            SubmitJob submit;
            submit.job = readJobSpec(in);
            submit.queue = readId<QueueId>(in);
            submit.acceptedWallMs = static_cast<int64_t>(in.number());
            return submit;
        }
        case Tag::Cancel: {
            CancelJob cancel;
            cancel.job = readId<JobId>(in);
            cancel.wallMs = static_cast<int64_t>(in.number());
            return cancel;
        }
        case Tag::Update: {
            UpdateTasks update;
            update.wallMs = static_cast<int64_t>(in.number());
            for (uint64_t remaining = in.number(); remaining; remaining--)
                update.updates.push_back(readUpdate(in));
            return update;
        }
        default:
            in.fail();
        }
    }

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Done:
        return "done";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Stopped:
        return "stopped";
    case AttemptEnd::LeaseExpired:
        return "leaseExpired";
    case AttemptEnd::PeerEnded:
        return "peerEnded";
    case AttemptEnd::GangIncomplete:
        return "gangIncomplete";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::Refused:
        return "refused";
    }
    return "unknown";
}

bool isEndOfRun(AttemptEnd end)
{
    return end != AttemptEnd::Lost && end != AttemptEnd::Refused;
}

std::string encodeJobCommand(JobCommand const& command)
{
    ByteWriter out;
    std::visit([&](auto const& value) { write(out, value); }, command);
    return out.take();
}

JobCommand decodeJobCommand(std::string_view bytes)
{
    ByteReader in(bytes);
    JobCommand command = readCommand(in);
    in.expectEnd();
    return command;
}

} // namespace cornelpond
