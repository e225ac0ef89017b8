#!/usr/bin/env python3
"""Mutants that PIT reports as alive, by line, with the source: survivors.py mutations.xml SOURCES."""
import collections
import sys
import xml.etree.ElementTree as ET

report, sources = sys.argv[1:3]
count = collections.Counter()
alive = collections.defaultdict(list)
for m in ET.parse(report).getroot():
    name = m.find("mutatedClass").text
    top = name.split("$")[0]
    status = m.get("status")
    count[top, status] += 1
    if status in ("SURVIVED", "NO_COVERAGE"):
        alive[top, int(m.find("lineNumber").text)].append(
            (m.find("mutatedMethod").text, m.find("description").text + ("" if status == "SURVIVED" else ", not reached")))
for top in sorted({k[0] for k in count}):
    by = {s: n for (t, s), n in count.items() if t == top}
    total = sum(by.values())
    killed = total - by.get("SURVIVED", 0) - by.get("NO_COVERAGE", 0)
    print("%-36s %4d of %4d  %5.1f%%  %s" % (top, killed, total, 100.0 * killed / total, by))
for (top, line), all_here in sorted(alive.items()):
    text = open(sources + "/" + top.replace(".", "/") + ".java").read().split("\n")[line - 1].strip()
    print("%s:%d %s | %s" % (top.split(".")[-1], line, all_here[0][0], text))
    for what, n in sorted(collections.Counter(d for _, d in all_here).items()):
        print("        %s%s" % (what, " x%d" % n if n > 1 else ""))
