"""Texts for the last field of a line, plain ones or ones with bytes that are easily mistaken."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Bytes that some function of a library takes for a blank, the end of a line or of a text.
PIECES = ['\r', '\n', '\r\r', '\n\r', '\0', '\t', '\x0b', '\x0c', '\x1c', '\x85', '\xa0', '\xff']
BLANKS = [' ', '  ']
#: Texts that contain what looks like a message.
FORGERIES = ['x\nQUERY 9 WRITE i0 y', 'x\nROLLBACK', 'x\nDONE f.1\nREADY I 9.9', '\nREADY I -']
#: Share of odd texts that take many reads of a socket.
LONG_SHARE = 0.02


def text(random: Random, odd: bool, blanks: bool = True) -> str:
    """Return a random text, one character for each byte."""
    word = f'{random.randrange(10**6):x}'
    if not odd or random.random() < 0.5:
        return word
    if blanks and random.random() < 0.1:
        return random.choice([*FORGERIES, *BLANKS])
    pieces = [word, *random.choices([*PIECES, *(BLANKS if blanks else [])], k=random.randint(1, 3))]
    random.shuffle(pieces)
    if random.random() < LONG_SHARE:
        pieces *= 4_000
    # The end of a line is the only sequence that a text cannot contain.
    return re.sub('\r+\n', '\n', ''.join(pieces))
