"""Requests that another instance executes, around a planned stop of that instance."""

from __future__ import annotations

from godwitthread.loop import eventlet
from tests.test_system.support import DATABASE, ORGANISATION, attempt, count_in_log, new_id

#: Time for which an instance holds an answer back, in ms. It exceeds the time that a shutdown
#: without running requests takes.
HELD_MS = 5_000


def hold_answers(monkeypatch, sender, receiver):
    """Forward statements from one instance to another, which answers late; return its answers."""
    execute, answered = receiver.caller_service.execute_admitted, []

    def answer_late(*args):
        response = execute(*args)
        eventlet.sleep(HELD_MS / 1000)
        answered.append(response)
        return response

    monkeypatch.setattr(receiver.caller_service, 'execute_admitted', answer_late)
    monkeypatch.setattr(sender.forwarder, 'is_remote', lambda database: True)
    monkeypatch.setattr(sender.forwarder, '_serving_seat', lambda admitted: receiver.state.seat)
    return answered


def test_a_shutdown_waits_for_the_requests_of_other_instances(deployment, monkeypatch):
    """Guard against an unknown outcome of a forwarded write that the stopping instance ran."""
    sender, leaving = deployment.instances[:2]
    number = int(leaving.state.seat.name.removeprefix('entry-')) - 1
    hold_answers(monkeypatch, sender, leaving)
    id_ = new_id()
    client = deployment.client(ORGANISATION, DATABASE, sender, max_attempts=1)
    write = eventlet.spawn(attempt, client, id_)
    eventlet.sleep(0.1)
    assert count_in_log(deployment, id_) == 1
    deployment.stop_instance(leaving)
    outcome = write.wait()
    deployment.replace_instance(number)
    assert outcome.outcome == 'done', outcome


def test_a_request_that_another_instance_runs_at_the_drain_limit_is_answered(
    start_own_deployment, monkeypatch
):
    """Guard against a shutdown that outlasts its drain limit for the answer of a peer."""
    deployment = start_own_deployment('fjordkjol', 3, settings={'drain_limit_ms': '1000'})
    leaving, other = deployment.instances[:2]
    answered = hold_answers(monkeypatch, leaving, other)
    client = deployment.client(ORGANISATION, DATABASE, leaving, max_attempts=1)
    id_ = new_id()
    write = eventlet.spawn(attempt, client, id_)
    eventlet.sleep(0.1)
    deployment.stop_instance(leaving)
    assert not answered, 'the shutdown waited for the other instance'
    assert write.wait()[1:] == ('unknown', 'connection_lost')
    assert count_in_log(deployment, id_) == 1
