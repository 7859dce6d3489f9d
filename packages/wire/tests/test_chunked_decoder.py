"""Chunked bodies, whatever the size of their chunks and pieces."""

from __future__ import annotations

import random

import pytest
from tornado import httputil

from cassiahead_wire import chunked_decoder

_MAX_BODY_BYTES = 1_000_000


def _decode(encoded: bytes, piece_bytes: int) -> tuple[bytes, bytes]:
    """Returns the data, and what follows the body."""
    decoder = chunked_decoder.ChunkedDecoder(_MAX_BODY_BYTES)
    data = b""
    for start in range(0, len(encoded), piece_bytes):
        if decoder.is_finished:
            return data, decoder.unused + encoded[start:]
        data += decoder.feed(encoded[start : start + piece_bytes])
    assert decoder.is_finished
    return data, decoder.unused


@pytest.mark.parametrize("piece_bytes", [1, 2, 7, 100, 10_000])
def test_chunks_of_random_sizes(piece_bytes: int) -> None:
    rng = random.Random(piece_bytes)
    for _ in range(30):
        data = rng.randbytes(rng.randrange(2_000))
        encoded = bytearray()
        position = 0
        size = 1
        while position < len(data):
            # Runs of equal chunks take a path of their own.
            if rng.random() < 0.3:
                size = rng.choice([1, 2, 15, 16, 300])
            chunk = data[position : position + size]
            digits = rng.choice(["%x", "%X", "0%x"]) % len(chunk)
            extension = rng.choice(["", ";a=b"]) if rng.random() < 0.1 else ""
            encoded += f"{digits}{extension}\r\n".encode() + chunk + b"\r\n"
            position += size
        encoded += b"0\r\nT: t\r\n\r\nnext"
        assert _decode(bytes(encoded), piece_bytes) == (data, b"next")


@pytest.mark.parametrize(
    "encoded",
    [
        b"x\r\n",
        b"-1\r\na\r\n",
        b"1\r\nab\r\n",
        b"1\r\na\n",
        b"1\na\r\n",
        b"11111111111111111\r\n",
        b"1;"
        + b"e" * chunked_decoder.MAX_DISCARDED_BYTES
        + b"eeeeeeeeeeeeeeeee",
        b"0\r\n" + b"T: t\r\n" * 2_000,
        b"0\r\nno trailer\r\n",
        b"%x\r\n" % (_MAX_BODY_BYTES + 1),
        b"f\r\nfifteen letters\r\n" * (_MAX_BODY_BYTES // 15 + 1),
    ],
    ids=lambda value: str(value)[:30],
)
def test_malformed_or_excessive_framing(encoded: bytes) -> None:
    decoder = chunked_decoder.ChunkedDecoder(_MAX_BODY_BYTES)
    with pytest.raises(httputil.HTTPInputError):
        decoder.feed(encoded)


def test_a_run_of_small_chunks_is_decoded_at_once() -> None:
    # One step for each chunk took 5 s for a body of 256,000 bytes.
    decoder = chunked_decoder.ChunkedDecoder(_MAX_BODY_BYTES)
    assert decoder.feed(b"1\r\nx\r\n" * 10_000) == b"x" * 10_000
    assert decoder.chunk_count == 1
