"""A stand-in broker of AMQP 0-9-1, written from the published protocol: one queue, any number of consumers.

It delivers each message to one consumer at a time, within the prefetch. What a consumer had and did not settle when
its connection ended goes back to the head of the queue and is marked `redelivered`, as the protocol has it.
"""

import asyncio
import collections
import struct

import standins as s

FRAME_END = b"\xce"


def short(text):
    data = text.encode()
    return bytes([len(data)]) + data


def method(channel, class_id, method_id, arguments=b""):
    return frame(1, channel, struct.pack(">HH", class_id, method_id) + arguments)


def frame(kind, channel, payload):
    return struct.pack(">BHI", kind, channel, len(payload)) + payload + FRAME_END


class Message:
    def __init__(self, number, body, message_id):
        self.number, self.body, self.message_id = number, body, message_id
        self.redelivered = False
        self.history = []


class Consumer:
    """A connection; it consumes on at most one channel."""

    def __init__(self, number, writer):
        self.number, self.writer, self.user = number, writer, "?"
        self.channel, self.tag, self.prefetch = None, None, 0
        self.next_tag, self.unsettled = 1, collections.OrderedDict()


class Broker:
    def __init__(self, record, on_settled):
        self.record, self.on_settled = record, on_settled
        self.queue, self.consumers, self.published, self.connections = collections.deque(), [], 0, 0
        self.turn = 0

    async def start(self):
        self.server, self.port = await s.serve(self.handle)

    def publish(self, body, message_id=None):
        self.published += 1
        message = Message(self.published, body, message_id)
        self.record.write(f"broker: message {message.number} is published: {body.decode()}")
        self.queue.append(message)
        self.dispatch()
        return message

    def dispatch(self):
        """Hands messages to consumers in turn, within their prefetch."""
        while self.queue:
            ready = [c for c in self.consumers if c.tag is not None and len(c.unsettled) < c.prefetch]
            if not ready:
                return
            self.turn += 1
            consumer = ready[self.turn % len(ready)]
            message = self.queue.popleft()
            tag = consumer.next_tag
            consumer.next_tag += 1
            consumer.unsettled[tag] = message
            message.history.append(consumer.number)
            self.record.write(f"broker: message {message.number} is delivered on connection {consumer.number}"
                              f"{', redelivered' if message.redelivered else ''}")
            properties = struct.pack(">H", 0x0080) + short(message.message_id) if message.message_id else b"\0\0"
            consumer.writer.write(
                method(consumer.channel, 60, 60, short(consumer.tag) + struct.pack(">QB", tag, message.redelivered)
                       + short("") + short("stock-updates"))
                + frame(2, consumer.channel, struct.pack(">HHQ", 60, 0, len(message.body)) + properties)
                + frame(3, consumer.channel, message.body))

    def requeue(self, messages):
        for message in reversed(messages):
            message.redelivered = True
            self.queue.appendleft(message)

    async def handle(self, reader, writer):
        await reader.readexactly(8)
        writer.write(method(0, 10, 10, b"\0\x09" + struct.pack(">I", 0) + struct.pack(">I", 5) + b"PLAIN"
                            + struct.pack(">I", 5) + b"en_US"))
        self.connections += 1
        consumer = Consumer(self.connections, writer)
        self.record.write(f"broker: connection {consumer.number} is opened")
        beat = asyncio.create_task(self.heartbeats(writer))
        try:
            while True:
                kind, channel, length = struct.unpack(">BHI", await reader.readexactly(7))
                payload = (await reader.readexactly(length + 1))[:-1]
                if kind == 1:
                    class_id, method_id = struct.unpack(">HH", payload[:4])
                    if not self.method(consumer, writer, channel, (class_id, method_id), payload[4:]):
                        await writer.drain()
                        return
        finally:
            beat.cancel()
            if consumer in self.consumers:
                self.consumers.remove(consumer)
            left = list(consumer.unsettled.values())
            consumer.unsettled.clear()
            self.record.write(f"broker: connection {consumer.number} has ended, {len(left)} messages go back: "
                              f"{[message.number for message in left]}")
            self.requeue(left)
            self.dispatch()

    async def heartbeats(self, writer):
        while True:
            await asyncio.sleep(3)
            writer.write(frame(8, 0, b""))

    def method(self, consumer, writer, channel, kind, arguments):
        if kind == (10, 11):  # connection.start-ok, whose response names the user
            consumer.user = arguments.split(b"PLAIN", 1)[1][4:].split(b"\0")[1].decode()
            self.record.write(f"broker: connection {consumer.number} is of {consumer.user}")
            writer.write(method(0, 10, 30, struct.pack(">HIH", 2047, 131072, 10)))
        elif kind == (10, 40):  # connection.open
            writer.write(method(0, 10, 41, short("")))
        elif kind == (10, 50):  # connection.close
            writer.write(method(0, 10, 51))
            return False
        elif kind == (20, 10):  # channel.open
            writer.write(method(channel, 20, 11, struct.pack(">I", 0)))
        elif kind == (20, 40):  # channel.close
            writer.write(method(channel, 20, 41))
        elif kind == (85, 10):  # confirm.select
            writer.write(method(channel, 85, 11))
        elif kind == (60, 10):  # basic.qos
            consumer.prefetch = struct.unpack(">IHB", arguments)[1]
            writer.write(method(channel, 60, 11))
        elif kind == (60, 20):  # basic.consume
            at = 2 + 1 + arguments[2]
            consumer.tag = arguments[at + 1:at + 1 + arguments[at]].decode()
            consumer.channel = channel
            writer.write(method(channel, 60, 21, short(consumer.tag)))
            if consumer not in self.consumers:
                self.consumers.append(consumer)
            self.dispatch()
        elif kind == (60, 30):  # basic.cancel
            tag, consumer.tag = consumer.tag, None
            writer.write(method(channel, 60, 31, short(tag)))
        elif kind in ((60, 80), (60, 90)):  # basic.ack, basic.reject
            tag, flag = struct.unpack(">QB", arguments)
            message = consumer.unsettled.pop(tag, None)
            if message is None:
                self.record.write(f"broker: connection {consumer.number} settles tag {tag} twice")
                return False
            how = "acked" if kind == (60, 80) else ("requeued" if flag else "rejected")
            self.record.write(f"broker: message {message.number} is {how} on connection {consumer.number}")
            if how == "requeued":
                self.requeue([message])
            else:
                self.on_settled(consumer, message, how)
            self.dispatch()
        return True
