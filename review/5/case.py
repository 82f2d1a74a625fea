"""The beginning of a chain expires at a replica that has missed a later turn,
although the chain is in use. With the next loss of a disk it is lost."""

import os
import shutil
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import standins as s  # noqa: E402

CHAINS = 5
RETENTION = 12
CATCH_UP = 4.4
CONTACT = 3.0


def body(record):
    route = dict(s.TURNS, retentionS=RETENTION)
    site = s.Deployment(record, s.configuration([route], s.ENGINE))
    try:
        site.workers = [s.Worker(site.store, record, "i-%d" % n, "trail-llm", zone)
                        for n, zone in enumerate(site.ZONES)]
        site.start()
        front = site.fronts[0]
        first, second, third = site.storages
        chains = [s.Chain(site, record, "c%d" % n) for n in range(CHAINS)]

        def turns():
            for each in chains:
                answer = each.turn(front, tries=5)
                if not (answer.status == 200 and answer.whole):
                    raise RuntimeError("a turn was not served: %d" % answer.status)

        def turns_without(storage):
            """The next turns, while one storage machine is restarted."""
            if s.is_troubled():
                storage.terminate()
            turns()
            if s.is_troubled():
                storage.start()

        # Storage machines are stopped and started in turn.
        turns_without(third)
        time.sleep(CATCH_UP + 1)
        turns_without(first)
        # New programs go on from these turns, always before retentionS is over.
        for each in chains:
            each.program = "p-next-" + each.name
        for _ in range(10):
            time.sleep(RETENTION - 3.5)
            turns()
        # One storage machine loses its disk.
        if s.is_troubled():
            second.kill()
            shutil.rmtree(second.boot["dataDirectory"])
            time.sleep(1)
            second.start()
        time.sleep(CATCH_UP + CONTACT + 0.3)
        lost, first_turns = [], 0
        for each in chains:
            new = s.Chain(site, record, "first-" + each.name)
            first_turns += new.turn(front, tries=2).status == 200
            answer = each.turn(front, tries=6, pause=0.1)
            reached = {r for w in site.workers for r, _, _ in w.runs}
            if answer.status != 200 and not any(
                    "%s-%d-%d" % (each.name, each.sent, n) in reached for n in range(6)):
                lost.append(each.name)
        return bool(lost), (
            "%d of %d turns after ones that were answered whole less than retentionS ago "
            "reached no worker in six tries; %d of %d first turns were served" % (
                len(lost), CHAINS, first_turns, CHAINS))
    finally:
        site.stop()


s.run_case(FOLDER, body)
