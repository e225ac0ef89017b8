package cacheproxy.lab.report;

import cacheproxy.lab.experiment.Experiment;
import cacheproxy.lab.experiment.Results;
import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.scenario.Fault;
import cacheproxy.lab.scenario.SiteModel;
import cacheproxy.lab.stats.PairedDifference;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes the report of an experiment: one self-contained HTML file, and the figures as CSV. */
public final class Report {
    private static final int MOST_BROKEN = 30;
    /** Figures of which less is better; figures in neither list get no verdict. */
    private static final List<String> LESS = List.of(
            "late",
            "refused",
            "failed",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "p99.9 ms",
            "back after s",
            "attempts a request",
            "wasted work",
            "busiest node",
            "busiest proxy",
            "nodes fallen");

    private static final List<String> MORE = List.of("figure", "service", "worst 10 s", "in time", "during");

    private Report() {}

    /** A verdict in a word. */
    public static String verdict(String figure, PairedDifference d) {
        boolean more = MORE.contains(figure) || figure.startsWith("class ") || figure.startsWith("tenant ");
        return switch (d.verdict()) {
            case CANNOT_TELL -> d.further() == 0 ? "the same" : "cannot tell: about " + d.further() + " more seeds";
            case LARGER -> more ? "better" : LESS.contains(figure) ? "worse" : "larger";
            case SMALLER -> more ? "worse" : LESS.contains(figure) ? "better" : "smaller";
        };
    }

    /** Writes {@code report.html}, {@code figures.csv} and {@code results.json} into this folder. */
    public static Path write(Results r, Path folder) throws IOException {
        Files.createDirectories(folder);
        Path html = folder.resolve("report.html");
        Files.writeString(html, html(r));
        Files.writeString(folder.resolve("figures.csv"), csv(r));
        Files.writeString(folder.resolve("results.json"), r.json());
        return html;
    }

    /** One line for each figure of each outcome. */
    static String csv(Results r) {
        StringBuilder s = new StringBuilder("variant,seed,figure,value\n");
        r.outcomes()
                .forEach((name, all) -> all.forEach(o -> o.figures()
                        .forEach((figure, x) -> s.append(name)
                                .append(',')
                                .append(o.seed())
                                .append(',')
                                .append(figure)
                                .append(',')
                                .append(x)
                                .append('\n'))));
        return s.toString();
    }

    private static String html(Results r) {
        Experiment x = r.experiment();
        StringBuilder s = new StringBuilder("""
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>%s</title><style>
            body{font:14px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}
            table{border-collapse:collapse;margin:1em 0}
            th,td{padding:3px 9px;text-align:right;border-bottom:1px solid #ddd}
            th:first-child,td:first-child{text-align:left}h2{margin-top:2em}.better{color:#00664a}.worse{color:#a33f00}
            .bad{background:#fde8df;padding:.6em 1em}svg{display:block;margin:.8em 0;max-width:100%%}
            </style></head><body><h1>%s</h1><p>%s</p>
            """.formatted(escaped(x.name()), escaped(x.name()), escaped(x.question())));
        s.append("<p>")
                .append(x.seeds())
                .append(" seeds from ")
                .append(x.firstSeed())
                .append(", build ")
                .append(escaped(r.build()))
                .append(". All times are simulated.</p>\n");
        variants(s, x);
        broken(s, r);
        table(s, r);
        drawings(s, r);
        return s.append("</body></html>\n").toString();
    }

    private static void variants(StringBuilder s, Experiment x) {
        s.append(
                "<table><tr><th>variant</th><th>build</th><th>proxies</th><th>nodes</th><th>load</th><th>troubles</th></tr>\n");
        for (Experiment.Variant v : x.variants()) {
            SiteModel m = v.site();
            s.append("<tr><td>")
                    .append(escaped(v.name()))
                    .append("</td><td>")
                    .append(v.build().isEmpty() ? "this one" : escaped(v.build()))
                    .append("</td><td>")
                    .append(m.proxies())
                    .append("</td><td>")
                    .append(m.nodes())
                    .append("</td><td>")
                    .append(number(m.ofCapacity()))
                    .append("</td><td>")
                    .append(escaped(String.join(
                            ", ", v.faults().stream().map(Report::named).toList())))
                    .append("</td></tr>\n");
        }
        s.append("</table>\n");
    }

    private static String named(Fault t) {
        String kind = t.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return kind + (t.zone().isEmpty() ? "" : " " + t.zone()) + (t.tenant().isEmpty() ? "" : " " + t.tenant());
    }

    private static void broken(StringBuilder s, Results r) {
        List<String> broken = r.broken();
        if (broken.isEmpty()) {
            boolean judged =
                    r.experiment().variants().stream().allMatch(v -> v.site().judged());
            s.append(
                    judged
                            ? "<p>None of the four rules was broken.</p>\n"
                            : "<p>The four rules were not judged in all variants (<code>judged: false</code>).</p>\n");
            return;
        }
        s.append("<div class=\"bad\"><b>").append(broken.size()).append(" faults</b><ul>\n");
        broken.stream()
                .limit(MOST_BROKEN)
                .forEach(b -> s.append("<li>").append(escaped(b)).append("</li>\n"));
        s.append("</ul></div>\n");
    }

