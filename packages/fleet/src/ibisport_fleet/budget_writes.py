"""Conditional writes of a host's record, the budget page and a contact proof."""

from dataclasses import dataclass, field

from ibisport_fleet.budget_page import BudgetPage, encode_page
from ibisport_fleet.clocks import Clocks
from ibisport_fleet.contact_proofs import ContactProof
from ibisport_fleet.host_record import HostRecord, build_record_key, encode_record
from ibisport_fleet.store import Condition, Conflict, Item, Put, Store

PAGE_KEY = 'ibisport/budgets'


@dataclass(frozen=True, slots=True)
class PlannedWrite:
    """The content and the conditions of one write attempt.

    Attributes:
        record: This host's record.
        page: The budget page, or None to leave it unchanged.
        caps: The caps that the page gives to this host.
        proof: The contact proof to write, or None.
    """

    record: HostRecord
    page: BudgetPage | None = None
    caps: dict[str, int] = field(default_factory=dict)
    proof: ContactProof | None = None

    def list_conditions(
        self, host: str, record_revision: int, page_revision: int | None
    ) -> list[Condition]:
        """Return what the write requires: nobody else has written meanwhile.

        Args:
            host: This host.
            record_revision: Known revision of its record.
            page_revision: Known revision of the page, or None.
        """
        conditions = [Condition(build_record_key(host), record_revision)]
        if self.page is not None:
            conditions.append(Condition(PAGE_KEY, page_revision or 0))
        return conditions

    def list_puts(self, host: str, clocks: Clocks) -> list[Put]:
        """Return what the write stores for a host, at the present time."""
        puts = [Put(build_record_key(host), encode_record(self.record))]
        if self.page is not None:
            puts.append(Put(PAGE_KEY, encode_page(self.page)))
        if self.proof is not None:
            puts += self.proof.list_puts(
                host, self.record.incarnation, clocks.boot(), clocks.wall()
            )
        return puts


async def find_current(store: Store, conflict: Conflict, key: str) -> Item | None:
    """Return a key's current item; reads the store only if the conflict lacks it."""
    if key in conflict.absent:
        return None
    return conflict.find(key) or await store.read(key)
