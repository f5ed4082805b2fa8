package ryemast.membership;

import pipitladder.Dispatcher.WorkerInfo;

/**
 * A worker as the dispatcher is to see it. Immutable.
 *
 * @param info     what the decision module is told
 * @param address  where it is
 * @param words    the reason with what is particular to it
 * @param since    since when it has this state for this reason
 */
public record Member(WorkerInfo info, String address, Why why, String words, long since) {

    public String id() {
        return info.id();
    }

    /** Whether anything but the words differs. */
    boolean differs(Member other) {
        return other == null || why != other.why || !address.equals(other.address)
                || differs(info, other.info);
    }

    /** Not a record's own comparing; see {@link Sighting#sameAs}. */
    private static boolean differs(WorkerInfo one, WorkerInfo other) {
        return one.state() != other.state() || one.startedAt() != other.startedAt()
                || one.share() != other.share() || one.weight() != other.weight()
                || one.kind() != other.kind() || one.zone() != other.zone() || one.cell() != other.cell();
    }
}
