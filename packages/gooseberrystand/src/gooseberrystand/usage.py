"""CPU time and memory of processes from /proc, and their TCP bytes from `ss`."""

import dataclasses
import os
import re
import shutil
import subprocess
from collections.abc import Collection
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_SOCKET_OWNER = re.compile(r"pid=(\d+)")
_SOCKET_BYTES = re.compile(r"\bbytes_(?:sent|received):(\d+)")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_ms: CPU time since the start, user and system, in milliseconds.
        memory_bytes: Resident memory now.
        network_bytes: Bytes sent and received over the TCP connections that are open
            now; None if not measured or if the system has no `ss`.
    """

    cpu_ms: float
    memory_bytes: int
    network_bytes: int | None


def measure(pids: Collection[int], *, network: bool = True) -> dict[int, Usage]:
    """Returns the usage of each process that is still running, by process id."""
    tcp_bytes = count_network_bytes() if network else None
    usages = {}
    for pid in pids:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            continue
        # utime, stime and rss: fields 14, 15 and 24 of /proc/pid/stat in proc(5).
        # `fields` starts at field 3, after the process name.
        user_ticks, system_ticks, rss_pages = (
            int(fields[11]),
            int(fields[12]),
            int(fields[21]),
        )
        usages[pid] = Usage(
            cpu_ms=(user_ticks + system_ticks) * 1000 / CLOCK_TICKS_PER_S,
            memory_bytes=rss_pages * os.sysconf("SC_PAGE_SIZE"),
            network_bytes=None if tcp_bytes is None else tcp_bytes.get(pid, 0),
        )
    return usages


def count_network_bytes() -> dict[int, int] | None:
    """Returns the bytes sent and received over open TCP connections, by process id.

    Returns None if the system has no `ss`.
    """
    if shutil.which("ss") is None:
        return None
    output = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=False
    ).stdout
    bytes_by_pid: dict[int, int] = {}
    for line in output.splitlines():
        owner = _SOCKET_OWNER.search(line)
        if owner:
            pid = int(owner.group(1))
            connection_bytes = sum(
                int(number) for number in _SOCKET_BYTES.findall(line)
            )
            bytes_by_pid[pid] = bytes_by_pid.get(pid, 0) + connection_bytes
    return bytes_by_pid
