"""Bounds of the values that records and messages hold.

They are checked wherever a value enters from outside the process: from the platform and from other
instances. A value within them can be encoded in every format that is used.
"""

from typing import Annotated

import msgspec

# Longest name, in characters.
NAME_MAX = 255
# Largest number. MessagePack encodes up to 64 bits; JSON readers often use signed ones.
NUMBER_MAX = (1 << 63) - 1
# Largest time, rate, weight or capacity; far above any that occurs, and exact in a floating-point
# number.
AMOUNT_MAX = 1 << 53
PORT_MAX = 65_535
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IP_MAX = (1 << 32) - 1

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MAX)]
Count = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=AMOUNT_MAX)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=AMOUNT_MAX)]
Port = Annotated[int, msgspec.Meta(ge=1, le=PORT_MAX)]
Ip = Annotated[int, msgspec.Meta(ge=0, le=_IP_MAX)]
# The formats hold no larger number than 2**64 - 1.
Unsigned64 = Annotated[int, msgspec.Meta(ge=0)]
# A name would be looked up when a packet is sent to it, which blocks.
HostAddress = Annotated[str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}\Z")]
