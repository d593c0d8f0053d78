"""Listener of one member: authentication, connection limit and connection handling."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from godwitthread.loop import eventlet
from godwitthread.manifest.types import RESERVED_CONNECTIONS
from godwitthread.standin import wire
from godwitthread.standin.control import ControlFunctions
from godwitthread.standin.link import Link, LinkClosedError
from godwitthread.standin.session import Session

if TYPE_CHECKING:
    from godwitthread.standin.group import Group
    from godwitthread.standin.member import Member

TOO_MANY_CONNECTIONS = '53300'
INVALID_PASSWORD = '28P01'


class MemberServer:
    """Accept and serve the connections of one member."""

    def __init__(self, group: Group, member: Member) -> None:
        self._group = group
        self._member = member
        self.control = ControlFunctions(group, member)
        self.port = member.settings.port
        #: Number of open connections admitted within the connection limit.
        self.connection_count = 0
        self._listener: Any = None
        self._acceptor: Any = None
        self._links: dict[Link, Any] = {}

    def start(self) -> None:
        """Listen for connections; replace a port of 0 with the assigned port."""
        address = (self._member.settings.host, self.port)
        self._listener = eventlet.listen(address, reuse_port=False)
        self.port = self._listener.getsockname()[1]
        self._acceptor = eventlet.spawn(self._accept_forever, self._listener)

    def stop(self) -> None:
        """Close the listener and every connection."""
        if self._listener is None:
            return
        self._acceptor.kill()
        self._listener.close()
        self._listener = None
        self._close_links(list(self._links))

    def drop_clients(self) -> None:
        """Close every connection except control connections."""
        self._close_links([link for link in self._links if not link.is_control])

    def _close_links(self, links: list[Link]) -> None:
        for link in links:
            link.close()
            thread = self._links.pop(link, None)
            if thread is not None and thread is not eventlet.getcurrent():
                thread.kill()

    def _accept_forever(self, listener: Any) -> None:
        while True:
            sock, peer = listener.accept()
            if self._member.faults.refuse:
                sock.close()
                continue
            sock.setsockopt(eventlet.green.socket.IPPROTO_TCP, eventlet.green.socket.TCP_NODELAY, 1)
            link = Link(self._member, sock, peer)
            self._links[link] = eventlet.spawn(self._serve, link)

    def _serve(self, link: Link) -> None:
        try:
            link.startup = self._startup(link)
            self._authenticate(link)
            self._serve_session(link)
        except LinkClosedError:
            pass
        finally:
            self._links.pop(link, None)
            link.close()

    def _serve_session(self, link: Link) -> None:
        reserved = 0 if link.is_control else RESERVED_CONNECTIONS
        if self.connection_count >= self._group.settings.connection_limit - reserved:
            text = 'remaining connection slots are reserved'
            link.send(wire.error_response(TOO_MANY_CONNECTIONS, text, 'FATAL'))
            return
        self.connection_count += 1
        session = Session(self._group, self._member, link)
        try:
            eventlet.sleep(self._group.settings.setup_ms / 1000)
            session.run()
        finally:
            self.connection_count -= 1
            session.end()

    def _startup(self, link: Link) -> dict[str, str]:
        while True:
            size = int.from_bytes(link.receive(4), 'big') - 4
            body = link.receive(size)
            code = int.from_bytes(body[:4], 'big')
            if code == wire.PROTOCOL_3:
                return wire.startup_parameters(body[4:])
            if code not in (wire.SSL_REQUEST, wire.GSS_REQUEST):
                raise LinkClosedError
            link.send(b'N')

    def _authenticate(self, link: Link) -> None:
        password = self._group.settings.password
        if password is None:
            return
        link.send(wire.message(b'R', (3).to_bytes(4, 'big')))
        code, body = link.receive_message()
        if code != b'p' or body.rstrip(b'\0').decode() != password:
            link.send(wire.error_response(INVALID_PASSWORD, 'invalid password', 'FATAL'))
            raise LinkClosedError
