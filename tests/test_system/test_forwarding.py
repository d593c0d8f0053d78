"""Requests that another instance executes, around a planned stop of that instance."""

from __future__ import annotations

from godwitthread.loop import eventlet
from tests.test_system.support import DATABASE, ORGANISATION, attempt, count_in_log, new_id

#: Time for which the stopping instance holds an answer back, in ms. It exceeds the time that a
#: shutdown without running requests takes.
HELD_MS = 5_000


def test_a_shutdown_waits_for_the_requests_of_other_instances(deployment, monkeypatch):
    """Guard against an unknown outcome of a forwarded write that the stopping instance ran."""
    sender, leaving = deployment.instances[:2]
    number = int(leaving.state.seat.name.removeprefix('entry-')) - 1
    execute = leaving.caller_service.execute_admitted

    def answer_late(*args):
        response = execute(*args)
        eventlet.sleep(HELD_MS / 1000)
        return response

    monkeypatch.setattr(leaving.caller_service, 'execute_admitted', answer_late)
    monkeypatch.setattr(sender.forwarder, 'is_remote', lambda database: True)
    monkeypatch.setattr(sender.forwarder, '_serving_seat', lambda admitted: leaving.state.seat)
    id_ = new_id()
    client = deployment.client(ORGANISATION, DATABASE, sender, max_attempts=1)
    write = eventlet.spawn(attempt, client, id_)
    eventlet.sleep(0.1)
    assert count_in_log(deployment, id_) == 1
    deployment.stop_instance(leaving)
    outcome = write.wait()
    deployment.replace_instance(number)
    assert outcome.outcome == 'done', outcome
