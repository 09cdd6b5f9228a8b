"""Case: a backend dies; what it had of a queue goes to the others, and they acknowledge it without running it."""

import asyncio
import collections
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import broker as amqp  # noqa: E402
import standins as s  # noqa: E402

BACKENDS = 6           # one of them dies: 17% of the fleet
PUBLISH_SECONDS = 40
DIES_AT, BACK_AFTER = 15, 10
METHOD = {"Name": "stock-update", "AimMs": 2400, "DeadlineMs": 5900, "Effect": "free", "Worth": 1}
ITEMS, LEVELS = 10, 3  # messages say how many pieces of an item are left; the same level comes again and again

OPERATOR_FILE = """[broker]
address 127.0.0.1:{port}
user {name}
password-file {password}

[queue stock-updates]
method stock-update
prefetch 64
bound 30s
"""


class Node:
    """A backend with its agent. The ledgers are those of its present life."""

    def __init__(self, record, work, name, broker, naming, chance):
        self.name, self.passed, self.acked = name, collections.Counter(), collections.Counter()

        async def plan(run):
            await asyncio.sleep(chance.uniform(0.29, 0.52))
            return b"done"

        self.agent = s.Agent(record, name, plan)
        self.agent.ended = self.ended
        self.record, self.work, self.broker, self.naming = record, work, broker, naming

    def ended(self, run, end):
        if end == "PASS":
            self.passed[run.body] += 1

    async def prepare(self):
        await self.agent.start()
        path = os.path.join(self.work, f"{self.name}.conf")
        password = os.path.join(self.work, f"{self.name}.password")
        with open(os.open(password, os.O_CREAT | os.O_WRONLY, 0o600), "w") as f:
            f.write("secret\n")
        with open(path, "w") as f:
            f.write(OPERATOR_FILE.format(port=self.broker.port, name=self.name, password=password))
        config = s.config(self.name, s.free_port(), self.agent.port, self.naming.port, s.settings([METHOD], cores=6))
        self.backend = s.Backend(self.work, self.record, config, path)

    def new_life(self):
        self.agent.reset()
        self.passed.clear()
        self.acked.clear()


async def case(record, work, trouble, backends):
    chance = random.Random(46)
    naming = s.NameService(record)
    await naming.start()
    nodes, unrun, settled = {}, [], collections.Counter()
    published, passed = collections.Counter(), collections.Counter()

    def on_settled(consumer, message, how):
        settled[how] += 1
        node = nodes[consumer.user]
        if how == "acked":
            node.acked[message.body] += 1
            if node.acked[message.body] > node.passed[message.body]:
                node.acked[message.body] -= 1
                unrun.append(message.number)
                record.write(f"LOST: {node.name} acknowledges message {message.number} ({message.body.decode()}), "
                             f"but of {node.passed[message.body]} runs with this body it has acknowledged "
                             f"{node.acked[message.body]} before")

    broker = amqp.Broker(record, on_settled)
    await broker.start()
    for number in range(1, BACKENDS + 1):
        node = nodes[f"n{number}"] = Node(record, work, f"n{number}", broker, naming, chance)
        await node.prepare()
        backends.append(node.backend)
        node.backend.start()
    loop = asyncio.get_running_loop()
    limit = loop.time() + 15
    while len(broker.consumers) < BACKENDS:
        if loop.time() > limit:
            raise s.CannotRun(f"{len(broker.consumers)} backends consume")
        await asyncio.sleep(0.1)

    start, died, back = loop.time(), False, False
    victim = nodes["n1"]
    while loop.time() < start + PUBLISH_SECONDS:
        for _ in range(24):
            body = f"item {chance.randrange(ITEMS)}: {chance.randrange(LEVELS)} left".encode()
            published[body] += 1
            broker.publish(body)
        await asyncio.sleep(0.25 if chance.random() < 0.5 else 0.55)
        if trouble and not died and loop.time() > start + DIES_AT and any(
                c.user == "n1" and c.unsettled for c in broker.consumers):
            died = True
            victim.backend.kill(signal.SIGKILL)
            victim.backend.process.wait()
            for body, count in victim.passed.items():
                passed[body] += count
            victim.new_life()
        if died and not back and loop.time() > start + DIES_AT + BACK_AFTER:
            back = True
            victim.backend.start()
    limit = loop.time() + 30
    while broker.queue or any(c.unsettled for c in broker.consumers):
        if loop.time() > limit:
            raise s.CannotRun("the queue does not run empty")
        await asyncio.sleep(0.2)
    for node in nodes.values():
        for body, count in node.passed.items():
            passed[body] += count
        node.backend.kill(signal.SIGTERM)
    short = {body.decode(): published[body] - passed[body] for body in published if passed[body] < published[body]}
    record.say(f"{sum(published.values())} messages published, settled: {dict(settled)}, runs that passed: "
               f"{sum(passed.values())}")
    record.say(f"acknowledged without a run: {len(unrun)}, the messages {unrun}")
    record.say(f"bodies with fewer runs in the whole fleet than messages: {short}")
    return len(unrun)


s.play(FOLDER, case)
