"""Tests of 84 hosts in 4 zones whose store fails.

Each runs in virtual time. Guards against hosts that read a failing store as
often as a working one, and against hosts that lack records after its return.
"""

import collections
import functools

import probescene
import pytest

OUTAGE_S = 8.0
HALF_CONTACT_S = probescene.CONTACT_S / 2
KNOWN_WITHIN_S = 2.24 + HALF_CONTACT_S
"""Greatest age of a view of the three topics that change often, and the time in
which another host is found that can read the store."""


def fail_for_all(fleet, kind):
    """Lets the store fail for every host; returns the calls that it got."""
    names = set(fleet.hosts)
    calls = fleet.fail(OUTAGE_S / 2, **{kind: names})
    fleet.store.append(b"during")
    return calls + fleet.fail(OUTAGE_S / 2)


@functools.cache
def count_calls_without_limit(kind):
    return fail_for_all(probescene.Fleet(contact_s=None), kind)


@pytest.mark.parametrize("kind", ["refused", "silent"])
@pytest.mark.parametrize("has_new_epoch", [False, True])
def test_store_that_fails_for_all_hosts_gets_a_tenth_of_the_calls(
    kind, has_new_epoch
):
    fleet = probescene.Fleet()
    calls = fail_for_all(fleet, kind)
    assert calls < count_calls_without_limit(kind) / 10
    if has_new_epoch:
        fleet.store.go_back()
        fleet.store.append(b"after")
    before = len(fleet.store.calls)
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S
    fleet.run(probescene.CONTACT_S)
    calls = collections.Counter(call[2] for call in fleet.store.calls[before:])
    # Each host reads a record that isn't relayed.
    unrelayed = calls.pop(probescene.UNRELAYED_TOPIC)
    # In a new epoch each host reads each topic as a whole.
    reads_each = 2 if has_new_epoch else 1
    hosts = len(fleet.hosts)
    assert calls.total() < reads_each * hosts * len(calls)
    assert unrelayed < (reads_each + 1) * hosts
    assert fleet.broken == []


def test_lines_are_bounded_and_probes_counted_while_the_store_refuses_all():
    fleet = probescene.Fleet()
    fail_for_all(fleet, "refused")
    fleet.restore()
    fleet.run(4 * probescene.CONTACT_S)
    for host in fleet.hosts.values():
        left = host.lines.count("store_probes_left")
        assert left <= 3
        assert host.lines.count("store_probes_resumed") == left
    probers = [fleet.hosts[name] for name in fleet.find_probers()]
    others = [h for h in fleet.hosts.values() if h not in probers]
    most = max(host.count("probes") for host in others)
    assert min(host.count("probes") for host in probers) > most
    assert all(host.count("probes_left") > 0 for host in others)
    dump = others[0].followers["endpoints"].dump()
    assert dump["probes"]["failures"] == 0


@pytest.mark.parametrize("first", [0, 1, 2])
def test_store_that_refuses_a_third_of_the_hosts(first):
    """Guards against hosts that wait for a source which is refused."""
    fleet = probescene.Fleet()
    refused = list(fleet.hosts)[first::3]
    fleet.fail(3.0, refused=refused)
    fleet.store.append(b"during")
    assert fleet.seconds_until_current() <= KNOWN_WITHIN_S
    fleet.fail(6.0)
    fleet.store.append(b"at the end")
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


def test_store_that_refuses_just_the_probers():
    """Guards against a zone that waits for probers which are refused."""
    fleet = probescene.Fleet()
    fleet.store.append(b"at the begin")
    fleet.fail(0.0, refused=fleet.find_probers())
    assert fleet.seconds_until_current() <= KNOWN_WITHIN_S
    for _ in range(4):
        fleet.run(2.0)
        fleet.store.append(b"during")
        assert fleet.seconds_until_current() <= KNOWN_WITHIN_S
    fleet.restore()
    fleet.store.append(b"after")
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


def test_prober_is_killed_while_the_store_is_silent():
    """One prober of each zone ends without a word, the other one goes on."""
    fleet = probescene.Fleet()
    fleet.fail(2.0, silent=fleet.hosts)
    killed = fleet.find_probers()[::2]
    for name in killed:
        fleet.kill(name)
    fleet.run(3.0)
    fleet.store.append(b"during")
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S
    fleet.fail(1.0, silent=fleet.hosts)
    for name in killed:
        fleet.forget(name)
    calls = fleet.fail(OUTAGE_S)
    assert calls < count_calls_without_limit("silent") / 10
    fleet.store.append(b"again")
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


def test_messages_get_lost_while_the_store_is_away():
    """One host of a zone hears none of the others and probes for itself."""
    fleet = probescene.Fleet()
    probers = fleet.find_probers()
    name = next(name for name in fleet.hosts if name not in probers)
    fleet.lost.add(name)
    fail_for_all(fleet, "refused")
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


