package ryemast.tools;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.NoActiveSessionException;
import ryemast.drmaa.AlreadyActiveSessionException;
import ryemast.drmaa.Remote;

/** {@code submit}: hands in a job, or an array of jobs. */
@Command(name = "submit", description = {"Hands in a job, or with --range an array of jobs; prints the ids.",
    "Once it has ended with 0 the jobs are on the dispatcher's disk. The session is made if there is none.",
    "With the same --submission a call that was cut off can be made again, and takes nothing twice."})
public final class SubmitCommand extends BatchCall {

    @Parameters(index = "0", paramLabel = "CLASS", description = "The jobs' class, as the platform names it.")
    private String jobClass;

    @Parameters(index = "1", paramLabel = "TARGET", description = {"What the job concerns: /api/KEY;",
        "$drmaa_incr_ph$$ in it stands for the job's index."})
    private String target;

    @Option(names = "--range", paramLabel = "A-B[:STEP]",
            description = "An array of jobs with these indices.")
    private String range;

    @Option(names = "--parallel", paramLabel = "N", defaultValue = "0",
            description = "At most so many of the array at once; 0: any number.")
    private int parallel;

    @Option(names = "--body", paramLabel = "FILE", description = "What the worker is handed; 64 KiB at most.")
    private Path body;

    @Option(names = "--name", paramLabel = "TEXT", description = "A name for people.")
    private String name;

    @Option(names = "--estimate-ms", paramLabel = "MS", description = "What a job is expected to take.")
    private Long estimate;

    @Option(names = "--limit-ms", paramLabel = "MS", description = "How long one run may take.")
    private Long limit;

    @Option(names = "--failures", paramLabel = "N", defaultValue = "0",
            description = "So often may a job fail that may be repeated; 0: as the dispatcher says.")
    private int failures;

    @Option(names = "--hold", description = "The jobs wait until they are released.")
    private boolean hold;

    @Option(names = "--start", paramLabel = "TIME", description = "No sooner: 2026-12-07T08:00:00Z.")
    private String start;

    @Option(names = "--submission", paramLabel = "ID",
            description = "This call's own name: 8 to 48 letters, digits, _ or -.")
    private String submission;

    @Override
    int work(Remote remote, Contact where) throws DrmaaException {
        var template = template();
        long[] indices = indices();
        var id = submission == null ? Remote.submissionId() : submission;
        var parts = List.of(new Remote.Part(template, (int) indices[1]));
        Remote.Taken taken;
        try {
            taken = remote.submit(parts, id, indices[0], indices[2], parallel);
        } catch (NoActiveSessionException e) {
            try {
                remote.create(where.session());
            } catch (AlreadyActiveSessionException other) {
                // Somebody else has just made it.
            }
            taken = remote.submit(parts, id, indices[0], indices[2], parallel);
        }
        if (json) {
            var one = new JsonObject();
            one.addProperty("submission", id);
            one.addProperty("array", taken.array());
            one.addProperty("count", taken.count());
            one.add("ids", ids(taken.ids()));
            say(one);
        } else {
            say(taken.single() ? Long.toString(taken.array()) : taken.array() + "." + taken.first() + " to "
                    + taken.array() + "." + (taken.first() + (taken.count() - 1) * taken.step()) + ", "
                    + taken.count() + " jobs");
        }
        return 0;
    }

    private JobTemplate template() throws DrmaaException {
        var template = new JobTemplate();
        template.setRemoteCommand(jobClass);
        template.setArgs(List.of(target));
        if (name != null) {
            template.setJobName(name);
        }
        if (body != null) {
            try {
                template.setBody(Files.readAllBytes(body));
            } catch (IOException e) {
                throw new UncheckedIOException("--body: " + body + " can't be read: " + e, e);
            }
        }
        if (estimate != null) {
            template.setEstimate(Duration.ofMillis(estimate));
        }
        if (limit != null) {
            template.setHardRunDurationLimit(Duration.ofMillis(limit));
        }
        template.setFailures(failures);
        template.setJobSubmissionState(hold ? JobTemplate.HOLD_STATE : JobTemplate.ACTIVE_STATE);
        if (start != null) {
            try {
                template.setStartTime(Instant.parse(start));
            } catch (DateTimeParseException e) {
                throw new ParameterException(spec.commandLine(), "--start: must be a time such as"
                        + " 2026-12-07T08:00:00Z, not " + start);
            }
        }
        return template;
    }

    /** First, count, step. */
    private long[] indices() {
        if (range == null) {
            return new long[] {1, 1, 1};
        }
        var matcher = java.util.regex.Pattern.compile("([0-9]{1,9})-([0-9]{1,9})(?::([1-9][0-9]{0,8}))?")
                .matcher(range);
        if (!matcher.matches() || Long.parseLong(matcher.group(1)) > Long.parseLong(matcher.group(2))) {
            throw new ParameterException(spec.commandLine(),
                    "--range: must be A-B or A-B:STEP with A up to B, not "
                    + range);
        }
        long first = Long.parseLong(matcher.group(1));
        long step = matcher.group(3) == null ? 1 : Long.parseLong(matcher.group(3));
        return new long[] {first, (Long.parseLong(matcher.group(2)) - first) / step + 1, step};
    }
}
