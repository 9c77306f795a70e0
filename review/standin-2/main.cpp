// Runs one case of the review: starts the project's processes and the stand-ins, brings the disruption about unless TROUBLE is 0,
// and judges what the stand-ins saw.
//
//   review/build/standin-2 CASE RECORD
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "Executors.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iostream>

namespace review {
namespace {

    enum class Verdict {
        Held = 0,
        Broken = 1,
        CouldNotRun = 2,
    };

    constexpr int finishMs = 14000; ///< finish_s
    constexpr int startMs = 2500; ///< Until the control hosts have elected a leader.

    bool hasTrouble()
    {
        char const* const text = std::getenv("TROUBLE");
        return !text || std::strcmp(text, "0") != 0;
    }

    std::string submissionId(int number)
    {
        char text[20];
        std::snprintf(text, sizeof(text), "%016x", 0xabc0000 + number);
        return text;
    }

    /// Hands the submission in, again after no answer as requesters do. True once it is accepted.
    bool submit(Fleet const& fleet, Record& record, std::string const& prefix, std::string const& id, std::vector<Step> const& steps)
    {
        for (int attempt = 0; attempt < 5; attempt++) {
            HttpReply const reply = fleet.callEntry(1, { "POST", prefix + id, "", submissionBody(steps), "" });
            std::string line = "requester: POST ";
            line.append(prefix).append(id).append(" -> ").append(std::to_string(reply.status));
            record.line(line);
            if (reply.status == 200)
                return true;
            sleepMs(300);
        }
        return false;
    }

    std::string stateOf(Fleet const& fleet, std::string const& prefix, std::string const& id)
    {
        HttpReply const reply = fleet.callEntry(1, { "GET", prefix + id, "", "", "" });
        Json const body = Json::parse(reply.body, nullptr, false);
        return reply.status == 200 && body.is_object() ? body.value("state", "") : std::to_string(reply.status);
    }

    /// The rule LOST as the pages have it: from finish_s after the end of the traffic on, the submissions that are neither completed
    /// nor have a task running at any time in 3 s. `hasRoom`: whether there is capacity for the submission twice over.
    int countLost(Fleet const& fleet, Executors& executors, Record& record, std::string const& prefix, std::vector<std::string> const& ids, std::function<bool(std::string const&)> const& hasRoom)
    {
        constexpr int spanMs = 3000;
        constexpr int stepMs = 100;
        std::map<std::string, bool> isIdle;
        for (auto const& id : ids)
            isIdle[id] = stateOf(fleet, prefix, id) != "completed";
        for (int waited = 0; waited < spanMs; waited += stepMs) {
            bool const isHalfFree = executors.usedShare() < 0.5;
            for (auto& [id, idle] : isIdle)
                idle = idle && isHalfFree && executors.runningTasks(id) == 0 && hasRoom(id);
            sleepMs(stepMs);
        }
        int lost = 0;
        for (auto const& [id, idle] : isIdle) {
            std::string const state = stateOf(fleet, prefix, id);
            bool const isLost = idle && state != "completed";
            std::string line = "judge: ";
            line.append(id).append(" is ").append(state).append(isLost ? ", nothing of it ran for 3 s though there was room: LOST" : "");
            record.line(line);
            lost += isLost;
        }
        return lost;
    }

