"""Faults that a fleet trial injects.

Each is a function of the fleet_trial.Trial and its duration in seconds, and
undoes its effect at the end. Soaks print the functions in ALL by name.
"""

import functools
import random
import signal
import threading
import time

import operator_vms

# Longer than a daemon retries a write that was certainly not performed.
OUTAGE_S = 0.7
# Connections to the store are in use again after this long.
CALM_S = 0.3


def random_daemon(trial):
    """Returns any daemon.

    Owners need not be selected: with two to six daemons, a random choice hits
    them often.
    """
    return random.choice(trial.daemons)


def kill_daemon(trial, seconds):
    daemon = random_daemon(trial)
    trial.terminate(daemon)
    time.sleep(seconds)
    trial.start(daemon)


def stop_daemon(trial, seconds):
    daemon = random_daemon(trial)
    trial.terminate(daemon, signal.SIGTERM)
    time.sleep(seconds / 4)
    trial.start(daemon)


def roll_daemons(trial, seconds):
    for daemon in trial.daemons:
        trial.terminate(daemon, signal.SIGTERM)
        trial.start(daemon)
        time.sleep(seconds / len(trial.daemons))


def freeze_daemon(trial, seconds):
    daemon = random_daemon(trial)
    trial.signal(daemon, signal.SIGSTOP)
    time.sleep(seconds)
    trial.signal(daemon, signal.SIGCONT)


def power_off_all(trial, seconds):
    for daemon in trial.daemons:
        trial.terminate(daemon)
    time.sleep(seconds / 4)
    for daemon in trial.daemons:
        trial.start(daemon)


def hang_up(trial, seconds):
    """Sends SIGHUP to each daemon in turn."""
    for daemon in trial.daemons:
        trial.signal(daemon, signal.SIGHUP)
        time.sleep(seconds / len(trial.daemons))


def cut_links(trial, pairs, seconds, directions=("forth", "back")):
    """Cuts the links between the (source, target) pairs for some seconds.

    The direction "forth" is from source to target, "back" the other one.
    """
    for source, target in pairs:
        trial.network.cut(source, target, directions)
    time.sleep(seconds)
    for source, target in pairs:
        for link in trial.network.links_between(source, target):
            link.heal()


def cut_daemon_from_store(trial, seconds):
    cut_links(trial, [(random_daemon(trial).name, "store")], seconds)


def cut_daemon_one_way(trial, seconds):
    cut_links(trial, [(random_daemon(trial).name, None)], seconds,
              random.choice((("forth",), ("back",))))


def cut_daemon_from_vms(trial, seconds):
    daemon_name = random_daemon(trial).name
    cut_links(trial, [(daemon_name, vm.name) for vm in trial.vms], seconds)


def cut_vm(trial, seconds):
    cut_links(trial, [(None, random.choice(trial.vms).name)], seconds)


def cut_zone(trial, seconds):
    """Partitions a zone from the other zone, the store and the advisor."""
    zone = random.choice(trial.zones)
    zone_members = {member.name for member in trial.daemons + trial.vms
                    if member.zone == zone}
    pairs = [(daemon.name, target.name)
             for daemon in trial.daemons
             for target in trial.daemons + trial.vms
             if (daemon.name in zone_members) != (target.name in zone_members)]
    pairs += [(daemon.name, service) for daemon in trial.daemons
              if daemon.name in zone_members
              for service in ("store", "advisor")]
    cut_links(trial, pairs, seconds)


def delay_links(trial, seconds):
    daemon_name = random_daemon(trial).name
    trial.network.delay(daemon_name, None, 0.2)
    time.sleep(seconds)
    trial.network.delay(daemon_name, None, 0)


def reset_links(trial, seconds):
    """Resets all connections: restoring a cut link closes them."""
    for _ in range(3):
        cut_links(trial, [(None, None)], 0.02)
        time.sleep(seconds / 3)


def silence_connections(trial, seconds):
    """Makes the open connections of all or some links silent, in a series.

    No reset arrives, and new connections work.
    """
    for _ in range(3):
        source = random.choice((None, random_daemon(trial).name))
        trial.network.silence(source, random.choice((None, "store")))
        time.sleep(seconds / 3)


def cut_advisor(trial, seconds):
    cut_links(trial, [(None, "advisor")], seconds)


