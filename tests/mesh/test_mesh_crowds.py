"""Crowds of clients that don't keep to the rules: each process lives, within the memory and the descriptors
of its machine, and ordinary callers are answered. Nothing here depends on how fast the machine is."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from crowd import (
    DOORS,
    FORMS,
    GREATEST_BODY_BYTES,
    LIMITS,
    MAX_BODY_BYTES,
    NARROW_LIMITS,
    SMALL_FORMS,
    SMALL_MACHINE_LIMITS,
    Door,
    Form,
    add_bulk_route,
    check_ordinary_callers,
    check_processes,
    crowd,
    send_body,
)
from small_mesh import small_mesh

pytestmark = pytest.mark.crowd


@pytest.mark.parametrize("door", DOORS, ids=lambda door: door.name)
@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.name)
def test_a_crowd_is_borne(tmp_path: Path, door: Door, form: Form) -> None:
    """Guards against a process that ends, hangs or grows beyond its machine as clients fill it together."""

    async def body() -> None:
        async with small_mesh(tmp_path, limits=LIMITS, max_body_bytes=MAX_BODY_BYTES) as mesh:
            async with crowd(mesh, door, form):
                await check_ordinary_callers(mesh, door.role)
            await check_ordinary_callers(mesh, door.role)
            check_processes(mesh, LIMITS)

    asyncio.run(body())


@pytest.mark.parametrize("form", SMALL_FORMS, ids=lambda form: form.name)
def test_a_crowd_of_small_requests_is_borne(tmp_path: Path, form: Form) -> None:
    """Guards against heads, small bodies and requests sent ahead that add up, though each is small."""

    async def body() -> None:
        async with small_mesh(tmp_path, limits=NARROW_LIMITS) as mesh:
            async with crowd(mesh, DOORS[0], form):
                await check_ordinary_callers(mesh, DOORS[0].role)
            await check_ordinary_callers(mesh, DOORS[0].role)
            check_processes(mesh, NARROW_LIMITS)

    asyncio.run(body())


def test_a_sidecar_ends_in_time_while_a_crowd_stands(tmp_path: Path) -> None:
    """Guards against clients that keep a process from ending after SIGTERM."""

    async def body() -> None:
        async with small_mesh(tmp_path, limits=LIMITS, max_body_bytes=MAX_BODY_BYTES) as mesh:
            async with crowd(mesh, DOORS[0], FORMS[0]):
                await mesh.field.term(mesh.callers[0])
            assert mesh.history.troubles == []

    asyncio.run(body())


@pytest.mark.parametrize("chunked", [False, True], ids=["with-length", "in-chunks"])
def test_one_body_of_the_greatest_legal_size_is_served_in_calm(tmp_path: Path, chunked: bool) -> None:
    """Guards against a limit that keeps a crowd out by refusing what a single client may send."""

    async def body() -> None:
        async with small_mesh(
            tmp_path, limits=SMALL_MACHINE_LIMITS, max_body_bytes=GREATEST_BODY_BYTES
        ) as mesh:
            await add_bulk_route(mesh)
            answer = await send_body(mesh.callers[0], b"b" * GREATEST_BODY_BYTES, chunked)
            assert answer.status == 200
            check_processes(mesh, SMALL_MACHINE_LIMITS)

    asyncio.run(body())
