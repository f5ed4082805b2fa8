package ryemast.lab.fleet;

import ryemast.lab.scenario.Scenario;

/** An entries file that says what a trial's books expect, where the trial gives no text of its own. */
final class TimetableText {

    private static final long MINUTE_S = 60;
    /** So many that all of a trial are made up for. */
    private static final int ALL = 1_000;

    private final StringBuilder text;
    private final String tenant;

    TimetableText(Scenario scenario, long seed) {
        text = new StringBuilder("revision = 1\nseed = " + seed + "\n");
        tenant = scenario.tenants().isEmpty() ? "all" : scenario.tenants().get(0).name();
    }

    /** Lengths in seconds; {@code every}: a part of a minute, or whole minutes that are a part of an hour. */
    void add(String name, String path, String jobClass, long every, long phase, long jitter, long window,
            String missed) {
        var cron = every == 1 ? "* * * * * *" : every < MINUTE_S ? phase + "-59/" + every + " * * * * *"
                : phase % MINUTE_S + " " + phase / MINUTE_S + "-59/" + every / MINUTE_S + " * * * *";
        text.append("\n[[entry]]\nname = \"").append(name).append("\"\ntenant = \"").append(tenant)
                .append("\"\nclass = \"").append(jobClass).append("\"\npath = \"").append(path)
                .append("\"\ncron = \"").append(cron).append("\"\nzone = \"UTC\"\njitter_s = ")
                .append(jitter).append("\nwindow_s = ").append(window).append("\nmissed = \"")
                .append(missed).append("\"\n");
        if (missed.equals("all")) {
            text.append("missed_most = ").append(ALL).append('\n');
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