    /// Check-ins that cannot be read arrive at the control hosts.
    Verdict unreadableCheckIns(Record& record)
    {
        Fleet fleet(record, { 3, 1 });
        fleet.start();
        sleepMs(startMs);
        if (!fleet.configure(configuration(1, Json::array({ route("r-a", "/a/") }))))
            return Verdict::CouldNotRun;
        Executors executors(fleet, record);
        executors.add(0, { "a", "r1" });
        constexpr int rounds = 3;
        Json const checkIn { { "service", "svc" }, { "address", fleet.ip(101) + ":9000" }, { "zone", "z1" }, { "state", "ready" } };
        std::string const method = hasTrouble() ? "OST" : "POST"; // The first byte was lost.
        for (int round = 0; round < rounds; round++) {
            for (int host = 1; host <= fleet.controlHosts(); host++) {
                HttpReply const reply = fleet.callControl(host, { method, "/v1/instances/i-7f3a91c2/heartbeat", "", checkIn.dump(), "" });
                record.line("other writer: " + method + " check-in to control " + std::to_string(host) + " -> " + std::to_string(reply.status));
            }
            submit(fleet, record, "/a/", submissionId(round), { Step() });
            sleepMs(4000);
        }
        std::map<int, int> endsOfHost;
        for (auto const& end : fleet.ends())
            endsOfHost[end.number] += end.role == Role::Control ? 1 : 0;
        int hosts = 0;
        for (auto const& [host, ends] : endsOfHost) {
            record.line("judge: control " + std::to_string(host) + " ended by itself " + std::to_string(ends) + " times");
            hosts += ends >= 3 ? 1 : 0;
        }
        return hosts * 2 >= fleet.controlHosts() ? Verdict::Broken : Verdict::Held;
    }

    /// A queue's policy allows two of 24 executors for each step.
    Verdict policyOfFew(Record& record)
    {
        constexpr int executorCount = 24;
        constexpr int submissions = 24;
        bool const isNarrow = hasTrouble();
        auto const isAllowed = [isNarrow](std::string const& step, int executor) {
            size_t const first = std::hash<std::string>()(step) % executorCount;
            size_t const second = (first + 1 + std::hash<std::string>()(step + "+") % (executorCount - 1)) % executorCount;
            auto const number = static_cast<size_t>(executor);
            return !isNarrow || number == first || number == second;
        };
        Fleet fleet(record, { 3, 1 });
        std::string const adviceIp = fleet.ip(90);
        constexpr int advicePort = 8169;
        constexpr int decisionMs = 20;
        constexpr int periodMs = 2;
        std::mutex oneAtATime;
        HttpServer const policy(adviceIp, advicePort, [&](HttpCall const& call) {
            std::lock_guard<std::mutex> const lock(oneAtATime);
            Json const question = Json::parse(call.body);
            std::string const step = question["step"].get<std::string>();
            Json good = Json::array();
            for (auto const& worker : question["workers"]) {
                std::string const id = worker.get<std::string>();
                if (isAllowed(step, std::stoi(id.substr(2))))
                    good.push_back({ id, Executors::ticket(step, id) });
            }
            sleepMs(decisionMs + periodMs * static_cast<int>(question["workers"].size()));
            record.line("policy: " + step + " on " + question["workers"].dump() + " -> " + good.dump());
            return HttpReply { 200, Json { { "good", good }, { "validity-ms", 3000 } }.dump() };
        });
        fleet.setAdviceAddress(adviceIp + ":" + std::to_string(advicePort));
        fleet.start();
        sleepMs(startMs);
        Json queue = route("r-a", "/a/");
        queue["advice"] = { { "decision-ms", decisionMs }, { "period-ms", periodMs }, { "validity-ms", 3000 } };
        if (!fleet.configure(configuration(1, Json::array({ queue }))))
            return Verdict::CouldNotRun;
        Executors executors(fleet, record);
        executors.requireTickets();
        for (int i = 0; i < executorCount; i++)
            executors.add(i, { "a", "r" + std::to_string(i / 8) });
        sleepMs(4000);
        std::vector<std::string> ids;
        Step step;
        step.count = 2;
        for (int i = 0; i < submissions; i++) {
            ids.push_back(submissionId(i));
            if (!submit(fleet, record, "/a/", ids.back(), { step }))
                return Verdict::CouldNotRun;
            sleepMs(200);
        }
        sleepMs(finishMs);
        // Each of the two executors has room for both tasks.
        int const lost = countLost(fleet, executors, record, "/a/", ids, [&](std::string const& id) {
            int roomy = 0;
            for (int i = 0; i < executorCount; i++)
                roomy += isAllowed(id + ".0.0", i) && executors.freeCpu(i) >= step.count * step.cpu ? 1 : 0;
            return roomy >= 2;
        });
        record.line("judge: " + std::to_string(lost) + " of " + std::to_string(submissions) + " submissions are lost");
        return lost ? Verdict::Broken : Verdict::Held;
    }

