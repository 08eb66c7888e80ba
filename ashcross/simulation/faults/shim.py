"""The fault shim: builds `shim.c`, and writes the shared page that controls one process's clock and calls."""

from __future__ import annotations

import errno
import mmap
import os
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
ERRORS_PER_CALL = 2
MILLION = 1_000_000
SHORT_TRANSFER = -1  # instead of an error number: only one byte is sent or received


class Call(IntEnum):
    """The system calls that the shim can let fail, in the order of the enumeration in `shim.c`."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4
    EPOLL_WAIT = 5
    OPEN = 6
    BIND = 7
    LISTEN = 8
    GETSOCKOPT = 9


# by call: the temporary errors that its manual page lists
TRANSIENT_ERRORS: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EINTR, errno.EPROTO),
    Call.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR),
    Call.SEND: (SHORT_TRANSFER, errno.EINTR, errno.ENOBUFS),
    Call.RECV: (SHORT_TRANSFER, errno.EINTR),
    Call.EPOLL_WAIT: (errno.EINTR,),
    Call.OPEN: (errno.ENFILE, errno.EIO),
    Call.BIND: (errno.EADDRINUSE,),
    Call.LISTEN: (errno.EADDRINUSE,),
    Call.GETSOCKOPT: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
}
_OFFSET_FIELD = struct.Struct("<q")
_COUNT_FIELD = struct.Struct("<Q")
_FAULT_FIELD = struct.Struct("<Ii")
_COUNTS_OFFSET = _OFFSET_FIELD.size
_FAULTS_OFFSET = _COUNTS_OFFSET + _COUNT_FIELD.size * len(Call)
_SIZE = _FAULTS_OFFSET + _FAULT_FIELD.size * len(Call) * ERRORS_PER_CALL


def build(folder: Path) -> Path:
    """Compile the shim into a folder unless it is there, and return the path of the library."""
    library = folder / "fault-shim.so"
    if not library.exists():
        temporary = folder / f"fault-shim-{os.getpid()}.so"
        command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(temporary), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        temporary.replace(library)
    return library


class Shim:
    """The faults in one process's wall clock and system calls; a restarted process may use the same shim."""

    def __init__(self, folder: Path, name: str, library: Path, seed: int = 0, files: str = "") -> None:
        path = folder / f"{name}.faults"
        path.write_bytes(bytes(_SIZE))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), _SIZE)
        self.environment = {
            "LD_PRELOAD": str(library),
            "FAULT_CONTROL": str(path),
            "FAULT_SEED": str(seed),
            "FAULT_FILES": files or "/nowhere",
        }

    def step_wall_clock(self, offset_s: float) -> None:
        """Set the offset of the wall clock from the machine's clock, in seconds."""
        _OFFSET_FIELD.pack_into(self._page, 0, int(offset_s * 1e9))

    def fail(self, call: Call, error: int, chance: float, slot: int = 0) -> None:
        """Let a call fail with an error, at a chance from 0 to 1.

        A call may have two such errors, one for each `slot`, 0 or 1.
        """
        field_offset = _FAULTS_OFFSET + _FAULT_FIELD.size * (call * ERRORS_PER_CALL + slot)
        _FAULT_FIELD.pack_into(self._page, field_offset, int(chance * MILLION), error)

    def heal(self) -> None:
        """Let no call fail any more; the wall clock keeps its offset."""
        for call in Call:
            for slot in range(ERRORS_PER_CALL):
                self.fail(call, 0, 0.0, slot)

    def injected(self, call: Call) -> int:
        """Return the number of failures of a call that the process has seen."""
        return int(_COUNT_FIELD.unpack_from(self._page, _COUNTS_OFFSET + _COUNT_FIELD.size * call)[0])
