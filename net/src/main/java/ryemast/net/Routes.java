package ryemast.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Where workers are, by id, as sockets want it; each address is parsed once. Owned by the loop. */
public final class Routes implements Function<String, InetSocketAddress> {

    /** More than any fleet has; where addresses come and go for ever, they are parsed anew now and then. */
    private static final int MOST = 20_000;

    private final Function<String, String> addresses;
    private final Map<String, InetSocketAddress> parsed = new HashMap<>();

    /** {@code addresses}: where a worker is, IP:PORT, by its id; null for one that nobody knows. */
    public Routes(Function<String, String> addresses) {
        this.addresses = addresses;
    }

    @Override
    public InetSocketAddress apply(String worker) {
        var text = addresses.apply(worker);
        if (text == null) {
            return null;
        }
        if (parsed.size() > MOST) {
            parsed.clear();
        }
        return parsed.computeIfAbsent(text, Addresses::parse);
    }
}
