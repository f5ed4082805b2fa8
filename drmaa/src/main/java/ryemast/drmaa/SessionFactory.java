package ryemast.drmaa;

/** Where DRMAA 1.0's programs get their session from. */
public final class SessionFactory {

    private static final SessionFactory ONLY = new SessionFactory();

    private SessionFactory() {
    }

    public static SessionFactory getFactory() {
        return ONLY;
    }

    /** A new one each time, inactive until its {@code init}: here a program may hold several. */
    public Session getSession() {
        return new Session();
    }
}
