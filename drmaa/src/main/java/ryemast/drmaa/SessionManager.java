package ryemast.drmaa;

import java.util.List;

/**
 * Named persistent job sessions, as DRMAA 2 has them (GFD-R-P.194, section 7): made, opened, listed and
 * destroyed by name, whoever is connected. Safe for several threads.
 */
public final class SessionManager implements AutoCloseable {

    private static final long PATIENCE_MS = 60_000;

    private final Contact contact;
    private final Remote remote;

    /** {@code contactString}: its session, if it names one, is not looked at. */
    public SessionManager(String contactString) throws DrmaaException {
        contact = Contact.of(contactString);
        remote = new Remote(contact, PATIENCE_MS);
    }

    /** Fails if there is one of that name. */
    public Session createJobSession(String name) throws DrmaaException {
        remote.create(name);
        return openJobSession(name);
    }

    /** Fails if there is none of that name. */
    public Session openJobSession(String name) throws DrmaaException {
        remote.open(name);
        var session = new Session();
        session.init(contact.withSession(name).toString());
        return session;
    }

    /** Forgets the session with all its jobs; those that are not over are ended first. */
    public void destroyJobSession(String name) throws DrmaaException {
        remote.destroy(name, true);
    }

    public List<String> getJobSessionNames() throws DrmaaException {
        return List.copyOf(remote.sessions().keySet());
    }

    @Override
    public void close() {
        remote.close();
    }
}
