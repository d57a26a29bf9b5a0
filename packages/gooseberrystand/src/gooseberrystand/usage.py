"""CPU time, memory and TCP bytes of processes, as the system counts them."""

import dataclasses
import os
import re
import shutil
import subprocess
from collections.abc import Collection
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_SOCKET_OWNER = re.compile(r"pid=(\d+)")
_SOCKET_BYTES = re.compile(r"\bbytes_(?:sent|received):(\d+)")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What a process has used since its start.

    Attributes:
        cpu_ms: CPU time, user and system, in milliseconds.
        memory_bytes: Resident memory now.
        network_bytes: Bytes sent and received over its open TCP connections; None
            if the system has no `ss`.
    """

    cpu_ms: float
    memory_bytes: int
    network_bytes: int | None


def measure(pids: Collection[int], *, network: bool = True) -> dict[int, Usage]:
    """Returns the usage of each process that still runs."""
    sent = count_network_bytes() if network else None
    found = {}
    for pid in pids:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            continue
        # Fields 14, 15 and 24 of proc(5), counted after the process name.
        user, system, pages = int(fields[11]), int(fields[12]), int(fields[21])
        found[pid] = Usage(
            cpu_ms=(user + system) * 1000 / TICKS_PER_S,
            memory_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
            network_bytes=None if sent is None else sent.get(pid, 0),
        )
    return found


def count_network_bytes() -> dict[int, int] | None:
    """Returns the TCP bytes of each process over its open connections."""
    if shutil.which("ss") is None:
        return None
    output = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=False
    ).stdout
    counts: dict[int, int] = {}
    for line in output.splitlines():
        owner = _SOCKET_OWNER.search(line)
        if owner:
            pid = int(owner.group(1))
            total = sum(int(number) for number in _SOCKET_BYTES.findall(line))
            counts[pid] = counts.get(pid, 0) + total
    return counts
