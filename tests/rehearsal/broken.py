"""The daemon, broken on purpose: `python broken.py KIND`. Each kind breaks one promise and keeps the rest.

The kit's tests start these in the daemon's place: a judge that does not fail each of them is no judge.
"""

from __future__ import annotations

import asyncio
import os
import sys

import hollyport.__main__ as program
from dunefield import attempt_rules, balancer, probed_selection, retries
from dunefield.interface import AttemptOutcome
from hollyport import sidecar
from hollyport.bodies import flow
from hollyport.core import requests as core
from hollyport.guests import listener
from hollyport.http import front
from hollyport.lifecycle import machine
from hollyport.lists import discovery


def answers_twice() -> None:
    plain = front.ClientConnection.answer

    def answer(self, message, status, body, headers):
        transport = self._transport
        plain(self, message, status, body, headers)
        if status == 200 and transport is not None and not transport.is_closing():
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbis")

    front.ClientConnection.answer = answer


def drops_an_answer() -> None:
    plain, count = front.Message.answer, iter(range(10**9))

    def answer(self, status, body=b"", headers=None):
        if status != 200 or self.target.startswith(b"/-/") or next(count) % 20 != 7:
            plain(self, status, body, headers)

    front.Message.answer = answer


def alters_an_answer() -> None:
    plain, count = front.Message.answer, iter(range(10**9))

    def answer(self, status, body=b"", headers=None):
        wrong = status == 200 and not self.target.startswith(b"/-/") and next(count) % 20 == 7
        plain(self, status, body[::-1] if wrong else body, headers)

    front.Message.answer = answer


def resends_unsafe() -> None:
    balancer.NEVER_RAN = frozenset(AttemptOutcome)  # whatever came of it, it is taken not to have run
    resend_at_once()


def resends_after_reset() -> None:
    balancer.NEVER_RAN = balancer.NEVER_RAN | {AttemptOutcome.RESET}
    resend_at_once()


def resend_at_once() -> None:
    """What is taken not to have run goes to another server whatever its budget and the time that is left say:
    short of processors those left nothing to resend in one run of the tests, and all was refused instead."""
    plain = retries.Retries.retry

    def again(self, now, call, free):
        for server in sorted(self._state.up_servers, key=lambda s: s.in_flight):
            if server not in call.tried_servers and self._rules.send(now, call, server, False):
                return
        plain(self, now, call, free)

    retries.Retries.retry = again


def refuses_what_ran() -> None:
    attempt_rules.AttemptRules.may_refuse = lambda self, call: True


def sends_to_drained() -> None:
    discovery.LIFECYCLES = {**discovery.LIFECYCLES, "DRAINING": "up"}
    plain = probed_selection.ProbedSelection.handle_probe_result

    def echo(self, now, event):
        # Nor does it hear a node's own no to a probe: else a few sends at most are left to judge by.
        if event.outcome == AttemptOutcome.ERROR:
            event = event._replace(outcome=AttemptOutcome.OK, load={"inflight": 0.0, "queue": 0.0})
        plain(self, now, event)

    probed_selection.ProbedSelection.handle_probe_result = echo


def ignores_cold() -> None:
    def ask(self, now, call):
        for server in sorted(self._state.up_servers, key=lambda s: -s.started):
            if server not in call.tried_servers and self._rules.send(now, call, server, False):
                return
        self._rules.finish(call, 0)

    probed_selection.ProbedSelection.probe_servers = ask  # the youngest gets everything


def leaks() -> None:
    plain, kept = core.Core.request, []

    def request(self, asked, terms):
        kept.append(os.urandom(200_000))
        plain(self, asked, terms)

    core.Core.request = request


def holds_much() -> None:
    plain, kept = core.Core.request, []

    def request(self, asked, terms):
        if not kept:
            kept.append(os.urandom(260 << 20))
        plain(self, asked, terms)

    core.Core.request = request


def hangs_on_sigterm() -> None:
    async def stop(self):
        await asyncio.sleep(3600)

    sidecar.Sidecar.stop = stop


def keeps_its_clients() -> None:
    listener.Listener.last_requests = lambda self, on=True: None
    listener.Listener.empty = lambda self: None


def says_yes_while_away() -> None:
    machine.Machine.effects = lambda self, now, plain=machine.Machine.effects: plain(self, now)._replace(
        ready=True
    )


def forgets_to_come_back() -> None:
    machine.TABLE = {key: to for key, to in machine.TABLE.items() if key[1] is not machine.Event.REJOIN}


def shuts_the_socket_for_both() -> None:
    plain = listener.Listener.shut

    def shut(self):
        if self._shared and self._socket is not None:
            self._socket.shutdown(2)
        plain(self)

    listener.Listener.shut = shut


def binds_anew() -> None:
    program.inherit.listening = lambda number, listen: None


def falls_silent_at_the_end() -> None:
    plain = front.Message.answer

    def answer(self, status, body=b"", headers=None):
        if self.target.startswith(b"/-/") or not self.connection._listener.stopping:
            plain(self, status, body, headers)

    front.Message.answer = answer  # what it has accepted, and what still comes on kept connections


def turns_answers_round() -> None:
    plain = flow.Flow.put
    flow.Flow.put = lambda self, data: plain(self, data if self._replay else data[::-1])


def turns_uploads_round() -> None:
    plain = flow.Flow.put
    flow.Flow.put = lambda self, data: plain(self, data[::-1] if self._replay else data)


def forgets_the_rest() -> None:
    plain = flow.Flow.put

    def put(self, data):
        if self.size < 300_000:
            plain(self, data)
        else:
            self._source.go_on()

    flow.Flow.put = put


def dies() -> None:
    plain, count = core.Core.request, iter(range(10**9))

    def request(self, asked, terms):
        if next(count) == 100:
            print("the last words of a daemon", file=sys.stderr, flush=True)
            os._exit(7)
        plain(self, asked, terms)

    core.Core.request = request


def will_not_start() -> None:
    print("no such thing as a start today", file=sys.stderr, flush=True)
    sys.exit(9)


def is_sound() -> None:
    """Nothing is broken: what the others are compared with."""


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.exit(program.main([]))
