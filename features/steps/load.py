"""Shared fixture: callers that ask a site without a pause, in threads."""

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
    """Callers of one site; they try again only where it did not run.

    Attributes:
        site: The site they ask; they take its live routers in turn, as a
            balancer does.
        words: Words that each answer should have.
        served: How many answers were whole and their caller's own.
        failures: What went wrong, as text.
        leaving: Routers that the balancer has taken out, since they said so.
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
        """Start callers; half of them stream."""
        for number in range(callers):
            caller = threading.Thread(target=self._work, args=(number,), daemon=True)
            self._threads.append(caller)
            caller.start()

    def stop(self) -> None:
        """Let every caller finish its last request."""
        self._stopped.set()
        for caller in self._threads:
            caller.join(60)
            assert not caller.is_alive(), 'a caller hangs'

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
        for turn in range(MAX_TRIES):
            routers = self._list_routers()
            router = routers[(number + turn) % len(routers)]
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
        self.failures.append(f'{prompt}: not served in {MAX_TRIES} tries')

    def _check(self, answer: Answer, prompt: str) -> None:
        if read_words(answer) == expect_words(prompt, self.words):
            self.served += 1
        else:
            self.failures.append(f'{prompt}: {answer.body!r}')

    def _list_routers(self) -> list[Any]:
        routers = [one for one in self.site.routers if id(one) not in self.leaving]
        return [one for one in routers if one.is_running()]


def _is_leaving(answer: Answer) -> bool:
    if answer.status == 0:
        return False
    return answer.document['error']['code'] == 'router_stopping'


def _did_not_run(answer: Answer) -> bool:
    if answer.status == 0:
        return False
    return answer.document['error']['statement'] == 'did_not_run'
