"""Which class a Thrift method belongs to, and where a call tells the rest. No I/O.

An operator maps names: exact ones first, then the longest prefix (`RateService:*`, `get*`), then the default
(`*`). A method that nothing maps is unknown: a class is never guessed, as it may be one that must not run
twice.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_address

from dunefield.interface import Settings
from hollyport.core.contract import Terms
from hollyport.thrift.stream import Message
from hollyport.thrift.wire import ONEWAY, Malformed, find

MOST_ID = 256  # bytes of a request's id, as over HTTP
MOST_KEY = 256
UNITS_NS = {"s": 1_000_000_000, "ms": 1_000_000, "us": 1_000}

Path = tuple[int, ...]
"""Field ids, from the arguments inward."""


@dataclass(frozen=True, slots=True)
class Method:
    """Methods of one name or prefix."""

    cls: int
    oneway: bool = False  # nobody waits, though the calls come as ordinary ones
    deadline: Path = ()
    unit_ns: int = UNITS_NS["ms"]
    rid: Path = ()
    member: Path = ()
    key: Path = ()
    once: Path = ()  # the idempotency key, which a keyed class needs


@dataclass(frozen=True, slots=True)
class Origin:
    """What is known of a connection before it says anything."""

    number: str  # makes ids: unlike any other connection's
    tenant: int = -1


class Unusable(ValueError):
    """A call that can't be used; the message tells the client why."""


class Methods:
    """All that the operators have mapped."""

    def __init__(self, methods: Mapping[str, Method], settings: Settings) -> None:
        self._exact = {name.encode(): m for name, m in methods.items() if not name.endswith("*")}
        prefixes = [(name[:-1].encode(), m) for name, m in methods.items() if name.endswith("*")]
        self._prefixes = sorted(prefixes, key=lambda pair: -len(pair[0]))
        self._classes = settings.classes
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def find(self, name: bytes) -> Method | None:
        """The mapping of a method; None where there is none."""
        found = self._exact.get(name)
        if found is None:
            found = next((m for prefix, m in self._prefixes if name.startswith(prefix)), None)
        return found

    def terms(self, method: Method, call: Message, origin: Origin, count: int) -> Terms:
        """What a call asks for; raise Unusable where what it says of that is no sense, as over HTTP."""
        cls = self._classes[method.cls]
        wait = cls.deadline_ns
        deadline = self._read(call, method.deadline)
        if deadline is not None:
            if not isinstance(deadline, int) or deadline <= 0:
                raise Unusable("the deadline is no time")
            wait = min(wait, deadline * method.unit_ns)
        rid = self._read(call, method.rid)
        if rid is None:
            name = b"thrift/%s/%d" % (origin.number.encode(), count)
        else:
            name = b"%d" % rid if isinstance(rid, int) else rid
            if not 0 < len(name) <= MOST_ID:
                raise Unusable("the id is empty or too long")
        tenant = origin.tenant
        member = self._read(call, method.member)
        if member is not None:
            told = b"%d" % member if isinstance(member, int) else member
            tenant = self._tenants.get(told, -1 if self._tenants else 0)
        key = self._read(call, method.key)
        text = "" if key is None else str(key) if isinstance(key, int) else key[:MOST_KEY].decode("latin-1")
        if cls.retry_safety == "guarded" and self._read(call, method.once) in (None, b""):
            raise Unusable("a call of this class needs its idempotency key")
        oneway = method.oneway or call.head.kind == ONEWAY
        return Terms(name, method.cls, wait, 0, tenant, text, oneway=oneway)

    @staticmethod
    def _read(call: Message, path: Path) -> int | bytes | None:
        if not path:
            return None
        try:
            return find(call.form.protocol, call.data, call.head.body_at, path)
        except Malformed as error:
            raise Unusable(str(error)) from None


class Members:
    """Members by where their calls come from."""

    def __init__(self, sources: Sequence[tuple[IPv4Network | IPv6Network, int]]) -> None:
        self._sources = sorted(sources, key=lambda pair: -pair[0].prefixlen)

    def of(self, host: str, default: int) -> int:
        """The member of a source address: that of the narrowest network, else the listener's."""
        if not self._sources:
            return default
        try:
            address = ip_address(host.partition("%")[0])
        except ValueError:
            return default
        return next((member for network, member in self._sources if address in network), default)
