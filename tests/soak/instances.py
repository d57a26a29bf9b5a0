"""Instances of a soak run: real processes, with proxies to the store and from peers."""

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
from soak.record import ProcessExit
from soak.upstreams import now_ms

ROOT = Path(__file__).parents[2]
SETTINGS_TEMPLATE = ROOT / "deploy" / "settings.yaml.tmpl"
STOP_GRACE_S = 6
# Time from the acknowledgement of a change within which it is in force everywhere.
CONFIG_APPLY_MS = 3_000
ZONES = ("zone-a", "zone-b", "zone-c")
HEALTH_CHECK_TIMEOUT_S = 0.5
DEFAULT_RESTART_DELAY_MS = 300.0


class SupervisedInstance:
    """One instance and the thread that restarts its process after each exit.

    Attributes:
        name: Name of the instance.
        lifetime: Number of the current process, from 1; each restart adds one.
        caller_port: Port for callers.
        store_proxy: Proxy between the instance and the store.
        peer_proxy: Proxy through which other instances connect to this one.
        is_ready: Result of the latest health check.
        restart_delay_ms: Delay of the next restart after the exit of the process.
        skew_ms: Offset of the wall clock in processes that are started from now on.
        exits: Lifetimes whose process has exited, with the exit codes.
        exceeded_grace: Lifetimes whose process was still running at the end of the
            grace period of a graceful stop.
    """

    __slots__ = (
        "name",
        "lifetime",
        "caller_port",
        "store_proxy",
        "peer_proxy",
        "is_ready",
        "restart_delay_ms",
        "skew_ms",
        "exits",
        "exceeded_grace",
        "_folder",
        "_bounds",
        "_health_port",
        "_peer_port",
        "_ports",
        "_number",
        "_seeds",
        "_child",
        "_is_stopping",
    )

    def __init__(
        self,
        *,
        number: int,
        folder: Path,
        store_port: int,
        bounds: dict[str, float] | None = None,
    ):
        self.name = f"front-{number}"
        self.lifetime = 0
        self.is_ready = False
        self.restart_delay_ms = DEFAULT_RESTART_DELAY_MS
        self.skew_ms = 0
        self.exits: list[ProcessExit] = []
        self.exceeded_grace: list[int] = []
        self._folder = folder
        self._bounds = bounds or {}
        self._number = number
        self._ports = [ReservedPort() for _ in range(3)]
        self.caller_port, self._health_port, self._peer_port = (
            port.number for port in self._ports
        )
        self.store_proxy = Proxy(target_port=store_port)
        self.peer_proxy = Proxy(target_port=self._peer_port)
        self._seeds: list[str] = []
        self._child: Child | None = None
        self._is_stopping = False

    @property
    def address(self) -> str:
        """Host and port at which other instances reach this one, through the proxy."""
        return f"{HOST}:{self.peer_proxy.port}"

    @property
    def log_path(self) -> Path:
        """Log file that all lifetimes append to."""
        return self._folder / f"{self.name}.log"

    @property
    def child(self) -> Child:
        """The process of the latest lifetime."""
        assert self._child is not None
        return self._child

    def start(self, seeds: list[str]) -> None:
        """Starts the first process and the thread that restarts it after each exit.

        Args:
            seeds: Peer addresses of the instances that it joins through.
        """
        self._seeds = seeds
        self.write_settings(slack=54)
        self._start_child()
        threading.Thread(target=self._supervise, daemon=True).start()

    def write_settings(self, *, slack: int) -> None:
        """Writes the settings file from the template that the platform deploys.

        Args:
            slack: Extra sends that the retry budget allows beside its ratio.
        """
        fields = {
            "nodeName": self.name,
            "zone": ZONES[self._number % len(ZONES)],
            "region": "soak",
            "seeds": self._seeds,
            "bindAddresses": {
                "front": f"{HOST}:{self.caller_port}",
                "ready": f"{HOST}:{self._health_port}",
                "control": f"{HOST}:{self._peer_port}",
            },
            "limits": {"cpuShare": 1.0, "cores": 1},
            "bounds": {
                "graceS": STOP_GRACE_S,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": slack,
                "budgetWindowS": 10,
                "configApplyMs": CONFIG_APPLY_MS,
                **self._bounds,
            },
            "platform": {"address": f"{HOST}:{self.store_proxy.port}"},
        }
        settings = yaml.safe_load(render(SETTINGS_TEMPLATE.read_text(), fields))
        settings["instance"]["advertised_peers"] = self.address
        settings["api"] |= {"drain_timeout_ms": 5_000}
        path = self._folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))

    def kill(self, *, restart_delay_ms: float) -> None:
        """Kills the process; it is restarted after `restart_delay_ms`."""
        self.restart_delay_ms = restart_delay_ms
        self.is_ready = False
        with contextlib.suppress(ProcessLookupError):
            self.child.process.kill()

    def request_stop(self) -> None:
        """Asks the process to stop gracefully, without waiting for its exit."""
        self.restart_delay_ms = DEFAULT_RESTART_DELAY_MS
        self.child.request_stop()

    def reload(self, *, slack: int) -> None:
        """Rewrites the settings file and sends SIGHUP to the process."""
        self.write_settings(slack=slack)
        with contextlib.suppress(ProcessLookupError):
            self.child.process.send_signal(signal.SIGHUP)

    def check_health(self) -> None:
        """Updates `is_ready` with a request to the health endpoint."""
        connection = http.client.HTTPConnection(
            HOST, self._health_port, timeout=HEALTH_CHECK_TIMEOUT_S
        )
        try:
            connection.request("GET", "/ready")
            self.is_ready = connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            self.is_ready = False
        finally:
            connection.close()

    def stop(self) -> int:
        """Stops the process without a restart and returns its exit code.

        The proxies are closed and the ports freed.
        """
        self._is_stopping = True
        self.child.request_stop()
        code = self.child.wait_until_stopped()
        self.store_proxy.close()
        self.peer_proxy.close()
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
            if self._is_stopping:
                return
            self.exits.append(
                ProcessExit(lifetime=self.lifetime, code=code, at_ms=now_ms())
            )
            time.sleep(self.restart_delay_ms / 1_000)
            self.restart_delay_ms = DEFAULT_RESTART_DELAY_MS
            if self._is_stopping:
                return
            self._start_child()
