"""Stand-in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import base64
import struct

from wire import Server, free_port


class Topic:
    """A topic with one partition."""

    def __init__(self):
        self.records = []
        self.producers = {}
        self.changed = asyncio.Event()

    def extend(self, records):
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()


class Producer:
    """Epoch of a producer and its last five appends."""

    def __init__(self):
        self.epoch = -1
        self.next = None
        self.answers = {}


def split_records(body):
    """Return the records of an append, or None if it is malformed."""
    records = []
    at = 0
    while at < len(body):
        if at + 4 > len(body):
            return None
        (size,) = struct.unpack_from(">I", body, at)
        record = body[at + 4:at + 4 + size]
        if len(record) != size:
            return None
        records.append(record)
        at += 4 + size
    return records


class Store:
    """Keeps the topics in memory. All records are retained."""

    ANSWER_S = 0.004

    def __init__(self):
        self.topics = {}
        self.server = Server("127.0.0.1", free_port(), self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a record as the operator does."""
        record = bytes([len(key)]) + key.encode() + value
        self.topic(topic).extend([record])

    async def handle(self, request):
        handlers = {
            "/api/log-append": self.append,
            "/api/log-read": self.read,
            "/api/log-newest": self.newest,
        }
        handler = handlers.get(request.path)
        if handler is None:
            return 404, {}
        answer = await handler(request)
        await asyncio.sleep(self.ANSWER_S)
        return answer

    async def append(self, request):
        topic = self.topic(request.query["Topic"])
        records = split_records(request.body)
        end = len(topic.records)
        if records is None:
            return 400, {}
        if "At" in request.query and int(request.query["At"]) != end:
            return 412, {"End": end}
        if "Producer" in request.query:
            return self.append_of_producer(topic, request.query, records)
        topic.extend(records)
        return 200, {"Offset": end, "End": len(topic.records)}

    def append_of_producer(self, topic, query, records):
        producer = topic.producers.setdefault(query["Producer"], Producer())
        epoch = int(query["epoch"])
        end = len(topic.records)
        if epoch < producer.epoch:
            return 409, {"Reason": "fenced"}
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.next = None
            producer.answers = {}
        if not records:
            return 200, {"Offset": end, "End": end}
        sequence = int(query["Sequence"])
        if sequence in producer.answers:
            return 200, producer.answers[sequence]
        if producer.next is not None and sequence != producer.next:
            return 409, {"Reason": "seq", "Sequence": producer.next}
        topic.extend(records)
        answer = {"Offset": end, "End": len(topic.records)}
        producer.next = sequence + 1
        producer.answers[sequence] = answer
        producer.answers.pop(sequence - 5, None)
        return 200, answer

    async def read(self, request):
        topic = self.topic(request.query["Topic"])
        start = int(request.query["From"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1000
        if start >= len(topic.records) and wait_s > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            if len(out) + len(record) > 1024 * 1024:
                break
            out += struct.pack(">I", len(record)) + record
        return 200, out

    async def newest(self, request):
        topic = self.topic(request.query["Topic"])
        newest = {}
        for offset, record in enumerate(topic.records):
            if record and record[0] < len(record):
                key = record[1:1 + record[0]].decode()
                newest[key] = (record[1 + record[0]:], offset)
        keys = sorted(
            key for key, (value, _) in newest.items()
            if value and key > request.query.get("After", "")
        )
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(newest[key][0]).decode(),
                "Offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        return 200, {
            "items": items,
            "HasMore": len(keys) > 500,
            "End": len(topic.records),
        }
