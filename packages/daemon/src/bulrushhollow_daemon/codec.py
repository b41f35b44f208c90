"""
bulrushhollow_daemon.codec
~~~~~~~~~~~~~~~~~~~~~~~~~~

The codec of all gRPC calls between the system's own processes: msgspec structs as MessagePack.
"""

from functools import lru_cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

FRAME_HEADER_BYTES = 14
"""Bytes of the HTTP/2 frame header and the gRPC prefix before each message."""


@lru_cache(maxsize=32)
def _decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


class StructCodec(CodecBase):
    """Encodes structs as MessagePack, and counts the bytes sent and received with their framing."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self.sent_bytes = 0
        self.received_bytes = 0

    def encode(self, message: Any, message_type: Any) -> bytes:
        """
        Encode one message.

        :raises msgspec.EncodeError: if it holds a value that no message can hold.
        """
        try:
            data = self._encoder.encode(message)
        except (OverflowError, UnicodeError, RecursionError) as error:
            raise msgspec.EncodeError(str(error)) from error
        self.sent_bytes += len(data) + FRAME_HEADER_BYTES
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """
        Decode one message.

        :raises msgspec.DecodeError: if the bytes are not a message of this type.
        """
        self.received_bytes += len(data) + FRAME_HEADER_BYTES
        try:
            return _decoder(message_type).decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError("the message nests too deeply") from error