def test_host_that_must_read_notices_the_return_of_a_store_that_refused_all():
    fleet = probescene.Fleet()
    probers = fleet.find_probers()
    name = next(name for name in fleet.hosts if name not in probers)
    host = fleet.hosts[name]
    host.must_read = True
    fleet.run(2.0)
    fail_for_all(fleet, "refused")
    # No other host tells it.
    fleet.lost.add(name)
    fleet.run(1.0)
    assert not host.followers["endpoints"].reaches_store
    fleet.restore()
    fleet.run(HALF_CONTACT_S)
    assert host.followers["endpoints"].reaches_store


def test_host_that_has_loaded_nothing_reads_often_while_the_store_refuses():
    """It can't serve before it has loaded all topics."""
    fleet = probescene.Fleet()
    fleet.fail(3.0, refused=[*fleet.hosts, "z0h99"])
    fleet.start("z0h99")
    fleet.run(5.0)
    fleet.restore()
    # Its longest pause, and the reads of all topics after it.
    fleet.run(0.25 * 1.5 + 0.3)
    followers = fleet.hosts["z0h99"].followers.values()
    assert all(found.has_loaded for found in followers)


def find_others(fleet):
    probers = fleet.find_probers()
    return [name for name in fleet.hosts if name not in probers]


@pytest.mark.parametrize("count", [1, 7])
@pytest.mark.parametrize("kind", ["refused", "silent"])
def test_record_that_is_not_relayed_reaches_hosts_that_the_store_refused(
    kind, count
):
    """Guards against a host that leaves probing to others because they relay.

    A host whose source had fresh records of other topics didn't read the store
    for the rest of a day, and served by an old configuration.
    """
    fleet = probescene.Fleet()
    fleet.fail(4.0, **{kind: find_others(fleet)[:count]})
    fleet.store.append(b"during")
    fleet.fail(3.0)
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


@pytest.mark.parametrize("kind", ["refused", "silent"])
def test_record_that_is_not_relayed_is_written_after_the_return(kind):
    """Guards against a host that doesn't notice that it could read again."""
    fleet = probescene.Fleet()
    fleet.fail(9.0, **{kind: find_others(fleet)[:1]})
    fleet.restore()
    fleet.run(0.5)
    fleet.store.append(b"after")
    assert fleet.seconds_until_current() <= KNOWN_WITHIN_S


def test_hosts_that_lack_a_record_probe_a_store_that_refuses_them_seldom():
    """Their pauses double as those of probers do."""
    fleet = probescene.Fleet()
    refused = find_others(fleet)[::3]
    fleet.fail(2.0, refused=refused)
    fleet.store.append(b"during")
    fleet.run(2.0)
    calls = len(fleet.store.calls)
    fleet.run(6.0)
    sent = [call for call in fleet.store.calls[calls:] if call[1] in refused]
    # A prober's longest pause is a sixth of the bound, by half at least.
    least_s = probescene.CONTACT_S / 6 / 2
    assert len(sent) <= len(refused) * 6.0 / least_s


@pytest.mark.parametrize("kind", ["refused", "silent"])
def test_store_returns_in_a_new_epoch_and_later_to_some_hosts(kind):
    """Guards against a host that leaves its whole read to others.

    What another host finds by a whole read it doesn't relay.
    """
    fleet = probescene.Fleet(zones=1, count=28)
    fleet.fail(3.0, **{kind: find_others(fleet)[:3]})
    fleet.store.go_back()
    fleet.store.append(b"after")
    fleet.run(4.0)
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


@pytest.mark.parametrize("kind", ["refused", "silent"])
def test_store_fails_for_all_when_hosts_begin_to_read_a_record(kind):
    """Guards against hosts that all probe often as all lack the record."""
    fleet = probescene.Fleet()
    fleet.store.append(b"before")
    fleet.run(2 * probescene.STEP_S)
    calls = fleet.fail(OUTAGE_S, **{kind: set(fleet.hosts)})
    assert calls < count_calls_without_limit(kind) / 10
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


@pytest.mark.parametrize("index", [0, 2])
def test_host_is_cut_off_from_its_zone_just_before_the_return(index):
    """Guards against a host that reads one topic and leaves the others.

    It had left its probes to other hosts and so had no failed read itself.
    """
    fleet = probescene.Fleet(zones=1, count=28)
    fleet.fail(4.0, refused=set(fleet.hosts))
    fleet.lost.add(find_others(fleet)[index])
    fleet.run(0.05)
    fleet.store.append(b"during")
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


def test_host_alone_in_its_zone_probes_a_silent_store_for_itself():
    fleet = probescene.Fleet(zones=3, count=1)
    calls = fail_for_all(fleet, "silent")
    assert calls <= 3 * (OUTAGE_S / 0.5 + len(probescene.TOPICS))
    fleet.restore()
    assert fleet.seconds_until_current() <= HALF_CONTACT_S


def test_store_that_answers_gets_the_same_calls_with_and_without_the_limit():
    calls = []
    for contact_s in (None, probescene.CONTACT_S):
        fleet = probescene.Fleet(contact_s=contact_s)
        before = len(fleet.store.calls)
        fleet.run(10.0)
        calls.append(len(fleet.store.calls) - before)
    assert calls[0] == calls[1]
