"""The process that sends a service's requests to its servers is killed once."""

import collections
import threading
import time
from pathlib import Path

import stand

MAX_ATTEMPTS = 2
# More than three such requests break the rule.
ALLOWED = 3
# Work of a request (site file, archive-fetch: mean 160, at most 960).
USUAL_WORK_S = 0.16
LONG_WORK_S = 0.9
USUAL_REQUESTS = 40
LONG_REQUESTS = 14
KILL_AFTER_S = 0.6
SERVER_ZONES = ("a", "a", "b", "b", "c")
SLOTS = 6
QUEUE = 24
# The platform starts a killed process again after a short delay.
RESTART_DELAY_S = 0.5


def run_case(record, store, fleet):
    """Returns whether requests ran on no more servers than their route allows."""
    runs = collections.defaultdict(set)

    def record_run(server, run):
        runs[run.id].add(server.name)
        if run.id.startswith("long"):
            record.write(f"{server.name} begins {run.id}")

    def handle(server, run, length):
        work_s = LONG_WORK_S if run.id.startswith("long") else USUAL_WORK_S
        stand.answer(server, run, length, work_s=work_s, on_begin=record_run)

    for number, zone in enumerate(SERVER_ZONES, 1):
        server = stand.Server(
            name=f"i-{number}",
            service="archive",
            zone=zone,
            handle=handle,
            slots=SLOTS,
            queue=QUEUE,
        )
        store.start_writer(server.name, server.spec)
    routes = [
        stand.create_route("r-1", "/timi402/", "archive", maxAttempts=MAX_ATTEMPTS)
    ]
    store.put("config", "main", stand.create_config(7, routes, ["archive"]))
    fleet.start(["a", "b", "c"])

    def send(instance, request_id):
        try:
            status = stand.get(
                instance.front,
                "/timi402/2f",
                X_Request_Id=request_id,
                X_Deadline_Ms="10000",
            ).status
        except OSError:
            status = None
        record.write(f"{request_id} at {instance.name} got {status}")

    for number in range(USUAL_REQUESTS):
        send(fleet.instances[number % 3], f"usual-{number}")
    send(fleet.instances[0], "long-first")
    givers = [i for i in fleet.instances if '"pool.hedge"' in i.log]
    if len(givers) != 1:
        raise stand.NotRunError(f"{len(givers)} instances send to the servers")
    record.write(f"{givers[0].name} sends the requests to the servers")
    others = [instance for instance in fleet.instances if instance not in givers]
    threads = [
        threading.Thread(target=send, args=(others[number % 2], f"long-{number}"))
        for number in range(LONG_REQUESTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(KILL_AFTER_S)
    if stand.TROUBLE:
        givers[0].kill()
        record.write(f"{givers[0].name} was killed")
        time.sleep(RESTART_DELAY_S)
        givers[0].start(fleet.seeds)
        record.write(f"{givers[0].name} was started again")
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    too_many = [name for name, ran_on in runs.items() if len(ran_on) > MAX_ATTEMPTS]
    for name in too_many:
        record.write(f"{name} ran on {sorted(runs[name])}")
    record.write(f"{len(too_many)} requests ran on more than {MAX_ATTEMPTS} servers")
    return len(too_many) <= ALLOWED


stand.run_case(Path(__file__).parent, run_case)