    /// One of 21 submissions can never be done: a gang that needs more executors than there are.
    Verdict hopelessGang(Record& record)
    {
        constexpr int executorCount = 8;
        constexpr int submissions = 20;
        Fleet fleet(record, { 3, 1 });
        fleet.start();
        sleepMs(startMs);
        Json urgent = route("r-a", "/a/");
        urgent["priority"] = 0;
        if (!fleet.configure(configuration(1, Json::array({ urgent, route("r-b", "/b/") }))))
            return Verdict::CouldNotRun;
        Executors executors(fleet, record);
        for (int i = 0; i < executorCount; i++)
            executors.add(i, { "a", "r1" });
        sleepMs(4000);
        Step member;
        member.count = executorCount + 1;
        member.antiAffinity = 1;
        member.isGang = true;
        member.estimatedMs = 8000;
        if (hasTrouble() && !submit(fleet, record, "/a/", submissionId(1000), { member }))
            return Verdict::CouldNotRun;
        std::vector<std::string> ids;
        Step step;
        step.count = 2;
        for (int i = 0; i < submissions; i++) {
            ids.push_back(submissionId(i));
            if (!submit(fleet, record, "/b/", ids.back(), { step }))
                return Verdict::CouldNotRun;
            sleepMs(150);
        }
        sleepMs(finishMs);
        int const lost = countLost(fleet, executors, record, "/b/", ids, [&](std::string const&) { return executors.usedShare() < 0.5; });
        record.line("judge: " + std::to_string(lost) + " of " + std::to_string(submissions) + " submissions that can be done are lost");
        return lost ? Verdict::Broken : Verdict::Held;
    }

    /// The only executor of a kind is unhealthy, and starts nothing.
    Verdict pendingCount(Record& record)
    {
        constexpr int executorCount = 8;
        constexpr int submissions = 10;
        constexpr double unhealthySeconds = 6.5;
        constexpr double visibleAndMore = 5.0; ///< visible_ms + 2 s
        Fleet fleet(record, { 3, 1 });
        fleet.start();
        sleepMs(startMs);
        if (!fleet.configure(configuration(1, Json::array({ route("r-a", "/a/") }))))
            return Verdict::CouldNotRun;
        Executors executors(fleet, record);
        for (int i = 0; i < executorCount; i++)
            executors.add(i, { i == 0 ? "b" : "a", "r1" });
        sleepMs(4000);
        if (hasTrouble())
            executors.setUnhealthy(0, true);
        double const since = record.seconds();
        std::vector<std::string> ids;
        Step step;
        step.requirement = "b";
        for (int i = 0; i < submissions; i++) {
            ids.push_back(submissionId(i));
            if (!submit(fleet, record, "/a/", ids.back(), { step }))
                return Verdict::CouldNotRun;
        }
        double const acceptedAt = record.seconds();
        bool isBroken = false;
        while (record.seconds() < since + unhealthySeconds - 0.3) {
            sleepMs(100);
            if (record.seconds() < acceptedAt + visibleAndMore)
                continue;
            HttpReply const reply = fleet.callEntry(1, { "GET", "/a/", "", "", "" });
            Json const body = Json::parse(reply.body, nullptr, false);
            auto const waiting = std::count_if(ids.begin(), ids.end(), [&](auto const& id) { return executors.begunTasks(id) == 0; });
            if (reply.status != 200 || !body.is_object())
                continue;
            auto const pending = body.value("pending", 0);
            record.line("requester: GET /a/ -> pending " + std::to_string(pending) + "; " + std::to_string(waiting) + " have not begun; the first is shown as " + stateOf(fleet, "/a/", ids.front()));
            isBroken = isBroken || pending * 2 < waiting;
        }
        executors.setUnhealthy(0, false);
        sleepMs(4000);
        for (auto const& id : ids)
            record.line("judge: " + id + " is " + stateOf(fleet, "/a/", id));
        record.line(isBroken ? "judge: under half of the submissions that had not begun were given as pending: MIXED" : "judge: pending held");
        return isBroken ? Verdict::Broken : Verdict::Held;
    }

