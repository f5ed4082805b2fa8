package ryemast.lab.consul;

import java.net.InetSocketAddress;

/** Where services are, as one who asks is to see them: an emulated box has an address for each dispatcher. */
public interface ConsulView {

    /** Everything as it is registered. */
    ConsulView PLAIN = service -> null;

    /** Null: as it is registered. */
    InetSocketAddress address(String service);
}
