"""One client continues one conversation with turns of 1 MB."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import standins as s  # noqa: E402

TURNS = 80
TRIES = 6
TURN_BYTES = 1000 * 1000
CHAIN_S = 18
ORDINARY_PER_S = 10
ORDINARY_S = 20


async def ordinary(deployment, results):
    """Ordinary callers: first turns of programs, each with two tries."""
    async def one(number):
        for attempt in range(2):
            name = "usual-%d-%d" % (number, attempt)
            answer = await s.send(
                deployment.caller_ports[(number + attempt) % 3], "POST", "/turn/x",
                s.turn_headers(name, "u%d" % number), b"z" * 4300)
            deployment.write("%s answered %s" % (name, answer))
            if answer.status == 200 and answer.is_whole:
                results.append(True)
                return
            await asyncio.sleep(0.3)
        results.append(False)

    tasks = []
    for number in range(ORDINARY_S * ORDINARY_PER_S):
        tasks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(1 / ORDINARY_PER_S)
    await asyncio.gather(*tasks)


async def chain(deployment, body):
    """Returns the number of turns that were answered whole."""
    newest = None
    for number in range(TURNS):
        for attempt in range(TRIES):
            name = "chain-%d-%d" % (number, attempt)
            answer = await s.send(
                deployment.caller_ports[attempt % 3], "POST", "/turn/x",
                s.turn_headers(name, "one", newest), body)
            deployment.write("%s (after %s) answered %s; MB used: %s" % (
                name, newest, answer, {p.name: round(p.resident_mb())
                                       for p in deployment.processes.values()}))
            if answer.status == 200 and answer.is_whole:
                break
            await asyncio.sleep(0.3)
        else:
            return number
        newest = name
    return TURNS


async def run(deployment):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    await deployment.start(relays=3, workers=9)
    results = []
    usual = asyncio.ensure_future(ordinary(deployment, results))
    task = asyncio.ensure_future(
        chain(deployment, b"x" * (TURN_BYTES if trouble else 4300)))
    await asyncio.wait([task], timeout=CHAIN_S)
    deployment.write("turns of the chain answered whole: %s" %
                     (task.result() if task.done() else "not ended"))
    task.cancel()
    await usual
    ends = []
    for process in deployment.processes.values():
        deployment.write("%s: peak %.0f MB of %d MB, ends: %d" % (
            process.name, process.peak_mb, process.memory_mb, len(process.ends)))
        ends += process.ends
    deployment.write("ordinary: %d of %d served" % (sum(results), len(results)))
    broken = bool(ends)
    deployment.write("rule broken" if broken else "rule held")
    return broken


sys.exit(s.main(run, os.path.join(HERE, "record.txt")))
