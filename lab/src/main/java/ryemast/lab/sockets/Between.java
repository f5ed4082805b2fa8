package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a trial puts between a site and each of its dispatchers: links of its own, another clock, a disk. As
 * it stands nothing is put there. Any thread may call it.
 */
public interface Between {

    Between NOTHING = new Between() { };

    /** Where a dispatcher finds whoever listens at that address; the same each time it is asked. */
    default InetSocketAddress link(int dispatcher, InetSocketAddress to) {
        return to;
    }

    /** Further arguments of a dispatcher's JVM. */
    default List<String> jvmArgs(int dispatcher) {
        return List.of();
    }

    /** A dispatcher's own form of the operator file's lines; its links are known by then. */
    default String operator(int dispatcher, String lines) {
        return lines;
    }

    /** The part of clients' connections that go to one dispatcher as long as it lives; the rest by turns. */
    default double leans() {
        return 0;
    }

    /** Whether it starts with the site; one that doesn't waits until it is told to. */
    default boolean startsAtOnce(int dispatcher) {
        return true;
    }

    /** A process of it starts next; the one before is gone. What fails here keeps it from starting. */
    default void starting(int dispatcher) throws IOException {
    }
}
