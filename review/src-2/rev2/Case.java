package rev2;

import java.nio.file.Path;

/** Runs one case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    interface Body {
        /** Returns how often the rule was broken. */
        long run(Path folder, Rec rec, boolean trouble) throws Exception;
    }

    private Case() {}

    static void run(String[] args, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rec rec = new Rec(Path.of(args[1]));
        int code = 2;
        try {
            long broken = body.run(Path.of(args[0]), rec, trouble);
            String what = broken == 0 ? "the rule held" : "the rule was broken " + broken + " times";
            rec.line("judge", what + (trouble ? "" : " (without the disruption)"));
            System.out.println(what + (trouble ? "" : " (without the disruption)"));
            code = broken == 0 ? 0 : 1;
        } catch (Throwable e) {
            rec.line("judge", "the case could not run: " + e);
            System.out.println("the case could not run: " + e);
        }
        System.exit(code);
    }

    static void need(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }
}