def store_busy(trial, seconds):
    with trial.store.refusing():
        time.sleep(seconds)


def store_silent(trial, seconds):
    cut_links(trial, [(None, "store")], seconds)


def store_slow(trial, seconds):
    trial.store.response_delay_s = 0.15
    time.sleep(seconds)
    trial.store.response_delay_s = 0


def store_loses_answers(trial, seconds):
    trial.store.lost_response_share = 0.3
    time.sleep(seconds)
    trial.store.lost_response_share = 0


def store_fails_at_writes(trial, seconds, status=503, late_s=0):
    """Again and again the store takes the write of a submission, closes the
    connection without a response, and refuses all calls from then on.

    The write is performed at once, or after late_s.
    """
    def lose_response(_, perform):
        if late_s:
            threading.Timer(late_s, perform).start()
        else:
            perform()

    fail_at_writes(trial, seconds, status, lose_response)


def peers_fail_at_writes(trial, seconds):
    """Again and again a daemon that the store refuses loses its connection to
    a peer, as that one has performed a write, and the store refuses all."""
    victim = random_daemon(trial)

    def lose_connection(daemon_name, perform):
        result = perform()
        for link in trial.network.links_between(victim.name, daemon_name):
            link.cut()
            link.heal()
        return result

    with trial.store.refusing(victim.name):
        fail_at_writes(trial, seconds, 503, lose_connection)


def fail_at_writes(trial, seconds, status, write_fault):
    """Again and again for some seconds, the write fault takes a write, and the
    store refuses all calls for OUTAGE_S from then on."""
    store = trial.store

    def refuse_and_fail(daemon_name, perform):
        store.refusals[refuse_and_fail] = (None, status)
        trial.lost_writes += 1
        return write_fault(daemon_name, perform)

    end = time.monotonic() + seconds
    while time.monotonic() < end:
        store.write_faults.append(refuse_and_fail)
        while (refuse_and_fail not in store.refusals and
               time.monotonic() < end):
            time.sleep(0.001)
        time.sleep(OUTAGE_S)
        store.write_faults.remove(refuse_and_fail)
        store.refusals.pop(refuse_and_fail, None)
        time.sleep(CALM_S)


def store_forgets(trial, seconds):
    """The store drops its change history, so that daemons must read anew."""
    for _ in range(3):
        trial.store.forget_history()
        time.sleep(seconds / 3)


def crash_vm(trial, seconds):
    random.choice(trial.vms).restart()
    time.sleep(seconds)


def change_capacities(trial, seconds):
    """The capacities of two VMs shrink and grow again, several times."""
    chosen = random.sample(trial.vms, 2)
    full = chosen[0].capacity
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for vm in chosen:
            share = random.choice((0, 0.25, 0.5, 1))
            vm.set_capacity({field: int(amount * share)
                             for field, amount in full.items()})
        time.sleep(random.uniform(0.3, 2))
    for vm in chosen:
        vm.set_capacity(full)


def shrink_without_store(trial, seconds):
    """All VMs shrink while the store is away, and grow again after it."""
    full = trial.vms[0].capacity
    with trial.store.refusing():
        for vm in trial.vms:
            vm.set_capacity({field: amount // 4
                             for field, amount in full.items()})
        time.sleep(seconds)
    time.sleep(seconds)
    for vm in trial.vms:
        vm.set_capacity(full)


def set_on_two_vms(trial, seconds, field, value, normal):
    """Sets a field of two random VMs for some seconds."""
    chosen = random.sample(trial.vms, 2)
    for vm in chosen:
        setattr(vm, field, value)
    time.sleep(seconds)
    for vm in chosen:
        setattr(vm, field, normal)


def vms_unhealthy(trial, seconds):
    set_on_two_vms(trial, seconds, "unhealthy", True, False)


def tasks_stand_still(trial, seconds):
    """Tasks on two VMs make no progress."""
    set_on_two_vms(trial, seconds, "hangs", True, False)


def orders_late(trial, seconds):
    """Two VMs execute half of their commands late and never respond to them.

    Holds, which renew the lease, are not affected.
    """
    set_on_two_vms(trial, seconds, "late_share", 0.5, 0)


