"""Faults that a trial injects. Each is a function of the trial.Trial.

Command lines and test names refer to the functions in ALL by name.
"""

import signal
import threading
import time

# The longest lease in trial.TIMINGS_MS is 6 s.
LONGER_THAN_LEASES_S = 7


def combine(*fault_functions):
    """Returns one fault that injects all of these at the same time."""
    def run_all(trial):
        threads = [threading.Thread(target=fault, args=(trial,))
                   for fault in fault_functions]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    run_all.__name__ = "+".join(fault.__name__ for fault in fault_functions)
    return run_all


def vms_of_domain(trial, domain="d1"):
    return {name for name, vm in trial.cluster.vms.items()
            if vm["domain"] == domain}


def kill_owner(trial):
    trial.breaks_calls = True
    owner = trial.owner()
    owner.kill()
    time.sleep(4)
    owner.start()


def kill_standby(trial):
    trial.breaks_calls = True
    standby = trial.standby()
    standby.kill()
    time.sleep(1)
    standby.start()


def freeze_owner(trial):
    trial.breaks_calls = True
    owner = trial.owner()
    owner.signal(signal.SIGSTOP)
    time.sleep(LONGER_THAN_LEASES_S)
    owner.signal(signal.SIGCONT)


def freeze_backend(trial):
    backend = trial.cluster.backends["d1"]
    trial.isolated_vms |= vms_of_domain(trial)
    backend.signal(signal.SIGSTOP)
    time.sleep(LONGER_THAN_LEASES_S)
    backend.signal(signal.SIGCONT)


def cut_owner_from_platform(trial):
    owner = trial.owner()
    trial.network.cut(owner.name, "platform")
    time.sleep(5)
    trial.network.heal()


def cut_owner_from_peers(trial):
    owner, standby = trial.owner(), trial.standby()
    trial.network.cut(owner.name, standby.name)
    trial.network.cut(standby.name, owner.name)
    time.sleep(5)
    trial.network.heal()


def cut_owner_from_all(trial):
    owner = trial.owner()
    trial.network.cut(owner.name, None)
    trial.network.cut(None, owner.name)
    time.sleep(LONGER_THAN_LEASES_S)
    trial.network.heal()


def cut_answers_from_backend(trial):
    """Requests reach the backend servers, but their responses are lost."""
    trial.isolated_vms |= vms_of_domain(trial)
    trial.network.cut(trial.owner().name, "backend-d1", ("back",))
    time.sleep(5)
    trial.network.heal()


def cut_domain(trial):
    """Partitions domain d1 from the platform and from the other domains."""
    others = [d.name for d in trial.cluster.daemons.values()
              if d.domain != "d1"]
    for daemon in trial.cluster.daemons_in_domain("d1"):
        for target in others + ["platform"]:
            trial.network.cut(daemon.name, target)
        for source in others:
            trial.network.cut(source, daemon.name)
    time.sleep(LONGER_THAN_LEASES_S)
    trial.network.heal()


def platform_down(trial):
    trial.control_platform(down=True)
    time.sleep(5)
    trial.control_platform(down=False)


def platform_slow(trial):
    trial.control_platform(slow_ms=700)
    time.sleep(5)
    trial.control_platform(slow_ms=0)


def platform_loses_replies(trial):
    for _ in range(4):
        trial.control_platform(lose_replies=2)
        time.sleep(1)


def vm_leaves(trial):
    trial.cluster.control_vm("d1-vm1", leaving=True)
    time.sleep(LONGER_THAN_LEASES_S)


def vm_unreachable(trial):
    trial.isolated_vms.add("d1-vm2")
    trial.cluster.control_vm("d1-vm2", unreachable=True)
    time.sleep(LONGER_THAN_LEASES_S + 2)
    trial.cluster.control_vm("d1-vm2", unreachable=False)


def vm_refuses_starts(trial):
    trial.cluster.control_vm("d1-vm3", refuse_starts=True)
    time.sleep(3)
    trial.cluster.control_vm("d1-vm3", refuse_starts=False)


def vm_loses_answers(trial):
    trial.cluster.control_vm("d1-vm3", hang_requests=True)
    time.sleep(4)
    trial.cluster.control_vm("d1-vm3", hang_requests=False)


def restart_all(trial):
    """Restarts every daemon in turn by a planned shutdown."""
    for daemon in trial.cluster.daemons.values():
        daemon.signal(signal.SIGTERM)
        daemon.wait(30)
        daemon.start()
        time.sleep(1)


def kill_owner_while_platform_is_down(trial):
    trial.breaks_calls = True
    trial.control_platform(down=True)
    time.sleep(1)
    for daemon in trial.cluster.daemons_in_domain("d1"):
        # Daemons answer operators also while the platform is down.
        if daemon.state()["is_owner"]:
            daemon.kill()
            break
    time.sleep(LONGER_THAN_LEASES_S)
    trial.control_platform(down=False)
    daemon.start()


ALL = [kill_owner, kill_standby, freeze_owner, freeze_backend,
       cut_owner_from_platform, cut_owner_from_peers, cut_owner_from_all,
       cut_answers_from_backend, cut_domain, platform_down, platform_slow,
       platform_loses_replies, vm_leaves, vm_unreachable, vm_refuses_starts,
       vm_loses_answers, restart_all, kill_owner_while_platform_is_down]