    Json grownConfiguration(int64_t version, int routes)
    {
        Json all = Json::array({ route("r-a", "/a/") });
        for (int i = 0; i < routes; i++)
            all.push_back(route("r-x" + std::to_string(100000 + i), "/x" + std::to_string(100000 + i) + "/"));
        all[0]["timeout-ms"] = 3000 + version % 2;
        return configuration(version, all);
    }

    /// The configuration grows by many routes, and then changes in quick succession.
    Verdict manyConfigurations(Record& record)
    {
        constexpr int growth = 390;
        constexpr int routes = growth * 30;
        constexpr int gapMs = 280;
        constexpr int memoryLimitMb = 256;
        constexpr double stormSeconds = 85;
        Fleet fleet(record, { 3, 1 });
        fleet.setMemoryLimitMb(memoryLimitMb);
        fleet.start();
        sleepMs(startMs);
        int64_t version = 1;
        for (int count = 0; count <= routes; count += growth) {
            if (!fleet.configure(grownConfiguration(version++, count)))
                return Verdict::CouldNotRun;
        }
        record.line("operator: the configuration has " + std::to_string(routes) + " routes, " + std::to_string(grownConfiguration(version, routes).dump().size()) + " bytes");
        int acknowledged = 0;
        double const until = record.seconds() + stormSeconds;
        std::string body = grownConfiguration(version, routes).dump();
        while (record.seconds() < until) {
            double const next = record.seconds() + gapMs / 1000.0;
            if (hasTrouble() || acknowledged < 3) {
                HttpReply const reply = fleet.callControl(1 + static_cast<int>(version % 3), { "POST", "/v1/configuration/replace", "", body, "" }, 2000);
                record.line("operator: version " + std::to_string(version) + " -> " + std::to_string(reply.status) + "; peak " + std::to_string(fleet.peakMemoryMb()) + " MB");
                if (reply.status == 200) {
                    acknowledged++;
                    version++;
                    body = grownConfiguration(version, routes).dump();
                }
            }
            sleepMs(std::max(0, static_cast<int>((next - record.seconds()) * 1000)));
        }
        std::map<int, int> endsOfHost;
        for (auto const& end : fleet.ends())
            endsOfHost[end.number] += end.role == Role::Control ? 1 : 0;
        int hosts = 0;
        for (auto const& [host, ends] : endsOfHost) {
            record.line("judge: control " + std::to_string(host) + " ended " + std::to_string(ends) + " times for its memory");
            hosts += ends >= 3 ? 1 : 0;
        }
        record.line("judge: " + std::to_string(acknowledged) + " changes acknowledged, peak " + std::to_string(fleet.peakMemoryMb()) + " MB");
        return hosts * 2 >= fleet.controlHosts() ? Verdict::Broken : Verdict::Held;
    }

