package ryemast.it;

import java.util.List;
import java.util.Random;
import ryemast.it.SoakRules.Effect;

/**
 * The deployment of a soak, drawn from its seed.
 *
 * @param sockets  how many descriptors the program may hold
 * @param crowd    how many idle clients there are
 */
record SoakSettings(int dispatchers, boolean secondCopies, int sockets, int crowd, List<Lane> lanes) {

    /** A class of requests. */
    record Lane(String name, Effect effect, int deadlineMs) {

        private String json() {
            var word = switch (effect) {
                case FREE -> "free";
                case GUARDED -> "guarded";
                case SINGLE_SHOT -> "single_shot";
            };
            return "{\"name\":\"" + name + "\",\"effect\":\"" + word + "\",\"key_scope\":\"all\","
                    + "\"window\":5000000,\"on_time\":" + deadlineMs * 400
                    + ",\"deadline\":" + deadlineMs * 1000 + "}";
        }
    }

    static SoakSettings drawn(Random random) {
        boolean crowd = random.nextInt(4) == 0;
        return new SoakSettings(random.nextBoolean() ? 1 : 40, random.nextBoolean(), crowd ? 160 : 1024,
                crowd ? 200 : 0, List.of(new Lane("load", Effect.FREE, 1_000 + random.nextInt(3) * 1_000),
                new Lane("plan", Effect.GUARDED, 2_000), new Lane("sticker", Effect.SINGLE_SHOT, 1_500)));
    }

    int longestDeadlineMs() {
        return lanes.stream().mapToInt(Lane::deadlineMs).max().orElseThrow();
    }

    /** The configuration file of a dispatcher. */
    String config(int port, String discovery, String known, long seed) {
        return "{\"name\":\"soak\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":{\"sockets\":" + sockets
                + "},\"known\":" + known + ",\"settings\":" + json() + "}";
    }

    private String json() {
        return """
                {"resolution":5000,"registry_mode":"subscribe","fleet_size":DISPATCHERS,"models":["m"],
                 "areas":["z"],
                 "allowed":{"max_attempts":5,"second_copies":COPIES,"cancelling":true,"conn_idle":5000000,
                            "connect_timeout":250000,"max_open":1000,"retry_after":true,
                            "max_retry_after":2000000},
                 "specifics":{"tells_start":true,"progress":2000000},
                 "obligations":{"ask_every":10000000,"cold":1000000,"start_capacity":0.5,"fall_multiple":4,
                                "fall":1000000,"grace_to_answer":20000},
                 "parties":[{"name":"acme","quota_per_s":1000}],"categories":[LANES]}
                """.replace("DISPATCHERS", Integer.toString(dispatchers))
                .replace("COPIES", Boolean.toString(secondCopies))
                .replace("LANES", String.join(",", lanes.stream().map(Lane::json).toList()));
    }
}
