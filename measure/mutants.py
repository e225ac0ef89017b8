#!/usr/bin/env python3
"""Mutants written by hand, for what PIT can't do or takes too long over: each (file, old text, new text, tests) is
applied to a copy of the sources, and some tests are to fail then. mutants.py COPY [LIST]; the copy is a clone."""
import importlib.util
import subprocess
import sys

copy = sys.argv[1]
spec = importlib.util.spec_from_file_location("mutants_list", sys.argv[2] if len(sys.argv) > 2
                                              else __file__.replace("mutants.py", "mutants_list.py"))
module = importlib.util.module_from_spec(spec)
spec.loader.exec_module(module)


def tests(which):
    r = subprocess.run(["mvn", "-q", "-B", "-o", "test", "-Dsurefire.failIfNoSpecifiedTests=false", "-Dtest=" + which, "-DargLine=-XX:ActiveProcessorCount=2"],
                       cwd=copy, capture_output=True, text=True)
    failing = sorted({line.split("ERROR]")[1].strip().split(" ")[0] for line in r.stdout.split("\n")
                      if "[ERROR]   " in line})
    return r.returncode, failing, "COMPILATION" in r.stdout


everything = ",".join(sorted({t for m in module.MUTANTS for t in m[3].split(",")}))
code, failing, _ = tests(everything)
if code:
    sys.exit("without a mutant these fail: " + str(failing))
alive = 0
for name, old, new, which in module.MUTANTS:
    path = copy + "/proxy/src/main/java/cacheproxy/" + name
    text = open(path).read()
    if text.count(old) != 1:
        print("NOT APPLICABLE", name, old)
        alive += 1
        continue
    open(path, "w").write(text.replace(old, new))
    try:
        code, failing, broken = tests(which)
    finally:
        open(path, "w").write(text)
    alive += code == 0 or broken
    print("ALIVE" if code == 0 else "DOES NOT COMPILE" if broken else "killed", name, "|", old, "->", new, "|",
          " ".join(failing)[:200], flush=True)
print("%d of %d killed" % (len(module.MUTANTS) - alive, len(module.MUTANTS)))
