package ryemast.lab.scenario;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The very jobs that came to a site, to be sent again at the very times: a file of JSON lines, one for each
 * job, in the order in which they came. Immutable.
 *
 * @param jobs  ordered by {@code at}
 */
public record Replay(List<Job> jobs) {

    private static final int LONGEST_LINE = 10_000;
    private static final int MOST = 5_000_000;
    private static final Gson GSON = new GsonBuilder()
            .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES).create();

    /**
     * One job; times and work in microseconds.
     *
     * @param at      since the run's start
     * @param tenant  its number among the scenario's, in order; 0 where there are none
     * @param hint    0: its client gives none
     * @param work    what it really costs, as far as is known
     */
    public record Job(long at, int jobClass, int tenant, long hint, double work, boolean poisoned) {
    }

    /** A job as a line has it: by names, so that the scenario's order may change. */
    private record Line(Long atUs, String jobClass, String tenant, Long hintUs, Double workUs,
            Boolean poisoned) {
    }

    public Replay {
        jobs = List.copyOf(jobs);
    }

    /** {@code bad} names the line in the message. */
    static Replay read(Path file, List<String> classes, List<String> tenants) throws IOException {
        var jobs = new ArrayList<Job>();
        int number = 0;
        long last = 0;
        try (var in = Files.newBufferedReader(file)) {
            for (var text = in.readLine(); text != null; text = in.readLine()) {
                number++;
                if (text.isBlank()) {
                    continue;
                }
                var job = job(text, file + ":" + number, classes, tenants);
                if (job.at < last) {
                    throw new IOException(file + ":" + number + ": at_us: is less than on the line before;"
                            + " expected jobs in the order of their times");
                }
                last = job.at;
                jobs.add(job);
                if (jobs.size() > MOST) {
                    throw new IOException(file + ": holds more than " + MOST + " jobs");
                }
            }
        }
        if (jobs.isEmpty()) {
            throw new IOException(file + ": holds no job");
        }
        return new Replay(jobs);
    }

    private static Job job(String text, String where, List<String> classes, List<String> tenants)
            throws IOException {
        Line line;
        try {
            line = text.length() > LONGEST_LINE ? null : GSON.fromJson(text, Line.class);
        } catch (JsonParseException e) {
            line = null;
        }
        if (line == null) {
            throw new IOException(where + ": is no job; expected an object with at_us, job_class, tenant, "
                    + "hint_us"
                    + " and work_us");
        }
        if (line.atUs == null || line.atUs < 0 || line.workUs == null || !(line.workUs > 0)
                || line.workUs > 3.6e12 || line.hintUs != null && line.hintUs < 0) {
            throw new IOException(where + ": at_us, work_us or hint_us is missing or out of its range");
        }
        int jobClass = classes.indexOf(line.jobClass);
        int tenant = tenants.isEmpty() ? 0 : tenants.indexOf(line.tenant);
        if (jobClass < 0 || tenant < 0) {
            throw new IOException(where + (jobClass < 0 ? ": job_class" : ": tenant")
                    + ": the scenario has no such one");
        }
        return new Job(line.atUs, jobClass, tenant, line.hintUs == null ? 0 : line.hintUs, line.workUs,
                Boolean.TRUE.equals(line.poisoned));
    }

    public void write(Path file, List<String> classes, List<String> tenants) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (var job : jobs) {
                out.write(GSON.toJson(new Line(job.at, classes.get(job.jobClass),
                        tenants.isEmpty() ? null : tenants.get(job.tenant), job.hint,
                        (double) Math.round(job.work), job.poisoned ? true : null)));
                out.newLine();
            }
        }
    }
}
