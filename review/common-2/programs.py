"""Clients that run programs, for the cases that end with a final fault."""

import threading
import time

from standins import send, turn_headers


class Traffic:
    """Clients that run one program after the other: a turn, a call of a tool,
    a turn that continues the first one. A turn that fails is sent again from
    its start, at most twice; a program whose turn has failed three times
    ends."""

    def __init__(self, site):
        self.site = site
        self.sent = []
        self.is_over = False
        self.threads = [threading.Thread(target=self.client, args=(n,)) for n in range(6)]
        for each in self.threads:
            each.start()

    def request(self, front, path, headers, body):
        at = time.monotonic()
        answer = send(self.site.front_port[front], "POST" if body else "GET", path,
                      headers, body, timeout=4)
        is_served = answer.is_whole and answer.status == 200
        self.sent.append((at, is_served))
        self.site.record("%s %s at %s: %s" % (headers["Request-Id"], path, front, answer))
        return is_served

    def turn(self, client, name, program, previous):
        for attempt in range(3):
            front = self.site.fronts[(client + attempt) % len(self.site.fronts)]
            request_id = "%s.%d" % (name, attempt)
            if self.request(front, "/turn/x", turn_headers(request_id, program, previous=previous),
                            b"input of " + name.encode()):
                return request_id
            time.sleep(0.25)
        return None

    def client(self, number):
        count = 0
        while not self.is_over:
            count += 1
            program = "p%d-%d" % (number, count)
            first = self.turn(number, program + "-first", program, None)
            if first:
                self.request(self.site.fronts[number % 2], "/page/x",
                             {"Request-Id": program + "-page", "Time-Remaining": 1200,
                              "Program-Id": program}, b"")
                self.turn(number, program + "-second", program, first)
            time.sleep(0.3)

    def share(self, begin, end):
        found = [served for at, served in self.sent if begin <= at < end]
        return sum(found) / len(found) if found else 0.0, len(found)

    def close(self):
        self.is_over = True
        for each in self.threads:
            each.join()
