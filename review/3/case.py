"""A turn's history is put together from two replies of one replica."""

import os
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import standins as s  # noqa: E402

CHAINS = 60
FREEZES = 1


def all_turns(chains, front, gap):
    """Sends the next turn of each chain, one after another by a gap."""
    threads = []
    for each in chains:
        threads.append(threading.Thread(target=each.turn, args=(front,)))
        threads[-1].start()
        time.sleep(gap)
    for each in threads:
        each.join()


def body(record):
    site = s.Deployment(record, s.configuration([s.TURNS], s.ENGINE))
    try:
        site.workers = [s.Worker(site.store, record, "i-%d" % n, "trail-llm", zone)
                        for n, zone in enumerate(site.ZONES)]
        site.start()
        front = site.fronts[0]
        own, other, _ = site.storages
        chains = [s.Chain(site, record, "c%d" % n) for n in range(CHAINS)]
        # The first turns, while one storage machine is down for 3.5 s.
        if s.is_troubled():
            other.kill()
        began = time.monotonic()
        time.sleep(1.5)
        all_turns(chains, front, 0.025)
        time.sleep(max(0, 3.5 - (time.monotonic() - began)))
        if s.is_troubled():
            other.start()
        # Until it counts as back: catchUpS, and more.
        time.sleep(8)
        all_turns(chains, front, 0.025)
        # The storage machine of the front's own zone freezes.
        for _ in range(FREEZES):
            time.sleep(5)
            sender = threading.Thread(target=all_turns, args=(chains, front, 0.02))
            sender.start()
            time.sleep(0.1)
            if s.is_troubled():
                own.signal(signal.SIGSTOP)
            time.sleep(1.0)
            if s.is_troubled():
                own.signal(signal.SIGCONT)
            sender.join()
        wrong = s.wrong_bodies(chains, site.workers)
        for worker, request, expected, got in wrong:
            record.write("WRONG at %s: %s: expected %r, got %r" % (worker, request, expected, got))
        served = sum(len(w.runs) for w in site.workers)
        return bool(wrong), "%d turns ran, %d with a wrong body" % (served, len(wrong))
    finally:
        site.stop()


s.run_case(FOLDER, body)
