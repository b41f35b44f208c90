"""A small HTTP/1.1 client and server on asyncio, enough for the pages' calls."""

import asyncio
import json


async def call(method, address, path, body=None, headers=None, timeout=3.0):
    """Make one call on its own connection; return (status, parsed body), or (0, reason)."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = {"host": address, "content-type": "application/json", "connection": "close"}
    lines.update(headers or {})
    lines["content-length"] = str(len(data))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            status, fields = await _read_head(reader)
            length = int(fields.get("content-length", "0"))
            text = await reader.readexactly(length)
    except TimeoutError:
        return 0, "no answer in time"
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
        return 0, repr(error)
    finally:
        if writer is not None:
            writer.close()
    try:
        return int(status.split()[1]), json.loads(text or b"null")
    except ValueError:
        return int(status.split()[1]), text


async def _read_head(reader):
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    fields = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
        if not line:
            return first, fields
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()


class Server:
    """Serves JSON over kept-alive connections; ``handle(path, fields, body)`` answers a call."""

    def __init__(self, host, port, handle):
        self._host, self._port, self._handle = host, port, handle
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def open(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def close(self):
        """Stop at once, as a crash does: open connections are aborted."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while True:
                first, fields = await _read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, answer = await self._handle(first.split()[1], fields, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()
