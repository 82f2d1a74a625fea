"""A lost replica is kept as a member in place of one that is alive and that the
platform's store turns away. The final fault then ends the service for good."""

import os
import shutil
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import standins as s  # noqa: E402

CATCH_UP = 4.4
RECOVERY = 12.0
LAST = 4.0
REFUSED = 9.0


def body(record):
    site = s.Deployment(record, s.configuration([s.TURNS], s.ENGINE))
    try:
        site.workers = [s.Worker(site.store, record, "i-%d" % n, "trail-llm", zone)
                        for n, zone in enumerate(site.ZONES * 3)]
        site.start()
        first, second, third = site.storages
        chains = [s.Chain(site, record, "c%d" % n) for n in range(8)]

        def turns():
            for each in chains:
                answer = each.turn(site.fronts[0], tries=4)
                if answer.status != 200 or not answer.whole:
                    raise RuntimeError("not served before the final fault: %d" % answer.status)

        def lose_disk(storage, seconds):
            if not s.is_troubled():
                return
            storage.kill()
            shutil.rmtree(storage.boot["dataDirectory"])
            record.write("%s has lost its disk" % storage.name)
            time.sleep(seconds)
            storage.start()

        turns()
        # The store turns one storage machine away and serves the others.
        began = record.now()
        if s.is_troubled():
            site.store.refused.add(third.name)
            record.write("the store turns %s away" % third.name)

        def serve_again():
            time.sleep(REFUSED)
            site.store.refused.clear()
            record.write("the store serves all machines")

        threading.Thread(target=serve_again, daemon=True).start()
        time.sleep(3.3)
        turns()
        # Another storage machine loses its disk.
        lose_disk(second, 0.5)
        time.sleep(CATCH_UP)
        turns()
        # The final fault: a configuration is confirmed, and a machine loses its disk.
        record.write("%.1f s after the store began to turn one machine away" % (record.now() - began))
        site.store.put("op/config", s.configuration([s.TURNS], s.ENGINE, version=9))
        lose_disk(first, 1)
        time.sleep(RECOVERY + 0.5)
        record.write("recoveryS is over")
        tried, served = [0], [0]
        lock = threading.Lock()
        ends = record.now() + LAST

        def tries(chain, front):
            """Tries the chain's next turn, and first turns, until the end."""
            number = 0
            while record.now() < ends:
                number += 1
                new = s.Chain(site, record, "%s-first%d" % (chain.name, number))
                for each in (chain, new):
                    answer = each.turn(front)
                    with lock:
                        tried[0] += 1
                        served[0] += answer.status == 200 and answer.whole
                time.sleep(0.4)

        before = {r for w in site.workers for r, _, _ in w.runs}
        threads = [threading.Thread(target=tries, args=(c, site.fronts[n % 3]))
                   for n, c in enumerate(chains)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        reached = {r for w in site.workers for r, _, _ in w.runs} - before
        lost = [c.name for c in chains
                if not any(r.startswith(c.name + "-") and "first" not in r for r in reached)]
        for each in site.storages:
            for line in each.log().split("\n"):
                if "ledger_view" in line or "records_pull" in line or "ledger_started" in line:
                    record.write("%s: %s %s" % (each.name, line[10:25], line[line.find("event="):]))
        return bool(lost) or served[0] * 4 < tried[0], (
            "later than recoveryS after the final fault: %d of %d requests were served; "
            "%d of %d turns after ones that were answered whole reached no worker in five "
            "tries or more" % (served[0], tried[0], len(lost), len(chains)))
    finally:
        site.stop()


s.run_case(FOLDER, body)
