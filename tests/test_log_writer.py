"""Log lines reach the reader, and a stalled reader does not block requests."""

import json
import os
import threading

from gooseberrymux import log_writer
from gooseberrymux.clock import Clock, ManualClock
from gooseberrymux.log_writer import MAX_LINES_PER_S, MAX_QUEUED_LINES, LogWriter


def read_lines(descriptor):
    with os.fdopen(descriptor, "rb") as stream:
        return [json.loads(line) for line in stream]


def test_lines_are_written_in_order_and_flushed_at_the_end():
    reader, writer_end = os.pipe()
    writer = LogWriter(clock=Clock(), descriptor=writer_end)
    writer.start()
    for number in range(50):
        writer.enqueue({"message_type": "a", "number": number})
    writer.close()
    os.close(writer_end)
    assert [line["number"] for line in read_lines(reader)] == list(range(50))


def test_a_reader_that_stalls_blocks_no_request_and_loses_counted_lines():
    reader, writer_end = os.pipe()
    clock = ManualClock()
    writer = LogWriter(clock=clock, descriptor=writer_end)
    # The pipe is not read yet, and the writer thread that would block on it is not
    # started, so the queue fills up.
    for _ in range(MAX_QUEUED_LINES // MAX_LINES_PER_S + 2):
        for _ in range(MAX_LINES_PER_S):
            writer.enqueue({"message_type": "a"})
        clock.advance(1_000.0)
    writer.start()
    closer = threading.Thread(target=writer.close)
    closer.start()
    lines = []
    with os.fdopen(reader, "rb") as stream:
        while not lines or lines[-1]["message_type"] != "journal.dropped":
            lines.append(json.loads(stream.readline()))
    closer.join()
    os.close(writer_end)
    given = (MAX_QUEUED_LINES // MAX_LINES_PER_S + 2) * MAX_LINES_PER_S
    assert len(lines) - 1 == MAX_QUEUED_LINES
    assert lines[-1]["lines"] == given - MAX_QUEUED_LINES


def test_a_flood_of_lines_is_cut_to_the_rate():
    reader, writer_end = os.pipe()
    writer = LogWriter(clock=ManualClock(), descriptor=writer_end)
    for _ in range(MAX_LINES_PER_S + 7):
        writer.enqueue({"message_type": "a"})
    writer.start()
    writer.close()
    os.close(writer_end)
    lines = read_lines(reader)
    assert len(lines) == MAX_LINES_PER_S + 1
    assert lines[-1] == {"message_type": "journal.dropped", "lines": 7}


def test_a_reader_that_is_gone_does_not_stop_the_writer():
    reader, writer_end = os.pipe()
    os.close(reader)
    writer = LogWriter(clock=Clock(), descriptor=writer_end)
    writer.start()
    writer.enqueue({"message_type": "a"})
    writer.close()
    os.close(writer_end)
    assert not writer._thread.is_alive()


def test_values_without_a_json_form_do_not_lose_the_other_lines():
    data = log_writer.encode_lines([{"a": {1}}, {"b": 2}], dropped=0)
    assert [json.loads(line) for line in data.splitlines()] == [{"a": [1]}, {"b": 2}]
