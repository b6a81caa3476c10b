"""Plots the scores in the bench's journal with gnuplot.

Usage: report.py JOURNAL OUTPUT

For each site with scores it writes worth-SITE.svg, the worth of each standard
day by score, and prices-SITE.svg, what each price deducts from the worth of
each day in the last score.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import subprocess
import sys

# Prices that deduct less than this from the worth of every day are not plotted.
MIN_PRICE = 0.003
SIZE = "size 900,420"


# The result of one standard day in a score.
@dataclasses.dataclass(frozen=True)
class Day:
    name: str
    worth: float
    # What each price deducted from the worth.
    prices: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Score:
    """One run of a site's standard days."""

    at: str
    commit: str
    days: list[Day]


def read_scores(journal: pathlib.Path) -> dict[str, list[Score]]:
    """Returns the completed scores by site, oldest first. Entries that cannot
    be parsed are reported on standard error."""
    scores: dict[str, list[Score]] = {}
    for path in sorted(journal.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError as failure:
            print(f"event=entry_unreadable file={path.name} "
                  f"error=\"{failure}\"", file=sys.stderr)
            continue
        if entry.get("cmd") != "score" or entry.get("error"):
            continue
        days = [Day(day["name"], day["G"],
                    {price[0]: price[2] for price in day["prices"]})
                for day in entry["days"] if day.get("slot")
                and not day["name"].startswith("fresh")]
        scores.setdefault(entry["site"], []).append(
            Score(entry["at"][0], entry["head"][:7], days))
    return scores


def plot(commands: str) -> None:
    subprocess.run(["gnuplot"], input=commands, text=True, check=True)


def quoted(text: str) -> str:
    return '"' + text.replace('"', "'") + '"'


def plot_worth(site: str, scores: list[Score], output: pathlib.Path) -> None:
    names = [day.name for day in scores[-1].days]
    rows = []
    for score in scores:
        worth = {day.name: day.worth for day in score.days}
        rows.append(" ".join([quoted(score.commit), *(
            str(worth.get(name, "NaN")) for name in names)]))
    data = "$data << END\n" + "\n".join(rows) + "\nEND\n"
    lines = ", ".join(
        f"$data using 0:{i + 2}:xtic(1) with linespoints pt 7 ps 0.5 "
        f"title {quoted(name)}" for i, name in enumerate(names))
    plot(f"set terminal svg {SIZE}\nset output {quoted(str(output))}\n"
         f"set title {quoted(f'{site}: worth of the standard days by score')}\n"
         "set xlabel 'commit'\nset ylabel 'worth'\nset yrange [0:1]\n"
         "set xtics rotate by -40 font ',9'\nset key outside\nset grid y\n"
         f"{data}plot {lines}\n")


def plot_prices(site: str, score: Score, output: pathlib.Path) -> None:
    names = sorted({name for day in score.days
                    for name, share in day.prices.items()
                    if share >= MIN_PRICE})
    rows = [" ".join([quoted(day.name), *(
        str(day.prices.get(name, 0.0)) for name in names)])
        for day in score.days]
    data = "$data << END\n" + "\n".join(rows) + "\nEND\n"
    bars = ", ".join(
        f"$data using {i + 2}:xtic(1) title {quoted(name)}"
        for i, name in enumerate(names))
    plot(f"set terminal svg {SIZE}\nset output {quoted(str(output))}\n"
         f"set title {quoted(f'{site}: prices at {score.commit}')}\n"
         "set ylabel 'deducted from the worth'\nset style data histograms\n"
         "set style histogram rowstacked\nset style fill solid 0.8\n"
         "set boxwidth 0.7\nset key outside\nset yrange [0:*]\nset grid y\n"
         f"{data}plot {bars}\n")


def main() -> int:
    if len(sys.argv) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    journal, output = map(pathlib.Path, sys.argv[1:])
    scores = read_scores(journal)
    if not scores:
        print(f"{journal} contains no completed score", file=sys.stderr)
        return 1
    output.mkdir(parents=True, exist_ok=True)
    for site, site_scores in scores.items():
        plot_worth(site, site_scores, output / f"worth-{site}.svg")
        plot_prices(site, site_scores[-1], output / f"prices-{site}.svg")
        print(f"site={site} scores={len(site_scores)} "
              f"last={site_scores[-1].at}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
