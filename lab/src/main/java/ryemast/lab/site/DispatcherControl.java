package ryemast.lab.site;

/** What can be done to a dispatcher's process. */
public interface DispatcherControl {

    /** Outright, as by SIGKILL; it stays down until {@link #restart}. */
    void kill(int dispatcher);

    /** Starts one that is down. */
    void restart(int dispatcher);

    /** SIGTERM; started anew once it has ended. */
    void end(int dispatcher);

    /** It stands still, its sockets open. */
    void pause(int dispatcher);

    void resume(int dispatcher);
}
