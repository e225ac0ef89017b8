#!/usr/bin/env python3
"""Branches by class, and the missed ones by line, from JaCoCo's XML: branches.py REPORT.xml SOURCES [METHODS|all].

METHODS: what handles outcomes, as CLASS or CLASS.method names joined by commas; "outcomes" for the usual list.
"""
import sys
import xml.etree.ElementTree as ET

OUTCOMES = """NodeConnection NodePool NodePools Exchange Attempt Ending ClientSession Answer
Proxy.ended Proxy.giveUp Proxy.send Proxy.stoodOver Proxy.concluded Proxy.settle Proxy.overdue Proxy.clientGone
Proxy.refuse Proxy.fail Proxy.cancel Proxy.answerFailed
FairRouter.onOutcome FairRouter.continueAfter FairRouter.retry FairRouter.mayRetry FairRouter.send
FairRouter.reasonNotToSend FairRouter.sendToOrigin FairRouter.finish FairRouter.rejectOrFail FairRouter.conclude
FairRouter.onClientGone FairRouter.onTimer FairRouter.hedge OutcomeLearning IdleTimeoutPolicy RetryPolicy
DeadlinePolicy OutlierDetector.recordOutcome FailureProbability.record TenantAdmission.recordOutcome
PendingRequest""".split()


def main():
    report, sources = sys.argv[1:3]
    which = sys.argv[3] if len(sys.argv) > 3 else "all"
    names = OUTCOMES if which == "outcomes" else None if which == "all" else which.split(",")
    total = [0, 0]
    for package in ET.parse(report).getroot().iter("package"):
        lines = {}
        for source in package.iter("sourcefile"):
            lines[source.get("name")] = {int(l.get("nr")): (int(l.get("mb")), int(l.get("cb")))
                                         for l in source.iter("line")}
        classes = {}
        for c in package.iter("class"):
            classes.setdefault(c.get("sourcefilename"), []).append(c)
        for file in sorted(classes):
            kept = {}
            counts = [0, 0]
            starts = sorted(((int(m.get("line")), c.get("name").split("/")[-1], m)
                             for c in classes[file] for m in c.iter("method")), key=lambda s: s[:2])
            top = file[:-5]
            for i, (line, cls, m) in enumerate(starts):
                name = m.get("name").replace("lambda$", "").split("$")[0]
                if names is not None and not {top, cls, top + "." + name} & set(names):
                    continue
                for counter in m.iter("counter"):
                    if counter.get("type") == "BRANCH":
                        missed, covered = int(counter.get("missed")), int(counter.get("covered"))
                        counts[0] += missed
                        counts[1] += covered
                        if missed:
                            ends = [s[0] for s in starts if s[0] > line]
                            end = min(ends) if ends else 10 ** 9
                            for nr, (mb, cb) in lines[file].items():
                                if line <= nr < end and mb:
                                    kept[nr] = (mb, mb + cb, name)
            if sum(counts) == 0:
                continue
            total[0] += counts[0]
            total[1] += counts[1]
            print("%-34s %4d of %4d  %5.1f%%" % (package.get("name").replace("/", ".") + "." + top, counts[1],
                                                sum(counts), 100.0 * counts[1] / sum(counts)))
            text = open(sources + "/" + package.get("name") + "/" + file).read().split("\n")
            for nr in sorted(kept):
                print("      %4d %-18s missed %d of %d | %s" % (nr, kept[nr][2], kept[nr][0], kept[nr][1],
                                                               text[nr - 1].strip()))
    print("%-34s %4d of %4d  %5.1f%%" % ("all", total[1], sum(total), 100.0 * total[1] / sum(total)))


main()