    /// An executor starts again as one of another kind, and checks in a heartbeat later.
    Verdict otherKind(Record& record)
    {
        constexpr int executorCount = 6;
        Fleet fleet(record, { 3, 1 });
        fleet.start();
        sleepMs(startMs);
        if (!fleet.configure(configuration(1, Json::array({ route("r-a", "/a/") }))))
            return Verdict::CouldNotRun;
        Executors executors(fleet, record);
        for (int i = 0; i < executorCount; i++)
            executors.add(i, { i < 3 ? "a" : "b", "r1" });
        sleepMs(4000);
        if (hasTrouble()) {
            executors.crash(0);
            sleepMs(300);
            executors.add(0, { "b", "r1" }, 1400);
        }
        Step step;
        step.count = 6;
        step.cpu = 4000;
        step.requirement = "a";
        for (int i = 0; i < 30; i++) {
            submit(fleet, record, "/a/", submissionId(i), { step });
            sleepMs(100);
        }
        sleepMs(3000);
        record.line("judge: " + std::to_string(executors.startsOnOtherKind()) + " starts on executors without the required label");
        return executors.startsOnOtherKind() ? Verdict::Broken : Verdict::Held;
    }

    /// One of eight executors fails all that it starts.
    Verdict failingGangs(Record& record)
    {
        constexpr int executorCount = 8;
        constexpr int submissions = 10;
        constexpr size_t maxAttempts = 3;
        constexpr int greyMs = 6500;
        Fleet fleet(record, { 3, 1 });
        fleet.start();
        sleepMs(startMs);
        Json queue = route("r-a", "/a/");
        queue["max-attempts"] = maxAttempts;
        if (!fleet.configure(configuration(1, Json::array({ queue }))))
            return Verdict::CouldNotRun;
        Executors executors(fleet, record);
        for (int i = 0; i < executorCount; i++)
            executors.add(i, { "a", "r1" });
        sleepMs(4000);
        executors.setGrey(0, hasTrouble());
        std::vector<std::string> ids;
        Step step;
        step.count = 4;
        step.isGang = true;
        for (int i = 0; i < submissions; i++) {
            ids.push_back(submissionId(i));
            if (!submit(fleet, record, "/a/", ids.back(), { step }))
                return Verdict::CouldNotRun;
            sleepMs(greyMs / submissions);
        }
        executors.setGrey(0, false);
        sleepMs(finishMs);
        int wronglyFailed = 0;
        for (auto const& id : ids) {
            std::string const state = stateOf(fleet, "/a/", id);
            size_t const runs = executors.failedRuns(id);
            bool const isWrong = state == "failed" && runs < maxAttempts;
            std::string line = "judge: ";
            line.append(id).append(" is ").append(state).append("; its gang has failed in ").append(std::to_string(runs)).append(" runs").append(isWrong ? ": LOST" : "");
            record.line(line);
            wronglyFailed += isWrong ? 1 : 0;
        }
        record.line("judge: " + std::to_string(wronglyFailed) + " of " + std::to_string(submissions) + " submissions are shown as failed without cause");
        return wronglyFailed ? Verdict::Broken : Verdict::Held;
    }

    Verdict runCase(std::string const& name, Record& record)
    {
        if (name == "unreadable-check-ins")
            return unreadableCheckIns(record);
        if (name == "policy-of-few")
            return policyOfFew(record);
        if (name == "hopeless-gang")
            return hopelessGang(record);
        if (name == "pending-count")
            return pendingCount(record);
        if (name == "failing-gangs")
            return failingGangs(record);
        if (name == "many-configurations")
            return manyConfigurations(record);
        if (name == "other-kind")
            return otherKind(record);
        std::cerr << "unknown case " << name << "\n";
        return Verdict::CouldNotRun;
    }

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: standin-2 CASE RECORD\n";
        return 2;
    }
    auto verdict = review::Verdict::CouldNotRun;
    try {
        review::Record record(argv[2]);
        verdict = review::runCase(argv[1], record);
        record.line("verdict: " + std::to_string(static_cast<int>(verdict)));
    } catch (std::exception const& error) {
        std::cerr << "standin-2: " << error.what() << "\n";
    }
    // Threads of the stand-ins may still wait for their connections.
    std::_Exit(static_cast<int>(verdict));
}
