"""A turn's stream is taken up at another front machine after the first one was
killed. The next turn must get all that the turn before has said."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from standins import *

PROGRAMS = 6
EVENTS = 7


class Program(threading.Thread):
    """A client that runs two turns. It takes up a stream that breaks, with
    Last-Event-Id and the id of the attempt that brought its first event."""

    def __init__(self, site, number, front):
        super().__init__()
        self.site, self.number, self.front = site, number, front
        self.events = []
        self.has_begun = threading.Event()
        self.may_go_on = threading.Event()
        self.last = None
        self.next_id = None
        self.attempts = 0

    def attempt(self, front, name, body, **more):
        headers = turn_headers(name, "p%d" % self.number, **more)
        begun = []

        def on_events(events):
            begun[:] = events
            if len(self.events) + len(events) >= 2:
                self.has_begun.set()

        answer = send(self.site.front_port[front], "POST", "/turn/x", headers, body,
                      on_events=on_events)
        self.site.record("%s at %s: %s" % (name, front, answer))
        return answer

    def run(self):
        body = b"question %d;" % self.number
        end = time.monotonic() + 3.0
        first = None
        front = self.front
        for attempt in range(6):
            name = "turn%d.%d" % (self.number, attempt)
            more = {}
            if self.events:
                more = {"Last_Event_Id": self.events[-1][0], "Resumes": first}
            left = int((end - time.monotonic()) * 1000)
            answer = self.attempt(front, name, body, time_remaining=max(left, 1), **more)
            if answer.events and not first:
                first = name
            self.events += answer.events
            if answer.is_whole and answer.status == 200:
                self.last = name
                break
            front = self.site.fronts[-1]
            time.sleep(0.1)
        self.attempts = attempt + 1
        self.may_go_on.wait()
        if not self.last:
            return
        for attempt in range(3):
            self.next_id = "next%d.%d" % (self.number, attempt)
            answer = self.attempt(self.site.fronts[-1], self.next_id, b"and then?",
                                  previous=self.last)
            if answer.status == 200:
                break
            time.sleep(0.25)


def case(record, has_trouble):
    site = Site(record, fronts=6, storages=3)
    programs = []
    try:
        site.store.put("op/config", configuration(1, [
            route("turns", "/turn/", "streaming", keepsHistory=True, retentionS=60.0,
                  resumable=True, sticky=True, gapAimMs=150)]))
        workers = [Worker(site.store, "i-%d" % n, events=EVENTS, interval=0.12)
                   for n in range(1, 10)]
        site.start_all()
        time.sleep(1)
        programs = [Program(site, n, site.fronts[0]) for n in range(PROGRAMS)]
        for each in programs:
            each.start()
        for each in programs:
            each.has_begun.wait(3)
        if has_trouble:
            site.kill(site.fronts[0])
        time.sleep(3.5)
        if has_trouble:
            site.start(site.fronts[0])
        for each in programs:
            each.may_go_on.set()
        for each in programs:
            each.join()

        wrong = checked = 0
        for each in programs:
            numbers = [number for number, _ in each.events]
            site.record("turn%d took %d attempts; its client has the events %s" %
                        (each.number, each.attempts, numbers))
            runs = [run for worker in workers for run in worker.ran(each.next_id)]
            if numbers != list(range(1, EVENTS + 1)) or not runs:
                continue
            checked += 1
            due = "question %d;" % each.number
            due += "".join(data + "\n" for _, data in each.events) + "and then?"
            for run in runs:
                is_right = run["body"] == due
                site.record("%s ran with %r, due was %r: %s" % (
                    each.next_id, run["body"], due, "right" if is_right else "WRONG"))
                wrong += not is_right
        print("%d of %d second turns ran with another body than the chain's" % (wrong, checked))
        if checked == 0:
            raise CannotRun("no second turn ran")
        return wrong == 0
    finally:
        for each in programs:
            each.may_go_on.set()
            each.join()
        site.close()


if __name__ == "__main__":
    main(case, FOLDER)
