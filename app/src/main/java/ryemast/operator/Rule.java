package ryemast.operator;

import java.util.Arrays;
import java.util.function.BiPredicate;

/** What two keys' values must be to one another; each in its own unit. */
enum Rule {
    ADDRESSES(Key.LISTEN, Key.DISCOVERY, (listen, discovery) -> listen.toString().isEmpty()
            || !listen.equals(discovery), "two addresses, as discovery is another program"),
    SOCKETS_SUFFICE(Key.SOCKETS, Key.RESERVED_SOCKETS, (sockets, reserved) ->
            number(sockets) - number(reserved) >= 32,
            "limits.sockets to be 32 above limits.reserved_sockets, as connections need the others"),
    REQUEST_WITHIN_IDLE(Key.LONGEST_REQUEST_MS, Key.TERMINAL_IDLE_LIMIT_S, (request, idle) ->
            number(request) <= 1000 * number(idle),
            "terminals.longest_request_ms within terminals.idle_limit_s, which would end the request first"),
    YOUNG_WITHIN_REQUEST(Key.YOUNG_MS, Key.LONGEST_REQUEST_MS, (young, request) ->
            number(young) <= number(request),
            "terminals.young_ms within terminals.longest_request_ms, after which silence ends a connection"),
    REST_WITHIN_IDLE(Key.LEAST_REST_MS, Key.REGION_IDLE_LIMIT_MS, (rest, idle) ->
            4 * number(rest) <= 3 * number(idle),
            "regions.least_rest_ms within three quarters of regions.idle_limit_ms, the longest rest"),
    CONNECT_WITHIN_SILENCE(Key.TABLE_CONNECT_LIMIT_MS, Key.SILENCE_MS, (connect, silence) ->
            number(connect) < number(silence),
            "service_table.connect_limit_ms below service_table.silence_ms, which ends a connecting one"),
    CLIENTS_WITHIN_LEAST(Key.CLIENTS_COME_MS, Key.LEAST_MS, (come, least) -> number(come) <= number(least),
            "end.clients_come_ms within end.least_ms, as the program may be gone after that"),
    REST_WITHIN_LEAST(Key.REST_MS, Key.LEAST_MS, (rest, least) -> number(rest) <= number(least),
            "end.rest_ms within end.least_ms, as the program may be gone after that"),
    PARTS_WITHIN_TOTAL(Key.PART_MB, Key.TOTAL_MB, (part, total) -> 2 * number(part) <= number(total),
            "recording.part_mb at most half of recording.total_mb, as the oldest file goes for the newest"),
    BATCH_HAS_A_FOLDER(Key.BATCH_LISTEN, Key.BATCH_FOLDER, Rule::bothOrNone,
            "both or neither, as what submitters were told is taken must be kept somewhere"),
    BATCH_HAS_KEYS(Key.BATCH_LISTEN, Key.BATCH_KEYS_FOLDER, Rule::bothOrNone,
            "both or neither, as submitters come with keys only"),
    BATCH_HAS_AN_ADDRESS_OF_ITS_OWN(Key.BATCH_LISTEN, Key.LISTEN, (batch, listen) ->
            batch.toString().isEmpty() || !batch.equals(listen), "two addresses, as clients speak otherwise"),
    HELLO_WITHIN_IDLE(Key.BATCH_HELLO_LIMIT_MS, Key.BATCH_IDLE_LIMIT_S, (hello, idle) ->
            number(hello) <= 1000 * number(idle),
            "batch.hello_limit_ms within batch.idle_limit_s, which would end the connection first"),
    EMBEDDED_HAS_A_FOLDER(Key.COORDINATION_KIND, Key.COORDINATION_FOLDER, (kind, folder) ->
            !kind.equals("embedded") || !folder.toString().isEmpty(),
            "coordination.folder to be set, as the records must be kept somewhere"),
    EMBEDDED_IS_FOR_ONE(Key.COORDINATION_KIND, Key.COORDINATION_REPLICAS, (kind, replicas) ->
            !kind.equals("embedded") || number(replicas) == 1,
            "\"consul\" where there are several, as an embedded store is for one dispatcher"),
    SEVERAL_NEED_COORDINATION(Key.COORDINATION_REPLICAS, Key.COORDINATION_KIND, (replicas, kind) ->
            !kind.equals("none") || number(replicas) == 1,
            "coordination.kind = \"consul\" where there are several, as they must agree by something"),
    PEERS_HAVE_ADDRESSES(Key.PEERS_LISTEN, Key.PEERS_ADDRESSES, Rule::bothOrNone,
            "both or neither, as those who tell must be heard and told"),
    PEERS_ARE_OTHERS(Key.PEERS_ADDRESSES, Key.PEERS_LISTEN, (others, own) -> own.toString().isEmpty()
            || Arrays.stream(others.toString().split(",")).map(String::strip).noneMatch(own::equals),
            "peers.addresses to be those of the other dispatchers alone");

    final Key one;
    final Key other;
    final String expected;
    private final BiPredicate<Object, Object> relation;

    Rule(Key one, Key other, BiPredicate<Object, Object> relation, String expected) {
        this.one = one;
        this.other = other;
        this.relation = relation;
        this.expected = expected;
    }

    boolean holds(Object first, Object second) {
        return relation.test(first, second);
    }

    private static boolean bothOrNone(Object one, Object other) {
        return one.toString().isEmpty() == other.toString().isEmpty();
    }

    private static long number(Object value) {
        return (Long) value;
    }
}
