"""Minimal HTTP/1.1 with JSON bodies on asyncio, for the stand-ins of the review."""

import asyncio
import json


class Closed(Exception):
    """The peer closed the channel."""


async def read_message(reader):
    """Reads one request or response. Returns its first line, headers and body."""
    first = await reader.readline()
    if not first:
        raise Closed
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            raise Closed
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first.decode("latin-1").split(), headers, body


def encode_response(status, value=None):
    """Encodes a response with a JSON body."""
    body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(handler, host, port):
    """Serves requests. `handler(method, path, query, headers, body)` returns a status and a value,
    or `None` to leave the request unanswered, or "reset" to reset the channel."""

    async def on_channel(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target = first[0], first[1]
                path, _, text = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
                query = {key: unquote(value) for key, value in query.items()}
                reply = await handler(method, path, query, headers, body)
                if reply is None:
                    # Never answered; the channel stays open until the peer closes it.
                    while await reader.read(65536):
                        pass
                    break
                if reply == "reset":
                    writer.transport.abort()
                    return
                writer.write(encode_response(*reply))
                await writer.drain()
        except (Closed, ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_channel, host, port, backlog=512)


def unquote(text):
    """Decodes percent escapes."""
    parts = text.split("%")
    out = [parts[0].encode()]
    for part in parts[1:]:
        out.append(bytes([int(part[:2], 16)]) + part[2:].encode())
    return b"".join(out).decode()


async def call(address, method, path, value=None, headers=None, timeout_s=3.0):
    """Makes one call on a channel of its own. Returns the status and the decoded body; the status is
    `None` if there was no complete response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": "%s:%d" % address, "Content-Type": "application/json"}
            fields.update(headers or {})
            fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {text}" for name, text in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, _, reply = await read_message(reader)
            return int(first[1]), (json.loads(reply) if reply else None)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (Closed, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, None