def start_outlives_restart(trial, seconds):
    """A VM restarts with a start unanswered, which its new incarnation executes
    once the owner has held it, if that is in time. Stops are late, too."""
    vm = random.choice([vm for vm in trial.vms if not vm.withheld_paths])
    vm.withheld_paths = (operator_vms.START_PATH,)
    end = time.monotonic() + seconds
    while not vm.withheld and time.monotonic() < end:
        time.sleep(0.01)
    with trial.simulation.lock:
        if vm.withheld:
            vm.restart()
            # Breaks the owner's hold off, so that it holds the VM again before
            # it repeats the start.
            trial.simulation.run_ended.notify_all()
        vm.withheld_paths = (operator_vms.STOP_PATH,)
    while not vm.held_again and time.monotonic() < end:
        time.sleep(0.01)
    if not vm.held_again:
        vm.withheld.clear()
    vm.execute_withheld()


def late_orders_outlive_restarts(trial, seconds):
    """Two VMs execute half of their commands late, and restart meanwhile."""
    chosen = random.sample(trial.vms, 2)
    for vm in chosen:
        vm.late_share = 0.5
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(random.uniform(0.2, 1))
        random.choice(chosen).restart()
    for vm in chosen:
        vm.late_share = 0


def change_config(trial, seconds):
    for _ in range(4):
        trial.write_config()
        time.sleep(seconds / 4)


ALL = [kill_daemon, stop_daemon, roll_daemons, freeze_daemon, power_off_all,
       hang_up, cut_daemon_from_store, cut_daemon_one_way, cut_daemon_from_vms,
       cut_vm, cut_zone, delay_links, reset_links, cut_advisor, store_busy,
       store_silent, store_slow, store_loses_answers, store_forgets, crash_vm,
       vms_unhealthy, tasks_stand_still, orders_late, change_config]
# A new incarnation may execute a late order before its owner's first hold, so
# that these are drawn on request only.
LATE_RESTARTS = [start_outlives_restart, late_orders_outlive_restarts]


def drop_queue(trial, seconds):
    """Removes a queue from the contracts while its jobs run.

    A daemon may read the change late for as long as there are other faults.
    """
    trial.queues_missing_until = float("inf")
    queue = random.choice(list(trial.queues))
    trial.dropped_queues.add(queue)
    trial.write_config()
    time.sleep(seconds)
    trial.dropped_queues.discard(queue)
    trial.write_config()


def submit_hopeless_job(trial, _):
    """Submits a job of many tasks that no VM can host, in the most urgent
    queue. It stays queued and must not affect the other jobs."""
    step = {"count": 5000, "cpu": 64000, "mem_mb": 200, "estimate_ms": 100}
    call = {"job": "%016x" % random.getrandbits(64), "queue": "urgent",
            "open": {}}
    trial.load.send_request("POST", call,
                            {"spec": "{}", "steps": [step] * 300})
    for connection in call["open"].values():
        connection.close()


def draw_faults(rng, count, seconds):
    """Draws faults that may overlap, as (start, function, duration) in s."""
    return [(rng.uniform(1, seconds), rng.choice(ALL), rng.uniform(0.5, 5))
            for _ in range(count)]


def draw_write_faults(seed, seconds):
    """Draws one or two faults at writes for about half of the seeds.

    They have a generator of their own, so that a seed keeps its other faults;
    so do the silent connections below.
    """
    rng = random.Random("write faults of seed %d" % seed)
    faults = []
    for _ in range(rng.choice((0, 0, 1, 2))):
        fault = rng.choice((peers_fail_at_writes, functools.partial(
            store_fails_at_writes, status=rng.choice((503, 429)),
            late_s=rng.choice((0, round(rng.uniform(0.5, 3), 1))))))
        faults.append((rng.uniform(0, seconds / 2), fault,
                       rng.uniform(2, seconds / 2)))
    return faults


def draw_silent_connections(seed, seconds):
    """Draws silent connections beside changes of the contracts for about half
    of the seeds."""
    rng = random.Random("silent connections of seed %d" % seed)
    return [(rng.uniform(0, seconds / 2), fault, seconds / 2)
            for fault in (silence_connections, change_config)
            for _ in range(rng.choice((0, 1)))]


def draw_hopeless_jobs(seed, seconds):
    """Draws up to four jobs that can never be done."""
    rng = random.Random("hopeless jobs of seed %d" % seed)
    return [(rng.uniform(0, seconds / 2), submit_hopeless_job, 0)
            for _ in range(rng.choice((0, 1, 4)))]
