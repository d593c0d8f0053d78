"""Commands that change one key, failure domain or backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument

from godwitthread.cmd.change_command import WAIT_OPTIONS, ChangeCommand
from godwitthread.cmd.output import OPERATOR_OPTIONS, ExitStatus
from godwitthread.manifest.keys import new_key

if TYPE_CHECKING:
    from cleo.commands.command import Command
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class ChangeActionCommand(ChangeCommand):
    """Base class of commands that send one change action; subclasses define change()."""

    options: ClassVar[list[Option]] = [*OPERATOR_OPTIONS, *WAIT_OPTIONS]

    def perform(self) -> ExitStatus:
        """Send the change and report the version."""
        return self.send(*self.change())

    def change(self) -> tuple[str, dict[str, Any]]:
        """Return the action and arguments of the change."""
        raise TypeError(f'{type(self).__name__} must define change()')

    def send(self, action: str, arguments: dict[str, Any], extra: str = '') -> ExitStatus:
        """Send a change to the operator port and report the version."""
        api = self.api()
        body = {'action': action, 'arguments': arguments, 'author': self.author()}
        return self.report(api, api.post('/v1/change', body), extra)


class KeyWithdraw(ChangeActionCommand):
    """Withdraw a key."""

    name = 'key withdraw'
    description = 'Withdraw a key; it stops working within seconds.'
    arguments: ClassVar[list[Argument]] = [argument('key-id', 'Id of the key.')]

    def change(self) -> tuple[str, dict[str, Any]]:
        """Return action and arguments of the change."""
        return 'withdraw_key', {'key_id': self.argument('key-id')}


class KeyAdd(ChangeActionCommand):
    """Add a key."""

    name = 'key add'
    description = 'Add a key to an organisation and print its text once.'
    arguments: ClassVar[list[Argument]] = [
        argument('organisation', 'Name of the organisation.'),
        argument('key-id', 'Id of the new key.'),
    ]

    def perform(self) -> ExitStatus:
        """Generate the secret locally and send only its hash."""
        key = new_key(self.argument('key-id'))
        # Printed before the call: if the answer is lost, the key may still have been added.
        self.io.write_error_line(f'key: {key.text}')
        arguments = {
            'organisation': self.argument('organisation'),
            'key_id': key.key.id,
            'sha256': key.key.sha256,
        }
        return self.send('add_key', arguments)


class FailureDomainOut(ChangeActionCommand):
    """Take a failure domain out of service."""

    name = 'failure-domain out'
    description = 'Take a failure domain out of service.'
    arguments: ClassVar[list[Argument]] = [argument('name', 'Name of the failure domain.')]
    state = 'out'

    def change(self) -> tuple[str, dict[str, Any]]:
        """Return action and arguments of the change."""
        return 'set_failure_domain', {'name': self.argument('name'), 'state': self.state}


class FailureDomainIn(FailureDomainOut):
    """Bring a failure domain back."""

    name = 'failure-domain in'
    description = 'Bring a failure domain back into service.'
    state = 'in'


class BackendServerLeave(ChangeActionCommand):
    """Mark a backend server as leaving."""

    name = 'backend-server leave'
    description = 'Give a backend server no new work.'
    arguments: ClassVar[list[Argument]] = [
        argument('database', 'Name of the database.'),
        argument('member', 'Name of the member.'),
    ]
    state = 'leaving'

    def change(self) -> tuple[str, dict[str, Any]]:
        """Return action and arguments of the change."""
        arguments = {'database': self.argument('database'), 'member': self.argument('member')}
        return 'set_backend_server', {**arguments, 'state': self.state}


class BackendServerStay(BackendServerLeave):
    """Return a leaving backend server to service."""

    name = 'backend-server stay'
    description = 'Return a leaving backend server to service.'
    state = 'active'


COMMANDS: list[type[Command]] = [
    KeyWithdraw,
    KeyAdd,
    FailureDomainOut,
    FailureDomainIn,
    BackendServerLeave,
    BackendServerStay,
]
