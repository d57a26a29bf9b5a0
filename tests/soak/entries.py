"""Instances of a soak: real processes, behind proxies towards the store and peers."""

import contextlib
import http.client
import signal
import threading
import time
from pathlib import Path

import yaml

from gooseberrystand.processes import Child, ReservedPort
from gooseberrystand.proxy import Proxy
from gooseberrystand.server import HOST
from machines.template import render

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.yaml.tmpl"
GRACE_S = 6
ZONES = ("zone-a", "zone-b", "zone-c")
CHECK_TIMEOUT_S = 0.5
RESTART_MS = 300.0


class Entry:
    """One instance over all its lifetimes.

    Attributes:
        name: Its name.
        lifetime: Number of the process that runs, from 1.
        door_port: Where callers reach it.
        store: Proxy on its way to the store.
        peers: Proxy through which other instances reach it.
        is_ready: What the latest health check said.
        down_ms: How long it stays down after it has ended.
        skew_ms: How far the wall clock of its next lifetime is off.
        ended: Lifetimes that have ended, with their exit codes.
        overstayed: Lifetimes that outlived the grace time of a planned stop.
    """

    __slots__ = (
        "name",
        "lifetime",
        "door_port",
        "store",
        "peers",
        "is_ready",
        "down_ms",
        "skew_ms",
        "ended",
        "overstayed",
        "_folder",
        "_health_port",
        "_peer_port",
        "_ports",
        "_number",
        "_seeds",
        "_child",
        "_stopping",
    )

    def __init__(self, *, number: int, folder: Path, store_port: int):
        self.name = f"front-{number}"
        self.lifetime = 0
        self.is_ready = False
        self.down_ms = RESTART_MS
        self.skew_ms = 0
        self.ended: list[tuple[int, int]] = []
        self.overstayed: list[int] = []
        self._folder = folder
        self._number = number
        self._ports = [ReservedPort() for _ in range(3)]
        self.door_port, self._health_port, self._peer_port = (
            port.number for port in self._ports
        )
        self.store = Proxy(target_port=store_port)
        self.peers = Proxy(target_port=self._peer_port)
        self._seeds: list[str] = []
        self._child: Child | None = None
        self._stopping = False

    @property
    def address(self) -> str:
        """Where other instances reach it."""
        return f"{HOST}:{self.peers.port}"

    @property
    def log_path(self) -> Path:
        """Its log over all lifetimes."""
        return self._folder / f"{self.name}.log"

    @property
    def child(self) -> Child:
        """The process of the latest lifetime."""
        assert self._child is not None
        return self._child

    def start(self, seeds: list[str]) -> None:
        """Starts the first lifetime and the thread that starts the next ones."""
        self._seeds = seeds
        self.write_settings(slack=54)
        self._start_child()
        threading.Thread(target=self._supervise, daemon=True).start()

    def write_settings(self, *, slack: int) -> None:
        """Writes the settings file as the machines' platform does."""
        fields = {
            "nodeName": self.name,
            "zone": ZONES[self._number % len(ZONES)],
            "region": "soak",
            "seeds": self._seeds,
            "bindAddresses": {
                "front": f"{HOST}:{self.door_port}",
                "ready": f"{HOST}:{self._health_port}",
                "control": f"{HOST}:{self._peer_port}",
            },
            "limits": {"cpuShare": 1.0, "cores": 1},
            "bounds": {
                "graceS": GRACE_S,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": slack,
                "budgetWindowS": 10,
            },
            "platform": {"address": f"{HOST}:{self.store.port}"},
        }
        settings = yaml.safe_load(render(TEMPLATE.read_text(), fields))
        settings["instance"]["advertised_peers"] = self.address
        settings["api"] |= {"drain_timeout_ms": 5_000}
        path = self._folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))

    def kill(self, *, down_ms: float) -> None:
        """Ends the process at once; it starts again after `down_ms`."""
        self.down_ms = down_ms
        self.is_ready = False
        with contextlib.suppress(ProcessLookupError):
            self.child.process.kill()

    def request_stop(self) -> None:
        """Asks the process to stop."""
        self.down_ms = RESTART_MS
        self.child.request_stop()

    def reload(self, *, slack: int) -> None:
        """Changes the settings file and says so."""
        self.write_settings(slack=slack)
        with contextlib.suppress(ProcessLookupError):
            self.child.process.send_signal(signal.SIGHUP)

    def check(self) -> None:
        """Asks the process whether it is ready."""
        connection = http.client.HTTPConnection(
            HOST, self._health_port, timeout=CHECK_TIMEOUT_S
        )
        try:
            connection.request("GET", "/ready")
            self.is_ready = connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            self.is_ready = False
        finally:
            connection.close()

    def stop(self) -> int:
        """Stops the process for good; returns its exit code."""
        self._stopping = True
        self.child.request_stop()
        code = self.child.wait_until_stopped()
        self.store.close()
        self.peers.close()
        for port in self._ports:
            port.release()
        return code

    def _start_child(self) -> None:
        self.lifetime += 1
        child = Child(
            name=self.name,
            folder=self._folder,
            module="soak.skewed",
            arguments=[
                str(self.skew_ms),
                "run",
                "--settings",
                str(self._folder / f"{self.name}.yaml"),
            ],
        )
        child.start()
        self._child = child

    def _supervise(self) -> None:
        while True:
            code = self.child.wait()
            self.is_ready = False
            if self._stopping:
                return
            self.ended.append((self.lifetime, code))
            time.sleep(self.down_ms / 1_000)
            self.down_ms = RESTART_MS
            if self._stopping:
                return
            self._start_child()
