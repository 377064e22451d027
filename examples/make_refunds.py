"""Generates examples/refunds.json: a job of 60 bottle refunds."""

import json
import pathlib
import random

BOTTLE_COUNT = 60


def main() -> None:
    """Write the job; a fixed seed makes its content reproducible."""
    rng = random.Random(60)
    tasks = []
    for number in range(BOTTLE_COUNT):
        seconds = round(rng.uniform(0.05, 0.4), 3)
        value = {"bottle": f"crate-7-{number:02d}", "refund_pence": 20}
        payload = {"run_seconds": seconds, "value": value}
        declared = round(seconds * rng.uniform(0.7, 1.4), 3)
        tasks.append({"payload": payload, "run_time_seconds": declared})
    job = {
        "service": "refunds",
        "team": "aberystwyth",
        "deadline_seconds": 10,
        "tasks": tasks,
    }
    path = pathlib.Path(__file__).with_name("refunds.json")
    path.write_text(json.dumps(job, indent=1) + "\n")


if __name__ == "__main__":
    main()