    private static void table(StringBuilder s, Results r) {
        List<Experiment.Variant> all = r.experiment().variants();
        s.append("<h2>Figures</h2>\n<table><tr><th>mean over seeds</th>");
        for (int i = 0; i < all.size(); i++) {
            s.append("<th>")
                    .append(escaped(all.get(i).name()))
                    .append("</th>")
                    .append(i == 0 ? "" : "<th>difference, 95% interval</th><th>verdict</th>");
        }
        s.append("</tr>\n");
        for (String figure : r.figures()) {
            s.append("<tr><td>").append(escaped(figure)).append("</td>");
            for (int i = 0; i < all.size(); i++) {
                String name = all.get(i).name();
                s.append("<td>").append(cell(r, name, figure)).append("</td>");
                if (i > 0) {
                    PairedDifference d = r.difference(name, figure);
                    String verdict = d.pairs() == 0 ? "" : verdict(figure, d);
                    s.append("<td>")
                            .append(
                                    d.pairs() == 0
                                            ? ""
                                            : signed(d.mean()) + " (" + signed(d.low()) + " to " + signed(d.high())
                                                    + ")")
                            .append("</td><td class=\"")
                            .append(verdict.split(" ")[0])
                            .append("\">")
                            .append(escaped(verdict))
                            .append("</td>");
                }
            }
            s.append("</tr>\n");
        }
        s.append("</table>\n");
    }

    /** The mean in three significant digits, and the number of outcomes without a finite value. */
    public static String cell(Results r, String variant, String figure) {
        double[] values = r.values(variant, figure);
        long never = java.util.Arrays.stream(values).filter(Double::isInfinite).count();
        double mean = r.mean(variant, figure);
        return (Double.isNaN(mean) ? never > 0 ? "never" : "-" : number(mean))
                + (never > 0 && !Double.isNaN(mean) ? ", never in " + never + " of " + values.length : "");
    }

    private static void drawings(StringBuilder s, Results r) {
        s.append("<h2>Over time, mean over seeds</h2>\n");
        List<Experiment.Variant> all = r.experiment().variants();
        List<LineChart.Shade> shades = all.get(0).faults().stream()
                .map(t -> new LineChart.Shade(t.at(), t.endsAt(), named(t)))
                .toList();
        Map<String, double[]> service = new LinkedHashMap<>();
        all.forEach(v -> service.put(v.name(), ratio(r, v.name(), "in time", "asked")));
        s.append(LineChart.lines("Answered in time, of what was asked", "share", service, shades, 0, 1.02));
        for (Experiment.Variant v : all) {
            Map<String, double[]> tenants = new LinkedHashMap<>();
            v.site()
                    .tenants()
                    .forEach(t -> tenants.put(
                            t.name(), ratio(r, v.name(), "in time of " + t.name(), "asked of " + t.name())));
            s.append(LineChart.lines(v.name() + ": in time by tenant", "share", tenants, shades, 0, 1.02));
            Map<String, double[]> classes = new LinkedHashMap<>();
            v.site()
                    .classes()
                    .forEach(k -> classes.put(
                            k.name(), ratio(r, v.name(), "in time of " + k.name(), "asked of " + k.name())));
            s.append(LineChart.lines(v.name() + ": in time by class", "share", classes, shades, 0, 1.02));
            Map<String, double[]> ends = new LinkedHashMap<>();
            for (String end : List.of("asked", "in time", "late", "refused", "failed")) {
                ends.put(end, mean(r, v.name(), end));
            }
            s.append(LineChart.lines(v.name() + ": requests by their end", "requests a second", ends, shades, 0, 0));
            Map<String, double[]> loads = new LinkedHashMap<>();
            for (String load : List.of(
                    "nodes' load, mean", "nodes' load, busiest", "proxies' load, mean", "proxies' load, busiest")) {
                loads.put(load, mean(r, v.name(), load));
            }
            s.append(LineChart.lines(v.name() + ": how busy", "share of a core", loads, shades, 0, 1.05));
        }
        Map<String, double[]> up = new LinkedHashMap<>();
        for (Experiment.Variant v : all) {
            up.put(v.name() + ", nodes", mean(r, v.name(), "nodes up"));
            up.put(v.name() + ", proxies", mean(r, v.name(), "proxies up"));
        }
        s.append(LineChart.lines("Nodes and proxies that run", "processes", up, shades, 0, 0));
    }

    private static double[] mean(Results r, String variant, String series) {
        List<Outcome> all = r.outcomes().get(variant);
        int seconds = r.experiment().variants().stream()
                        .filter(v -> v.name().equals(variant))
                        .findFirst()
                        .orElseThrow()
                        .site()
                        .lengthMs()
                / 1000;
        double[] mean = new double[seconds];
        for (Outcome o : all) {
            double[] one = o.series().getOrDefault(series, new double[seconds]);
            for (int i = 0; i < seconds; i++) {
                mean[i] += one[i] / all.size();
            }
        }
        return mean;
    }

    private static double[] ratio(Results r, String variant, String part, String whole) {
        double[] a = mean(r, variant, part);
        double[] b = mean(r, variant, whole);
        for (int i = 0; i < a.length; i++) {
            a[i] = b[i] == 0 ? Double.NaN : a[i] / b[i];
        }
        return a;
    }

    /** Formats three significant digits. */
    public static String number(double x) {
        if (!Double.isFinite(x)) {
            return Double.isNaN(x) ? "-" : "never";
        }
        double size = Math.abs(x);
        return String.format(Locale.ROOT, size >= 100 ? "%.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.3f", x);
    }

    private static String signed(double x) {
        return (x >= 0 ? "+" : "\u2212") + number(Math.abs(x));
    }

    static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
