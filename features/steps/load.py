"""Shared fixture: threads that send requests to a site in a closed loop."""

import itertools
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from sites import Answer, ask, expect_words, make_body, read_words

BACKOFF_SECONDS = 0.1
MAX_TRIES = 100


@dataclass(slots=True)
class Load:
    """Callers of one site; they retry only requests that did not run.

    Attributes:
        site: The site; requests go to its running routers in turn, as from a
            load balancer.
        words: Expected number of words of each answer.
        served: Number of answers that were complete and correct.
        failures: Descriptions of the failures.
        leaving: Ids of the routers that get no more requests since they refused a
            request with ``router_stopping``.
    """

    site: Any
    words: int = 40
    served: int = 0
    failures: list[str] = field(default_factory=list)
    leaving: set[int] = field(default_factory=set)
    _numbers: Any = field(default_factory=itertools.count)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self, callers: int) -> None:
        """Start callers; half of them ask for streams."""
        for number in range(callers):
            caller = threading.Thread(target=self._work, args=(number,), daemon=True)
            self._threads.append(caller)
            caller.start()

    def stop(self) -> None:
        """Stop the callers and wait until each has finished its last request."""
        self._stopped.set()
        for caller in self._threads:
            caller.join(60)
            assert not caller.is_alive(), 'a caller did not finish within 60 seconds'

    def _work(self, caller: int) -> None:
        while not self._stopped.is_set():
            number = next(self._numbers)
            prompt = f'load {caller} {number} answer_tokens={self.words}'
            try:
                self._ask_until_served(prompt, number, stream=caller % 2 == 0)
            except Exception as error:
                self.failures.append(f'{prompt}: {error!r}')

    def _ask_until_served(self, prompt: str, number: int, stream: bool) -> None:
        body = make_body(prompt, stream)
        for attempt in range(MAX_TRIES):
            routers = self._list_routers()
            router = routers[(number + attempt) % len(routers)]
            answer = ask(router, 'small', body)
            if answer.status == 200:
                self._check(answer, prompt)
                return
            if _is_leaving(answer):
                self.leaving.add(id(router))
            if not _did_not_run(answer):
                self.failures.append(f'{prompt}: {answer}')
                return
            time.sleep(BACKOFF_SECONDS)
        self.failures.append(f'{prompt}: not served in {MAX_TRIES} attempts')

    def _check(self, answer: Answer, prompt: str) -> None:
        if read_words(answer) == expect_words(prompt, self.words):
            self.served += 1
        else:
            self.failures.append(f'{prompt}: {answer.body!r}')

    def _list_routers(self) -> list[Any]:
        routers = [
            router for router in self.site.routers if id(router) not in self.leaving
        ]
        return [router for router in routers if router.is_running()]


def _is_leaving(answer: Answer) -> bool:
    if answer.status == 0:
        return False
    return answer.document['error']['code'] == 'router_stopping'


def _did_not_run(answer: Answer) -> bool:
    if answer.status == 0:
        return False
    return answer.document['error']['statement'] == 'did_not_run'
