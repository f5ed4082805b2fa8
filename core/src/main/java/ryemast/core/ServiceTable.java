package ryemast.core;

/** Discovery's list; what it says, or that it failed, is told to {@link Exchange#listed}. */
public interface ServiceTable {

    void watch();
}
