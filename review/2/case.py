"""A storage machine that has lost its disk is restarted while it copies the
records. It never goes on, so the final fault, one more disk, ends the service
for good."""

import os
import shutil
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import standins as s  # noqa: E402

CALLERS = 24
LOAD_SECONDS = 20
INPUT_BYTES = 4300
CATCH_UP = 4.4
CONTACT = 3.0
RECOVERY = 12.0
LAST = 4.0


def body(record):
    site = s.Deployment(record, s.configuration([s.TURNS], s.ENGINE))
    try:
        site.workers = [s.Worker(site.store, record, "i-%d" % n, "trail-llm", zone, gap=0.002)
                        for n, zone in enumerate(site.ZONES * 3)]
        site.start()
        first, _, third = site.storages

        def programs(number, ends):
            """Runs programs of three turns, one after another."""
            count = 0
            while record.now() < ends:
                count += 1
                chain = s.Chain(site, record, "p%d-%d" % (number, count))
                chain.padding = "x" * INPUT_BYTES
                for _ in range(3):
                    if chain.turn(site.fronts[number % 3], tries=2).status != 200:
                        break

        ends = record.now() + LOAD_SECONDS
        threads = [threading.Thread(target=programs, args=(n, ends)) for n in range(CALLERS)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

        def lose_disk(storage):
            if not s.is_troubled():
                return
            storage.kill()
            shutil.rmtree(storage.boot["dataDirectory"])
            record.write("%s has lost its disk" % storage.name)
            time.sleep(1)
            storage.start()

        # One storage machine loses its disk. While it copies the records, its
        # process is killed, and started again after 0.3 s.
        lose_disk(third)
        if s.is_troubled():
            limit = time.monotonic() + 10
            while "records_pull_started" not in third.log() and time.monotonic() < limit:
                time.sleep(0.01)
            time.sleep(0.05)
            third.kill()
            time.sleep(0.3)
            third.start()
        # It is back for longer than catchUpS and contactTimeoutMs.
        time.sleep(CATCH_UP + CONTACT + 2)
        chains = [s.Chain(site, record, "q%d" % n) for n in range(8)]
        for each in chains:
            for _ in range(2):
                answer = each.turn(site.fronts[0], tries=3)
                if answer.status != 200 or not answer.whole:
                    raise RuntimeError("not served before the final fault: %d" % answer.status)
        # The final fault: a configuration is confirmed, and one machine loses
        # its disk.
        site.store.put("op/config", s.configuration([s.TURNS], s.ENGINE, version=9))
        lose_disk(first)
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
                if c.sent >= 7 and not any(r.startswith(c.name + "-") and "first" not in r
                                           for r in reached)]
        for each in site.storages:
            for line in each.log().split("\n"):
                if "ledger_view" in line or "records_pull" in line or "ledger_started" in line:
                    record.write("%s: %s" % (each.name, line[line.find("event="):]))
        is_lost = len(lost) > 0
        is_unrecovered = served[0] * 4 < tried[0]
        return is_lost or is_unrecovered, (
            "later than recoveryS after the final fault: %d of %d requests were served; "
            "%d of %d turns after ones that were answered whole reached no worker in five "
            "tries or more" % (served[0], tried[0], len(lost), len(chains)))
    finally:
        site.stop()


s.run_case(FOLDER, body)
