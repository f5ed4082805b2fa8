package ryemast.drmaa;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ryemast.wire.Fields;

/**
 * What a job, or each job of an array, is to be; DRMAA 1.0's attributes as far as they mean something here,
 * and some of our own. Not safe for several threads.
 *
 * <p>The remote command is the platform's job class, and the one argument is the target that the job
 * concerns, as a client's request path has it; {@link #PARAMETRIC_INDEX} in it stands for a job's index
 * within an array. Attributes that speak of files, environments and mail throw {@link
 * UnsupportedAttributeException}, as a worker has none of them.
 */
public final class JobTemplate {

    /** In a target, stands for the job's index. */
    public static final String PARAMETRIC_INDEX = "$drmaa_incr_ph$";
    /** A submission state: the job waits for a release. */
    public static final int HOLD_STATE = 0;
    /** A submission state: the job may go out. */
    public static final int ACTIVE_STATE = 1;

    private static final double THOUSANDTHS = 1_000;
    private static final Set<String> NATIVE = Set.of("estimate_us", "slots", "memory", "failures",
            "patience_us");

    private String remoteCommand = "";
    private String target = "";
    private String jobName = "";
    private byte[] body = new byte[0];
    private int state = ACTIVE_STATE;
    private Instant startTime;
    private Duration limit;
    private Duration estimate;
    private double slots = 1;
    private double memory;
    private int failures;

    /** The job's class, as the platform names it. */
    public void setRemoteCommand(String command) {
        remoteCommand = command;
    }

    public String getRemoteCommand() {
        return remoteCommand;
    }

    /** One argument: the target, as in {@code /api/7f3a}. */
    public void setArgs(List<String> args) throws InvalidAttributeValueException {
        if (args.size() != 1) {
            throw new InvalidAttributeValueException("args: a job has one, its target, not " + args.size());
        }
        target = args.get(0);
    }

    public List<String> getArgs() {
        return target.isEmpty() ? List.of() : List.of(target);
    }

    /** What the worker is handed with the job; 64 KiB at most. Not an attribute of DRMAA's. */
    public void setBody(byte[] bytes) {
        body = bytes.clone();
    }

    public byte[] getBody() {
        return body.clone();
    }

    public void setJobName(String name) {
        jobName = name;
    }

    public String getJobName() {
        return jobName;
    }

    /** {@link #HOLD_STATE} or {@link #ACTIVE_STATE}. */
    public void setJobSubmissionState(int submissionState) throws InvalidAttributeValueException {
        if (submissionState != HOLD_STATE && submissionState != ACTIVE_STATE) {
            throw new InvalidAttributeValueException("jobSubmissionState: must be HOLD_STATE or"
                    + " ACTIVE_STATE");
        }
        state = submissionState;
    }

    public int getJobSubmissionState() {
        return state;
    }

    /** The job goes out no sooner; null: at once. In place of DRMAA's PartialTimestamp. */
    public void setStartTime(Instant time) {
        startTime = time;
    }

    public Instant getStartTime() {
        return startTime;
    }

    /** How long one run may take; null: as long as the platform gives the class. */
    public void setHardRunDurationLimit(Duration longest) {
        limit = longest;
    }

    public Duration getHardRunDurationLimit() {
        return limit;
    }

    /**
     * What the job is expected to take on a core of usual speed; null: not known. Not an attribute of
     * DRMAA's.
     */
    public void setEstimate(Duration work) {
        estimate = work;
    }

    public Duration getEstimate() {
        return estimate;
    }

    /** So often may a job that may be repeated fail; 0: as often as the dispatcher says. */
    public void setFailures(int most) {
        failures = most;
    }

    /**
     * As {@code slots=2;memory=0.5;failures=3;estimate_us=1500000;patience_us=20000000}; others are errors.
     */
    public void setNativeSpecification(String text) throws InvalidAttributeValueException {
        for (var each : text.split(";")) {
            var pair = each.strip().split("=", 2);
            if (!NATIVE.contains(pair[0]) || pair.length < 2) {
                throw new InvalidAttributeValueException("nativeSpecification: " + each.strip()
                        + ": must be NAME=VALUE"
                        + " with one of the names " + NATIVE.stream().sorted().toList());
            }
            try {
                switch (pair[0]) {
                    case "estimate_us" -> estimate = Duration.ofNanos(1_000 * Long.parseLong(pair[1]));
                    case "patience_us" -> limit = Duration.ofNanos(1_000 * Long.parseLong(pair[1]));
                    case "slots" -> slots = Double.parseDouble(pair[1]);
                    case "memory" -> memory = Double.parseDouble(pair[1]);
                    default -> failures = Integer.parseInt(pair[1]);
                }
            } catch (NumberFormatException e) {
                throw new InvalidAttributeValueException("nativeSpecification: " + each.strip()
                        + ": must be a number");
            }
        }
    }

    /** Not for jobs of this kind. */
    public void setWorkingDirectory(String directory) throws UnsupportedAttributeException {
        throw unsupported("workingDirectory");
    }

    /** Not for jobs of this kind. */
    public void setJobEnvironment(Map<String, String> environment) throws UnsupportedAttributeException {
        throw unsupported("jobEnvironment");
    }

    /** Not for jobs of this kind: what a worker makes comes with {@link JobInfo}. */
    public void setOutputPath(String path) throws UnsupportedAttributeException {
        throw unsupported("outputPath");
    }

    /** Not for jobs of this kind: {@link #setBody} is what a worker reads. */
    public void setInputPath(String path) throws UnsupportedAttributeException {
        throw unsupported("inputPath");
    }

    /** Not for jobs of this kind. */
    public void setErrorPath(String path) throws UnsupportedAttributeException {
        throw unsupported("errorPath");
    }

    /** Not for jobs of this kind. */
    public void setEmail(Set<String> addresses) throws UnsupportedAttributeException {
        throw unsupported("email");
    }

    private static UnsupportedAttributeException unsupported(String name) {
        return new UnsupportedAttributeException(name + ": workers have no files, environments or mail");
    }

    /** The names of the attributes that can be set. */
    public static Set<String> getAttributeNames() {
        return Set.of("remoteCommand", "args", "jobName", "jobSubmissionState", "startTime",
                "hardRunDurationLimit", "nativeSpecification");
    }

    /** As the protocol has it. */
    Fields fields() throws InvalidAttributeValueException {
        if (remoteCommand.isEmpty()) {
            throw new InvalidAttributeValueException("remoteCommand: must name a job class");
        }
        if (target.isEmpty()) {
            throw new InvalidAttributeValueException("args: must hold the target");
        }
        var fields = new Fields().with("class", remoteCommand).with("target", target)
                .with("slots_milli", Math.round(slots * THOUSANDTHS))
                .with("memory_milli", Math.round(memory * THOUSANDTHS));
        if (!jobName.isEmpty()) {
            fields.with("name", jobName);
        }
        if (body.length > 0) {
            fields.with("body", body);
        }
        if (limit != null) {
            fields.with("patience_us", limit.toNanos() / 1_000);
        }
        if (estimate != null) {
            fields.with("estimate_us", estimate.toNanos() / 1_000);
        }
        if (failures > 0) {
            fields.with("failures", failures);
        }
        return fields;
    }
}
