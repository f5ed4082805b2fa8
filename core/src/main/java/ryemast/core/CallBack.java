package ryemast.core;

/** What a worker tells of a job: by the job's name and the worker's id. */
public record CallBack(String txn, String from, State state, double share, String result) {

    public enum State {
        STARTED(false), RUNNING(false), DONE(true), FAILED(true), RETURNED(true), LOST(true);

        private final boolean end;

        State(boolean end) {
            this.end = end;
        }

        /** Whether it tells that the attempt has ended; an attempt ends once, however often that is told. */
        public boolean isEnd() {
            return end;
        }
    }
}
