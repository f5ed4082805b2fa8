package ryemast.lab.site;

import com.google.gson.JsonPrimitive;
import java.util.ArrayDeque;
import ryemast.lab.scenario.Scenario.Telling;
import ryemast.lab.world.Timeline;

/**
 * Says what becomes of jobs, in order for each job: a call-back is tried until it is answered 200 or 204 or
 * has been tried often enough, and only then does the job's next one begin. Progress that has not left yet
 * gives way to later news of the same job, so that a dispatcher that does not answer costs no memory.
 */
final class Reporter {

    private final Telling telling;
    private final Timeline time;
    private final Mouth mouth;
    private final String from;
    private final Runnable quiet;
    private int talking;
    private int life;

    /** {@code quiet}: run whenever there is nothing left to say. */
    Reporter(String box, Telling telling, Timeline time, Mouth mouth, Runnable quiet) {
        this.telling = telling;
        this.time = time;
        this.mouth = mouth;
        this.quiet = quiet;
        from = new JsonPrimitive(box).toString();
    }

    Story of(int dispatcher, String txn) {
        return new Story(dispatcher,
                "{\"id\":" + new JsonPrimitive(txn) + ",\"from\":" + from + ",\"state\":\"");
    }

    boolean isQuiet() {
        return talking == 0;
    }

    /** Whoever spoke is dead: nothing more is said by any story there is. */
    void hush() {
        life++;
        talking = 0;
    }

    private record Saying(String json, boolean passing) {
    }

    /** What is said of one job. */
    final class Story {
        private final ArrayDeque<Saying> next = new ArrayDeque<>();
        private final int dispatcher;
        private final String head;
        private final int born = life;
        private Saying now;
        private int tries;
        private boolean stopped;

        private Story(int dispatcher, String head) {
            this.dispatcher = dispatcher;
            this.head = head;
        }

        void started() {
            if (telling.starts()) {
                say("started\"}", false);
            }
        }

        void running(double share) {
            say("running\",\"share\":" + Math.round(share * 1_000) / 1_000.0 + "}", true);
        }

        void done(String result) {
            say("done\",\"result\":" + new JsonPrimitive(result) + "}", false);
        }

        /** {@code state}: failed, returned or lost. */
        void ended(String state) {
            say(state + "\"}", false);
        }

        /** Nobody wants to hear of it any more; a call that is out is not tried again. */
        void stop() {
            stopped = true;
            next.clear();
        }

        private void say(String rest, boolean passing) {
            if (stopped || born != life) {
                return;
            }
            if (!next.isEmpty() && next.peekLast().passing) {
                next.pollLast();
            }
            next.add(new Saying(head + rest, passing));
            if (now == null) {
                talking++;
                turn();
            }
        }

        private void turn() {
            now = next.poll();
            tries = 0;
            if (now != null) {
                post();
            } else if (--talking == 0) {
                quiet.run();
            }
        }

        private void post() {
            if (born != life) {
                return;
            }
            if (stopped) {
                turn();
                return;
            }
            tries++;
            mouth.post(dispatcher, now.json, this::answered);
        }

        private void answered(int status) {
            if (born != life) {
                return;
            }
            if (status == 200 || status == 204 || stopped || tries >= telling.tries()) {
                turn();
            } else {
                time.at(time.now() + telling.retryAfter(), this::post);
            }
        }
    }
}
