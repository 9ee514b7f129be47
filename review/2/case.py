"""One submission with many steps occupies the processor of the owner for minutes, and of each host that takes over."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from cell import Worker, job_id, main

STEPS = int(os.environ.get("STEPS", "3000"))
FINISH_S = 14
RETRIES = 4


def processor_s(host):
    with open(f"/proc/{host.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def case(cell):
    cell.quiet = True
    cell.durations["short"] = lambda worker, task, run: (4.0, "done", False)
    workers = [Worker(cell, f"w-{n}", rack=f"r{n // 2}") for n in range(8)]
    await cell.begin({"batch": {}}, workers)
    accepted = []
    for n in range(6):
        job, step = job_id(), {"taskCount": 2, "cpuRequest": 500, "memMb": 64, "estimatedMs": 4000}
        status, _ = await cell.call(
            cell.hosts[n % 3], "POST", "batch", job, {"specification": "short", "jobSteps": [step, {**step, "after": [0]}]}
        )
        if status == 200:
            accepted.append(job)
    assert len(accepted) == 6
    # The same number of tasks in as many steps, or in three.
    parts = STEPS if cell.trouble else 3
    steps = [{"taskCount": STEPS // parts, "cpuRequest": 10, "memMb": 1} for _ in range(parts)]
    large = job_id()
    for attempt in range(1 + RETRIES):
        status, _ = await cell.call(
            cell.hosts[attempt % 3], "POST", "batch", large, {"specification": "short", "jobSteps": steps}
        )
        if status in (200, 400, 404, 413):
            break
        await asyncio.sleep(0.3)
    before = [processor_s(host) for host in cell.hosts]
    start = cell.now()
    await asyncio.sleep(FINISH_S)
    for job in accepted:
        answers = []
        for host in cell.hosts:
            answers.append((await cell.call(host, "GET", "batch", job))[0])
            if answers[-1] == 200:
                break
        if 200 not in answers:
            cell.breaks(f"LOST: no host answers for the accepted job {job}, {cell.now() - start:.0f} s after the last submission: {answers}")
            break
    ready = [await cell.ready(host) for host in cell.hosts]
    span = cell.now() - start
    used = [processor_s(host) - first for host, first in zip(cell.hosts, before)]
    cell.record(f"in {span:.1f} s since then the hosts used", [f"{u:.1f} s" for u in used], "of a core; ready:", ready)
    for host, seconds, is_ready in zip(cell.hosts, used, ready):
        if seconds > 0.9 * span and not is_ready:
            cell.breaks(f"Fault: {host.name} doesn't hand back the processor: {seconds:.1f} s of {span:.1f} s")


main(HERE, case)
