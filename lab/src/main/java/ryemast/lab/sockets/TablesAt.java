package ryemast.lab.sockets;

import java.io.IOException;
import java.nio.file.Path;
import ryemast.lab.site.Directory;

/** Whoever tells the dispatchers of boxes, on sockets. */
interface TablesAt extends AutoCloseable {

    /** Binds all addresses; before any dispatcher starts. */
    void open() throws IOException;

    /** Where a dispatcher is told to find the platform's discovery. */
    String address(int dispatcher);

    /** The list as a dispatcher is handed it at its start; to be asked on the boxes' shard. */
    String known(int dispatcher);

    /** The operator file that a dispatcher needs for it; null where it needs none. */
    Path operatorFile(int dispatcher);

    Directory directory();

    @Override
    void close();
}
