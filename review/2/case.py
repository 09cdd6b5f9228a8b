"""Case: after a break of the link to the agent, a run gets the reply to an earlier call as the reply to its next call."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

SECONDS = 80
BREAK_EVERY = 2.5
# Notices arrive in two pieces, with the step of the settings between them.
STEP = 0.004
# `till-price` of the site, whose figures these are. It calls 1 to 2 times on average: here 1, 2 or 3 times.
RATE = 22
WORK = (0.17, 0.30)
METHOD = {"Name": "till-price", "AimMs": 1400, "DeadlineMs": 3600, "Effect": "free", "Worth": 3}


class BreakingAgent(s.Agent):
    """Writes its notices in pieces, and resets the link mid-notice now and then. No command that it read is lost."""

    chance = random.Random(7)
    break_next = False
    broken_at = float("-inf")

    async def write_output(self, writer, output):
        while True:
            data = await output.get()
            cut = self.chance.randrange(1, len(data))
            writer.write(data[:cut])
            if self.break_next:
                self.break_next = False
                await asyncio.sleep(0.001)
                self.record.write(f"agent {self.name}: RESETS the link mid-notice")
                self.broken_at = asyncio.get_running_loop().time()
                self.writer = None
                writer.transport.abort()
                return
            await asyncio.sleep(STEP)
            writer.write(data[cut:])


async def case(record, work, trouble, backends):
    chance = random.Random(46)
    naming = s.NameService(record)
    await naming.start()
    records = s.Records(record, lambda: chance.uniform(0.005, 0.015))
    await records.start()
    wrong, certain = [], []
    loop = asyncio.get_running_loop()

    async def plan(run):
        seen, reply_at = [], float("inf")
        calls = chance.randrange(1, 4)
        work = chance.uniform(*WORK) / (calls + 1)
        for number in range(1, calls + 1):
            await asyncio.sleep(work)
            body = f"call {number} of {run.id}".encode()
            reply = await agent.call(run, body)
            if reply is not None and reply != records.reply(run.id, body):
                wrong.append(run.id)
                # The page: only commands from the last 50 ms before a break may be lost with it.
                before_break = (agent.broken_at - reply_at) * 1000
                certain.extend([run.id] if before_break > 50 else [])
                record.write(f"WRONG: run {run.id} waits for {body.decode()} and is given: {reply.decode()}; "
                             f"its last reply had come {before_break:.0f} ms before the break")
            seen.append(reply or b"-")
            reply_at = loop.time()
        await asyncio.sleep(work)
        return b" | ".join(seen)

    agent = BreakingAgent(record, "n1", plan)
    await agent.start()
    port = s.free_port()
    settings = s.settings([METHOD], cores=6, Below="tier", ClassCalls=[True], ClassSkipWorth=[0.3])
    backend = s.Backend(work, record, s.config("n1", port, agent.port, naming.port, settings, records.port))
    backends.append(backend)
    backend.start()
    sidecar = s.Sidecar(record, 1, port)
    await sidecar.connect()
    await asyncio.sleep(1.0)
    answers = {"served": 0, "refused": 0, "failed": 0, "lost": 0}
    foreign = []

    async def request(number):
        id = f"{chance.getrandbits(64):016x}"
        born = s.unix_ms()
        answer = await sidecar.request({"route": "till-price", "trace": id, "born": born, "client": 1, "patience": 3600,
                                        "size": "20.0", "order": "0.5"}, f"request {number}".encode())
        answers[answer.name] += 1
        record.write(f"sidecar: {id} {answer.name} after {s.unix_ms() - born} ms: {answer.body.decode()}")
        if answer.code == 0:
            parts = answer.body.split(b" | ")
            own = [records.reply(id, f"call {n} of {id}".encode()) for n in range(1, len(parts) + 1)]
            if any(part != b"-" and part != expected for part, expected in zip(parts, own)):
                foreign.append(id)

    tasks = []
    end, next_break, number, breaks = loop.time() + SECONDS, loop.time() + BREAK_EVERY, 0, 0
    while loop.time() < end:
        number += 1
        tasks.append(asyncio.create_task(request(number)))
        if trouble and loop.time() >= next_break:
            next_break += BREAK_EVERY
            breaks += 1
            agent.break_next = True
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    backend.kill(15)
    record.say(f"{number} requests: {answers}; {breaks} breaks of the agent's link")
    record.say(f"replies given to a run that waited for another call: {len(wrong)}, of them {len(certain)} to a run "
               f"whose reply had come more than 50 ms before the break; answers 'served' with such a reply: "
               f"{len(foreign)}")
    if answers["served"] < number * 0.7:
        raise s.CannotRun("too little was served")
    return len(wrong)


s.play(FOLDER, case)
