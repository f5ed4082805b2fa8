package ryemast.membership;

import java.util.List;

/**
 * One report of a source about its workers.
 *
 * @param source the source's name
 * @param version increases with each change at the source; a lower one than before means that the source was
 *     restored to an earlier state, or that another one responds in its place
 * @param complete whether workers that are not listed are absent; else the report covers the listed ones only
 * @param age time since the source verified this state, in microseconds; 0: current
 */
public record SourceReport(String source, long version, boolean complete, long age,
        List<ListedWorker> workers) {

    public SourceReport {
        workers = List.copyOf(workers);
    }

    /** A copy with other workers. */
    public SourceReport withWorkers(List<ListedWorker> otherWorkers) {
        return new SourceReport(source, version, complete, age, otherWorkers);
    }
}
