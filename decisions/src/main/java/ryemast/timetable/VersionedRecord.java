package ryemast.timetable;

/**
 * A stored record with its version.
 *
 * @param scheduledTime  of an execution; {@link #WATERMARK}: it is the job's watermark
 * @param content        null: it can't be read
 */
public record VersionedRecord(String jobName, long scheduledTime, RecordContent content, long version) {

    public static final long WATERMARK = Long.MIN_VALUE;
}
