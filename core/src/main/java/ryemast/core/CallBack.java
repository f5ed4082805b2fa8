package ryemast.core;

/** What a worker tells of a job: by the job's name and the worker's id. */
public record CallBack(String txn, String from, State state, double share, String result) {

    public enum State { STARTED, RUNNING, DONE, FAILED, RETURNED, LOST }
}
