package ryemast.lab.site;

/** Where a dispatcher reaches a box; the same box may have another address at another dispatcher. */
public interface AddressBook {

    /** In the form {@code host:port}. */
    String address(int dispatcher, int box);
}
