"""What an instance knows about the end of a peer's process."""

from __future__ import annotations

from godwitthread.core.departure import DEPARTURE_DELAY_MS, Departure


def test_an_announced_end_counts_after_a_delay():
    """Guard against a new majority during each restart of an instance."""
    departure = Departure()
    departure.read_entry(0, 1, False)
    departure.announce(1_000)
    assert not departure.has_ended(1_000 + DEPARTURE_DELAY_MS - 1)
    assert departure.has_ended(1_000 + DEPARTURE_DELAY_MS)


def test_silence_is_no_end():
    """Guard against a network partition in which both sides count only themselves."""
    departure = Departure()
    departure.connect()
    departure.read_entry(0, 1, False)
    assert not departure.has_ended(10**9)


def test_a_marked_entry_shows_the_end_of_a_process_that_was_never_reached():
    """Guard against observers that restarted since the announcement."""
    departure = Departure()
    departure.read_entry(100, 1, True)
    departure.read_entry(5_000, 1, True)
    assert departure.has_ended(100 + DEPARTURE_DELAY_MS)


def test_a_marked_entry_counts_although_the_announcement_was_lost():
    """Guard against a mark that is ignored since the same process was connected before."""
    departure = Departure()
    departure.read_entry(0, 1, False)
    departure.connect()
    departure.read_entry(100, 1, True)
    assert departure.has_ended(100 + DEPARTURE_DELAY_MS)


def test_a_new_process_refutes_the_end_of_the_former_one():
    """Guard against an instance that does not count although it was started again."""
    by_link, by_entry = Departure(), Departure()
    for each in (by_link, by_entry):
        each.announce(0)
        each.read_entry(0, 1, True)
    by_link.connect()
    by_entry.read_entry(500, 2, False)
    # The store may be away, so that the entry stays marked with the former process.
    by_link.read_entry(600, 1, True)
    assert not by_link.has_ended(10**9)
    assert not by_entry.has_ended(10**9)


def test_an_old_entry_does_not_refute_an_announcement():
    """Guard against entries of other instances that change before the mark arrives."""
    departure = Departure()
    departure.read_entry(0, 1, False)
    departure.announce(100)
    departure.read_entry(200, 1, False)
    assert departure.has_ended(100 + DEPARTURE_DELAY_MS)
