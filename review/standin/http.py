"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.writer = writer
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return bytes(body)
            body += data[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def serve(address, port, handle):
    """Serves requests. `handle(request)` answers by itself; it returns False if the connection has to be closed."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, writer)
                request.reader = reader
                if await handle(request) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, address, port, limit=16 << 20)
    return server, server.sockets[0].getsockname()[1]


def respond(request, status, body=b"", headers=()):
    """Writes a whole answer."""
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    request.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


async def call(address, port, method, target, headers, body=b"", timeout=10.0):
    """Makes a call on a new connection. Returns the status, the headers and the body; the status is None if there was no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port, limit=16 << 20)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, found = await read_head(reader)
            data = await read_body(reader, found, until_close=True)
            return int(line.split(" ")[1]), found, data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, {}, b""
