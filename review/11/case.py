"""A start order of an owner that was killed is carried out late by a worker that has started again: two runs at once."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
from standin import TROUBLE, main, now  # noqa: E402

PLANS = "/plans/"
LATE_S, DOWN_S, AFTER_BOOT_S = 5.0, 3.0, 0.1


async def case(d):
    for n in range(8):
        await d.fleet.add(f"w-{n + 1}", f"r-{n // 4 + 1}", "b" if n in (0, 4) else "a")
    await d.up(3, [d.route("plans", PLANS)])
    d.fleet.first_beat_s = 1.0
    starts, late = 0, []

    def delay_of(worker, path, order):
        """One start order of twenty is late: the last one, of the task that is followed."""
        nonlocal starts
        if path != "/run-start":
            return None
        starts += 1
        if not TROUBLE or late or starts < 20:
            return None
        late.append((worker, now()))
        d.record(f"worker {worker.id} leaves the start of {order['taskId']} run={order['runId']} unanswered")
        return LATE_S

    d.fleet.delay_of = delay_of

    async def plan(kind, cpu, ms):
        step = {"taskCount": 1, "cpuRequest": cpu, "memMb": 512, "estimatedMs": ms, "requirements": kind}
        job = await d.submit(PLANS, [step], {"ms": [ms]})
        if job is None:
            raise RuntimeError("a job was not accepted")
        return job

    for _ in range(16):
        await plan("a", 1000, 20_000)
    await plan("b", 9000, 25_000)
    await plan("b", 8000, 25_000)
    # Leaves 1 core on the first worker of kind b, and 8 on the second, where alone the last task fits.
    await plan("b", 6000, 1_500)
    await asyncio.sleep(1.2)
    job = await plan("b", 7000, 20_000)
    await asyncio.sleep(0.1)
    first = [worker.id for worker, _ in d.fleet.runs.get(f"{job}.0.0.0", [])]
    if TROUBLE:
        worker, at = late[0]
        # By now the short task has ended, so that the last one fits best on the first worker.
        await asyncio.sleep(at + 0.4 - now())
        owner = d.owner()
        d.record(f"{owner.name} is killed")
        owner.signal(9)
        await asyncio.sleep(at + LATE_S - AFTER_BOOT_S - DOWN_S - now())
        worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.boot()
    await asyncio.sleep(30)
    runs = [(worker.id, run.number, run.how) for worker, run in d.fleet.runs.get(f"{job}.0.0.0", [])]
    d.record(f"first start at {first}, runs of the last task {runs}")
    return [
        f"TWICE: {task} run {a.number} on {first} and run {b.number} on {second} at the same time for {common:.2f} s"
        for task, first, a, second, b, common in d.fleet.overlaps()
    ]


main(FOLDER, case)
